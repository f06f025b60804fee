#!/bin/bash
# Measures the traffic, processor time and delays of membership and configuration.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
build/bench/membership/bench_membership
