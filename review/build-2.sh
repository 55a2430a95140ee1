#!/bin/sh
# Builds the stand-ins that the scripts in review/ of the second review start. They are Python files
# that use the standard library only, so that this only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/pearward_platform || { echo "run the build of the deploy file first" >&2; exit 1; }
python3 -m compileall -q review/standins-2
