#!/bin/sh
# Builds the stand-ins of cases 11 to 15 under target/, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/harness3 ./review/harness3
