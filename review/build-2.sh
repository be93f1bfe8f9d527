#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network and without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins-2 review/standins-2.rs
rustc --edition 2024 -O -o target/review-2/rig-9-10 review/rig-9-10.rs
