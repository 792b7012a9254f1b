#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python of the standard library, run with the project's .venv.
cd "$(dirname "$0")" && ../.venv/bin/python -m py_compile standins.py [0-9]*/case.py
