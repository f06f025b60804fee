#!/bin/bash
# Builds and runs the measurement of the path through entry and agent.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
build/bench/processes/bench_hop
