#!/bin/sh
# Builds the stand-ins and drivers of cases 11 and up.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins-3 review/standins-3.rs
