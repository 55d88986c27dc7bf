#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name review_2 -o target/review-2/review-2 review/standins-2/src/main.rust
