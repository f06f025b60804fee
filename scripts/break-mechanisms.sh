#!/bin/bash
# Shows that the fault soak notices a mechanism that is missing: applies each patch of
# tests/soak/broken to a copy of the sources, builds it there and runs seeds until one breaks a
# promise. Prints a line for each patch; fails if a patch isn't noticed.
# scripts/break-mechanisms.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
most_seeds=24 # Tried for each patch, four at a time.
[ $# -gt 0 ] || set -- $(basename -s .patch tests/soak/broken/*.patch)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -co --exclude-standard | grep -v '^journal/' | xargs -d '\n' cp --parents -t "$copy"
build() {
    cmake --build "$copy/build" --target burdockhead soak standin_engine standin_platform \
        standin_service >"$copy/build.log" 2>&1 || { tail -20 "$copy/build.log"; return 1; }
}
cmake -S "$copy" -B "$copy/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
build
missed=0
for name in "$@"; do
    patch -d "$copy" -p1 --quiet <"tests/soak/broken/$name.patch"
    build
    world=${name%%-*}
    noticed=""
    for first in $(seq 1 4 "$most_seeds"); do
        output=$(SOAK_PROGRAM="$copy/build/soak" scripts/fault-soak.sh "$world" "$first" \
            $((first + 3)) 4 || true)
        if grep -q 'broken: ' <<<"$output"; then
            seed=$(sed -n "s/^$world, seed \([0-9]*\):.* [1-9][0-9]* promises broken$/\1/p" <<<"$output" | head -1)
            noticed="$name: seed $seed: $(grep -m 1 -o 'broken: .*' <<<"$output")"
            break
        fi
    done
    echo "${noticed:-$name: not noticed by $most_seeds seeds}"
    [ -n "$noticed" ] || missed=$((missed + 1))
    patch -d "$copy" -p1 --quiet -R <"tests/soak/broken/$name.patch"
done
[ "$missed" -eq 0 ]
