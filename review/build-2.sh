#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the Rust compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in review/6/stand-ins/main.rs
