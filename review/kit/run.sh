#!/bin/sh
# Runs the case in the folder $1; the run.sh of each case calls this.
cd "$1" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../kit exec python3 case.py
