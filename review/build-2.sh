#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. They use the standard library
# only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standins-2 .
