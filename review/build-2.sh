#!/bin/sh
# The stand-ins of cases 8 and 10 are Python programs of the standard library; nothing is compiled.
# scripts/install-dependencies installs python3.
cd "$(dirname "$0")" || exit 1
python3 -c 'import ast, glob
for path in ["standins2.py", *glob.glob("[0-9]*/case.py")]:
    ast.parse(open(path, encoding="utf-8").read(), path)'
