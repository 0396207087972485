#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files that need the standard library only.
# The daemons come from the build of deploy/system.toml, which runs before.
set -e
cd "$(dirname "$0")/.."
if [ ! -f target/deps/trefoilreach/__main__.py ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
python3 -m compileall -q review/standins_2.py review/plain_worker_2.py review/6 review/7 review/8 review/9 review/10
