#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
"$python" -c "import tomllib" || exit 2
exec "$python" case.py
