#!/bin/bash
# Checks the stand-ins of cases 11 to 15. They are Python files that use its standard library only,
# so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins3.py crowd3.py 1[1-5]/*.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
