#!/usr/bin/env bash
# Runs case 9; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-9
[ -x "$program" ] && [ -x target/bin/radishflow-relayd ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
RECORD=review/9/record.txt timeout 110 "$program"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
