"""Time that a process loses to the load of the machine."""

from __future__ import annotations

import pathlib

# Processor time, time in which the main thread was ready to run and did not,
# and time slices; the times in ns (proc(5)).
SCHEDSTAT = pathlib.Path('/proc/self/schedstat')


def wait_s() -> float:
    """Return how long the main thread has waited for a processor, seconds.

    Tests subtract it from what they measure. A kernel that does not count it
    makes them stricter.
    """
    if not SCHEDSTAT.exists():
        return 0.0
    return int(SCHEDSTAT.read_text().split()[1]) / 1e9
