#!/usr/bin/env bash
# Runs all tests: fixed seeds, the same verdict every time.
set -euo pipefail
cd "$(dirname "$0")"
known_red=""
if [ -f KNOWN-RED.txt ]; then
  known_red=$(sed -n 's/^\([A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
fi
# Crowds of connections run one at a time, with no other test beside them.
crowds='TestCrowd.*'
go test -count=1 -timeout 20m -skip "^(${crowds}${known_red:+|$known_red})$" ./...
go test -count=1 -timeout 20m -run "^${crowds}$" ${known_red:+-skip "^(${known_red})$"} ./platform
