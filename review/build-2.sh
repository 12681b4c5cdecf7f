#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10) into bin/. It needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../bin/review-standin2 .
