#!/bin/bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
