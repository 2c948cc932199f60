#!/usr/bin/env bash
# Builds what the scripts start besides the build of the deploy file. The stand-ins are Python
# programs without dependencies: this checks that they compile, and writes nothing.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/*.py <<'P'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
P
