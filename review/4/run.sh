#!/bin/sh
# An engine in trouble runs orders and answers 503 with a long body, without stating that they have not run. See claim.txt beside it. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banyanfront ] && [ -x target/review/cases ] || { echo "run the build line of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review/cases long-refusal review/4/record.txt
