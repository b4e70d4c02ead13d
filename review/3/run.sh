#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/pomeloway-datagram ] || { echo "build first" >&2; exit 2; }
trouble=--trouble
[ "${TROUBLE:-1}" = 0 ] && trouble=--no-trouble
exec target/review-standin half --record review/3/record.txt "$trouble"
