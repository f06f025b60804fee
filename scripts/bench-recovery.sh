#!/bin/bash
# Builds and runs the measurement of recovery after faults, with real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
build/bench/processes/bench_recovery
