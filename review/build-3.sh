#!/bin/sh
# Builds the stand-ins of cases 11 to 15: they are Python, so they are compiled and imported once,
# with the packages that the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/11/rig3 hibiscustray/platform hibiscustray/soak
PYTHONPATH=target/deps:. python3 -c "import hibiscustray.platform.standins"
PYTHONPATH=review/11/rig3 python3 -c "import site_3"
