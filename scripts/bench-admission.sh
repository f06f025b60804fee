#!/bin/bash
# Builds and runs the benchmarks of admission and idempotency; prints markdown tables.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target bench_admission >/dev/null
exec build/bench/admission/bench_admission
