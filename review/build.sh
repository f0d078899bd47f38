#!/usr/bin/env bash
# Builds the stand-ins of the scripts: checks that they compile with the Python that
# runs them. The programs themselves are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
