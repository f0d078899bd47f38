#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 9 compile; they need no other build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
from pathlib import Path

for path in [Path("fleet.py"), *(Path(f"{n}/case.py") for n in range(6, 10))]:
    if path.exists():
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
