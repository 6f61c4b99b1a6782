#!/usr/bin/env bash
# Checks the stand-ins, which need nothing but Python 3.11; there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standins/*.py [0-9]*/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
