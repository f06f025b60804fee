#!/bin/bash
# Builds everything into build/ (or the folder given as first argument).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$folder"
