#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec rustc -O --edition 2024 -o target/review-2/review-2 review/standin-2/main.rs
