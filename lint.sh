#!/bin/sh
# The linter on all packages, in the version that is pinned here. It is built once, into bin/tools; the findings that count
# are in .golangci.yml.
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
