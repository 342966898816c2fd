#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are scripts, of which this checks the syntax.
set -eu
cd "$(dirname "$0")"
for source in standins-3/platform_standins.py 1[1-5]/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
