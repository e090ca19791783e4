#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.." || exit 2
[ -x target/cornelswitch-gateway ] && [ -x target/review-3/large_failure ] || exit 2
timeout -k 2 110 target/review-3/large_failure "$case_folder"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
