#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs that need the standard library alone, so that
# there is nothing to build but their byte code; the project's own stand-ins aren't used.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m py_compile standins-2/*.py [0-9]*/case.py
