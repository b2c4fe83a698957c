"""Clock for deadlines and leases."""

from __future__ import annotations

import time


def now() -> float:
    """Return the time in seconds of a clock that includes suspended time.

    A machine may be suspended for seconds. The monotonic clock does not count
    that time, but a lease expires in it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
