#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later; run from anywhere, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/auburnlug-review-3 review/standin-3/main.rs
