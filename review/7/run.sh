#!/bin/sh
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wagtail-gateway ] || { echo "wagtail-gateway isn't built" >&2; exit 2; }
[ -x target/review-2/standins-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
RECORD=review/7/record.txt exec target/review-2/standins-2 zone
