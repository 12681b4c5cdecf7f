#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs Go and no network: the stand-ins use the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/ ./cmd/...
