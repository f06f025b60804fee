#!/bin/bash
# Runs the state machines with fresh seeds and the process tests again and again, for the
# given number of rounds (default 3). Prints each seed, so that a failure can be run again:
# RC_PARAMS="seed=SEED max_success=CASES" build/tests/internal/FOLDER/TEST
set -uo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-3}
cases=${2:-2000}
scripts/build.sh build >/dev/null || exit 1
failures=0
log=$(mktemp)
for round in $(seq "$rounds"); do
    seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
    echo "round $round: seed $seed, $cases cases"
    for test in admission idempotency membership routing expertmap transport entry; do
        for program in build/tests/internal/"$test"/test_*; do
            [ -x "$program" ] && [ -f "$program" ] || continue
            if ! RC_PARAMS="seed=$seed max_success=$cases" "$program" >"$log" 2>&1; then
                echo "FAILED: $program, seed $seed"
                tail -20 "$log"
                failures=$((failures + 1))
            fi
        done
    done
    ctest --test-dir build -R processes --output-on-failure | tail -3
done
rm -f "$log"
echo "$failures failures"
[ "$failures" -eq 0 ]
