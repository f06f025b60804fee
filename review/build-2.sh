#!/bin/bash
# Builds the stand-ins of cases 6 to 10. They are programs in Python 3.11 without further modules, so
# that there is nothing to compile; checks that this Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins2.py groupstandin2.py [6-9]/case.py <<'EOF'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
EOF
