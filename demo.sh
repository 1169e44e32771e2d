#!/usr/bin/env bash
# Builds the stand-ins, the daemon and the demo, then runs the demo from this build.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --locked -p toucanturn-standin -p toucanturnd -p toucanturn-lab
exec "${CARGO_TARGET_DIR:-target}/debug/toucanturn-demo" "$@"
