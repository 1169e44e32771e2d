#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, with the compiler alone: they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/harness review/harness-2/main.rs
