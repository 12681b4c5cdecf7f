#!/bin/sh
# Runs all checks: formatting, vet, linter, the build command of the deploy file, all tests. Works from any folder; needs Go and a C compiler.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not gofmt clean:" "$unformatted" >&2
	exit 1
fi
go vet ./...
./lint.sh
build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
test -n "$build"
sh -ec "$build"
./known-red.sh
