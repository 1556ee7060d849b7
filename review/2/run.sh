#!/usr/bin/env bash
# Plays the case of claim.txt with the routers in target/. TROUBLE=0 leaves the
# disruptions out. Exit code: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figstiled ] || go build -ldflags=-linkmode=external -o target/ ./cmd/... || exit 2
[ -x target/review-standins ] || review/build.sh || exit 2
exec target/review-standins stale review/2/record.txt
