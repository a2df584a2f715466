#!/bin/sh
# Builds the stand-ins of all cases. They need the Rust compiler only, no package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-standin review/main.rs
