#!/bin/sh
# Builds every stand-in that a script of this folder starts. They are written in
# Python and run in the script's own process, so there is only syntax to check.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standins/*.py [1-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' \
    "$file" || exit 1
done
