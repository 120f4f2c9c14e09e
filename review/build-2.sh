#!/bin/sh
# Builds the stand-ins of the cases 4 and up. They are Python programs, so "build" means: check that the Python on this
# machine can run them. The program under test is built by the deploy file's command, not here.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").glob("stand_ins_2/*.py")) + sorted(pathlib.Path(".").glob("[4-8]/*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
PY
