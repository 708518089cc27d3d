#!/usr/bin/env bash
# The stand-ins of the third review are Python scripts that need nothing but the standard
# library; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for it in fleet3.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
