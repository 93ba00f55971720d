#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need no package: they are only compiled, as a
# check. The project's own programs are built by the `build` of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standins_2.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
