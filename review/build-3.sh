#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python, checked here, with the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed") if sys.version_info < (3, 11) else None'
for file in standins-3/fleet.py 11/case.py 12/case.py 13/case.py 14/case.py 15/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
