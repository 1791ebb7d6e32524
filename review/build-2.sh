#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They use the standard library alone. The cases take
# standin-3; standin plays what REPORT-2.md lists as shown and no case.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/standin
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-2/standin-3
