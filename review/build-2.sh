#!/bin/sh
# Checks that the stand-ins of the cases from 6 on can be compiled. They use only Python's standard
# library, so that there is nothing to install.
cd "$(dirname "$0")" || exit 1
for file in 6/rig2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
