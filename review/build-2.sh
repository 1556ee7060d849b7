#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases.
set -eu
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -o ../../target/review-standins-2 .
