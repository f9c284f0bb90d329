#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. See claim.txt.
python3 -B "$(dirname "$0")/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
