#!/bin/sh
# Builds every stand-in that a script of the second review starts. They are Python programs of the
# standard library (review/lib-2); there is nothing to compile but a check that they can be read.
cd "$(dirname "$0")" || exit 2
exec python3 -B - <<'PY'
import glob

for path in sorted(glob.glob("lib-2/*.py") + glob.glob("[6-9]/scenario.py") + glob.glob("10/scenario.py")):
    with open(path) as source:
        compile(source.read(), path, "exec")
PY
