#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python, so this only checks that
# each of them compiles.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
