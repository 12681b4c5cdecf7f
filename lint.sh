#!/bin/sh
# Runs the linter on all packages, in the version that is pinned here. The linter is built once, into bin/tools; .golangci.yml
# configures which findings it reports.
set -eu
cd "$(dirname "$0")"
version=v2.15.0
linter=bin/tools/golangci-lint-$version
if [ ! -x "$linter" ]; then
	mkdir -p bin/tools
	GOBIN="$PWD/bin/tools" GOFLAGS= go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version"
	mv bin/tools/golangci-lint "$linter"
fi
exec "$linter" run ./...
