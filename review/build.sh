#!/usr/bin/env bash
# The stand-ins are plain Python of the standard library; this checks that each file compiles.
set -eu
cd "$(dirname "$0")"
python3 -B - standins.py */scenario.py <<'P'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(encoding="utf-8"), name, "exec")
P
