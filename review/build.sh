#!/bin/sh
# Builds what the cases start beside the gateway. Run it after the build of the deploy file.
# The stand-ins are Python files of this folder and need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of the deploy file first"; exit 2; }
exec .venv/bin/python -m compileall -q review
