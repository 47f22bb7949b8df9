#!/bin/sh
# A control instance stands still with an order of the operator in its queue. See claim.txt beside it. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banyanfront ] && [ -x target/review/cases ] || { echo "run the build line of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review/cases frozen-control review/3/record.txt
