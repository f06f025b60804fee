#!/bin/bash
# Checks formatting of every source and runs clang-tidy. With --changed [BASE], only on
# sources changed since BASE (default HEAD). Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = "--changed" ]; then
    mapfile -t files < <({ git diff --name-only --diff-filter=d "${2:-HEAD}"; git ls-files -o --exclude-standard; } | grep -E '\.(cpp|h)$' | sort -u)
else
    mapfile -t files < <(git ls-files '*.cpp' '*.h')
fi
[ "${#files[@]}" -gt 0 ] || exit 0
clang-format --dry-run --Werror "${files[@]}"
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: clean"
