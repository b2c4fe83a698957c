"""Starts the router from a checkout, with its source folders on the path."""

import gc
import os
import pathlib
import sys

# The router uses no TLS, and aiohttp loads the CA certificates when it is
# imported. That and garbage collection take a quarter of the processor time of
# a start, and hundreds of instances may start at once.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull
gc.disable()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[0:1] = [
    str(ROOT / 'platform' / 'src'),
    str(ROOT / 'packages' / 'knapweedhall-events' / 'src'),
    str(ROOT / 'packages' / 'knapweedhall-records' / 'src'),
    str(ROOT / 'packages' / 'knapweedhall-routing' / 'src'),
    str(ROOT / 'packages' / 'knapweedhall-router' / 'src'),
    str(ROOT / 'target' / 'deps'),
]

from knapweedhall_router import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main.main())
