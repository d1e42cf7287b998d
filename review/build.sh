#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python, of the standard library alone, so that this
# only checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins/*.py [0-9]/*.py <<'CHECK'
import asyncio, sys, tomllib
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
