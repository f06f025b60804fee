#!/bin/bash
# Builds and runs all tests. Tests named in KNOWN-RED.txt run too; their failure is
# printed and passed over, any other failure fails the script.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
if [ -n "$known_red" ]; then
    echo "Known to fail, run apart:"
    sed -n 's/^/    /p' KNOWN-RED.txt
    ctest --test-dir build --output-on-failure -R "^($known_red)\$" || true
    ctest --test-dir build --output-on-failure -j 5 -E "^($known_red)\$"
else
    ctest --test-dir build --output-on-failure -j 5
fi
