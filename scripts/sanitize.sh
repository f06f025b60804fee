#!/bin/bash
# Builds with sanitizers into build-SANITIZERS and runs tests and soak seeds there:
# scripts/sanitize.sh address,undefined|thread [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizers=$1 jobs=${2:-4}
folder=build-${sanitizers//,/-}
case $sanitizers in
thread) tests="test_membership test_transport test_http test_entry test_platform" worlds="entries" ;;
*) tests="test_net test_gateway test_rankagent test_codec test_quarantine test_platformadapter" worlds="gateways ranks entries" ;;
esac
available=$(cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_FLAGS="-fsanitize=$sanitizers -fno-omit-frame-pointer" >/dev/null &&
    ninja -C "$folder" -t targets all | sed -n 's/: phony$//p' | sort -u)
tests=$(comm -12 <(tr ' ' '\n' <<<"$tests" | sort) <(echo "$available"))
cmake --build "$folder" -j "$jobs" --target burdockhead soak standin_engine standin_platform \
    standin_service $tests >"$folder/build.log"
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 TSAN_OPTIONS=halt_on_error=1
for test in $tests; do
    echo "== $test"
    RC_PARAMS="seed=20261203" "$(find "$folder/tests" -name "$test" -type f)" 2>&1 | tail -3
done
for world in $worlds; do
    echo "== soak of $world"
    SOAK_PROGRAM=$folder/soak scripts/fault-soak.sh "$world" 1 12 3
done
