#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are plain Python and
# use the standard library only, so they are only checked to compile.
set -eu
cd "$(dirname "$0")/.."
python3 - review/harness3.py review/1[1-5]/case.py <<'EOF'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as stream:
        compile(stream.read(), path, "exec")
EOF
