#!/bin/sh
# Checks and compiles the stand-ins of cases 6 to 10: plain Python of the standard library, run with the project's .venv.
cd "$(dirname "$0")" && ../.venv/bin/python -m py_compile parts/rig.py [6-9]/case.py 10/case.py
