#!/usr/bin/env bash
# Builds the stand-ins that the cases start, with the compiler alone, into target/. The build of the deploy file comes
# before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
