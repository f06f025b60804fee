#!/bin/bash
# Builds and runs the benchmark of expert placement; prints markdown tables.
# Arguments name the parts to run: small, 16x5, 128x1, 128x2; none means all.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
build/bench/expertmap/bench_expertmap "$@"
