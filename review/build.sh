#!/bin/sh
# The stand-ins of all cases are Python scripts that need the standard library only, so that nothing is compiled.
# This checks that the interpreter can read them.
set -e
cd "$(dirname "$0")"
for path in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$path"
    echo "ready: $path"
done
