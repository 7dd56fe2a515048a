#!/bin/sh
# Builds the stand-ins of the scripts. They use the standard library of Python
# only, so that there is nothing to build but to check that they compile.
set -e
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/review-build.$$"
export PYTHONPYCACHEPREFIX
python3 -m compileall -q kit */case.py
rm -rf "$PYTHONPYCACHEPREFIX"
