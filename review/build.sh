#!/usr/bin/env bash
# Builds the stand-ins of the scripts: one program that uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
