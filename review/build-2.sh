#!/bin/sh
# Builds what the scripts of the second review start beside the gateways. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/standin-2 ./review/standin-2
go build -o target/review/standins2 ./review/standins2
go build -o target/review/standin-3 ./review/standin-3
