#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no build; this checks that they can start. The
# gateways are built by the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(it).read(), it) for it in sys.argv[1:]]' \
    standins.py */case.py
