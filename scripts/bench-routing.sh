#!/bin/bash
# Builds and runs the routing measurements and prints their tables. Arguments are passed on,
# such as --scenario=choice --runs=5.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
build/bench/routing/bench_routing "$@"
