"""The clock of deadlines and leases."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds of a clock that also counts while suspended.

    A machine may be suspended for seconds; the monotonic clock does not
    count that time, and a lease must.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
