#!/usr/bin/env bash
# Starts the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin-2 moved review/6/record.txt
