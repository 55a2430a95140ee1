#!/bin/sh
# The stand-ins use the standard library only: check that the interpreter can load them.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
CHECK
