#!/bin/sh
# Builds the scripted cases and their stand-ins, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/cases
