#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
REPOSITORY="$(cd ../.. && pwd)" exec ../../target/review-3/standins-3 cut-release record.txt
