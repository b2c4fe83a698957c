#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: this review's
# own, and the project's store. They need Python and target/deps only, which
# the build of the deploy file makes; it is repeated here if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 deploy/build.py
python3 -m compileall -q review/lib-2 packages/knapweedhall-standins/src
PYTHONPATH=packages/knapweedhall-standins/src:target/deps \
    python3 -c 'import knapweedhall_standins.store_process'
