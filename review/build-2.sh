#!/bin/sh
# Builds the stand-ins of the script cases of the second review; the build line of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/harness2 ./review/harness2
