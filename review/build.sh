#!/bin/sh
# Builds the stand-ins of the cases: Python files that need only the standard library.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
