"""Starts the router from a checkout, with its source folders on the path.

It needs nothing from the interpreter's site module. Starting without it (-S)
shortens the time in which a signal still ends the process.
"""

# Signals are handled when the libraries are imported, and until then their
# default action would end the process; so this is first.
import signal

signal.pthread_sigmask(
    signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
)

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

# The router uses no TLS, and aiohttp loads the CA certificates when it is
# imported. That and garbage collection take a quarter of the processor time of
# a start, and hundreds of instances may start at once.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull
gc.disable()

ROOT = os.path.dirname(os.path.dirname(os.path.realpath(__file__)))
sys.path[0:1] = [
    os.path.join(ROOT, *folder)
    for folder in (
        ('platform', 'src'),
        ('packages', 'knapweedhall-events', 'src'),
        ('packages', 'knapweedhall-records', 'src'),
        ('packages', 'knapweedhall-routing', 'src'),
        ('packages', 'knapweedhall-router', 'src'),
        ('target', 'deps'),
    )
]

from knapweedhall_router import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main.main())
