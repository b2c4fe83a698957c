"""Runs the router as a module."""

import sys

from knapweedhall_router import main

if __name__ == '__main__':
    sys.exit(main.main())
