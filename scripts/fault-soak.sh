#!/bin/bash
# Runs the fault soak (docs/SOAK.md) over a range of seeds and prints a line for each seed, then
# the number of seeds that broke a promise:
# scripts/fault-soak.sh WORLD FIRST LAST [JOBS] [FLAGS...]
set -uo pipefail
cd "$(dirname "$0")/.."
world=$1 first=$2 last=$3 jobs=${4:-4}
shift $(($# < 4 ? $# : 4))
program=${SOAK_PROGRAM:-build/soak}
logs=$(mktemp -d)
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c \
    '"$@" >"'"$logs"'/{}" 2>&1 || echo "seed {}: failed with status $?" >>"'"$logs"'/{}"' \
    soak "$program" "--world=$world" "--seed={}" "$@"
failures=0
for seed in $(seq "$first" "$last"); do
    if grep -q 'failed with status' "$logs/$seed"; then
        failures=$((failures + 1))
        cat "$logs/$seed"
    else
        tail -1 "$logs/$seed"
    fi
done
rm -rf "$logs"
echo "$failures seeds failed"
[ "$failures" -eq 0 ]
