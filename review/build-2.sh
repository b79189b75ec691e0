#!/bin/sh
# Builds what the cases 6 to 10 start besides the server: the stand-ins in common2/, which need Python's standard
# library only. Run after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python -m compileall -q review/common2
