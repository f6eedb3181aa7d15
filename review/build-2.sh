#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start; no dependencies but Rust.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
