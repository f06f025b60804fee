#!/bin/bash
# Fails if two headers of the product define a type of the same name in the namespace burdockhead:
# one program then has two definitions of its inline members, of which the linker keeps one.
set -euo pipefail
cd "$(dirname "$0")/.."
duplicates=$(grep -rlE '^namespace burdockhead( |$)' --include='*.h' src include platform |
    xargs grep -hoE '^(struct|class|enum class) [A-Za-z]+( final)?( :.*)?$' |
    awk '{ print ($2 == "class" ? $3 : $2) }' | sort | uniq -d)
if [ -n "$duplicates" ]; then
    echo "types defined in more than one header:" $duplicates >&2
    exit 1
fi
