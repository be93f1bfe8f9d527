#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption. Build first: the build command of the deploy file, then review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-2/rig-9-10
if [[ ! -x $rig || ! -x target/release/wagtail-gateway ]]; then
    echo "not built: run the build command of deploy/system.toml and review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$rig" pages review/9/record.txt "$folder"
status=$?
[[ $status -le 2 ]] || status=2
exit "$status"
