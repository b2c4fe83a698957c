"""Starts the router from a checkout, with its source folders on the path."""

import pathlib
import sys

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
