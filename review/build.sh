#!/bin/sh
# Checks that the programs which the scripts start can be run: the project's
# stand-ins and those of review/lib. They are Python and use only the libraries
# that the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:platform/src:review/lib
for folder in packages/*/src; do
    PYTHONPATH="$PYTHONPATH:$folder"
done
export PYTHONDONTWRITEBYTECODE PYTHONPATH
exec python3 -c '
import backend
import harness
import knapweedhall_router.main
import knapweedhall_standins.store_process
import knapweedhall_standins.upstream_process
'
