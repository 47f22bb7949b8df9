#!/bin/sh
# An engine spoils one in 50 of its answers: 300 KiB that are no answer, without its signature. See claim.txt beside it. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banyanfront ] && [ -x target/review/cases ] || { echo "run the build line of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review/cases long-answer review/4/record.txt
