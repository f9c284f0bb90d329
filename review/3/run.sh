#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "not run: python3 is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
