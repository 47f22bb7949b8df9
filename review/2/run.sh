#!/bin/sh
# A heartbeat of another writer with bytes that cannot be read, and a configuration that drops a route. See claim.txt beside it. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banyanfront ] && [ -x target/review/cases ] || { echo "run the build line of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review/cases foreign-heartbeat review/2/record.txt
