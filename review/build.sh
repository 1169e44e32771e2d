#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: one program of the standard library alone, in target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/harness/main.rs
