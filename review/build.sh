#!/bin/bash
# The scripts' stand-ins are Python 3 with its standard library only; checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in standins.py [1-5]/scenario.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
