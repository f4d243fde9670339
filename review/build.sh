#!/bin/sh
# The stand-ins of the cases are Python scripts that use the standard library only (3.11 or later, for tomllib).
# Nothing has to be compiled; this checks that they can be read and run.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import asyncio, tomllib'
for file in common/*.py */play.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
