#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are the Python files in rig-2/ and in the cases' own folders, which need no
# build and nothing but the standard library. They start no other program of the project than the daemon, which the build
# of deploy/balancer.toml leaves.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in [pathlib.Path("rig-2/rig.py"), *sorted(pathlib.Path(".").glob("*/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
