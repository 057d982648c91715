#!/bin/sh
# The stand-ins are Python modules of the standard library: building them is checking them.
cd "$(dirname "$0")" || exit 2
for file in 1/standins.py [0-9]/play.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
