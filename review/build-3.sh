#!/bin/sh
# The stand-ins of the third review need only Python's standard library: this compiles them, so
# that a syntax error shows before a case is run.
cd "$(dirname "$0")" || exit 2
exec python3 -c 'import ast, pathlib
for path in [pathlib.Path("standins_3.py"), *sorted(pathlib.Path(".").glob("1[1-5]/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)'
