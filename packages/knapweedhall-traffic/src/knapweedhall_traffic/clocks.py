"""Deadlines on the clock of another process.

No common clock exists. A reading of the other process's monotonic clock is
taken from each of its answers; an end on the own clock becomes a deadline on
the other clock that is earlier, never later, than the end.
"""

from __future__ import annotations

import typing

# Covers the clock-rate bound of 0.2% per clock with room to spare.
RATE_MARGIN = 0.99
# A reading whose age costs more than this share of the remaining time is
# taken again: at 1% per second of age the margin alone would end a request.
MAX_AGE_LOSS = 0.1


class Reading(typing.NamedTuple):
    """One reading of another process's monotonic clock.

    Attributes
    ----------
    clock_ms : float
        The other clock, in milliseconds.
    received : float
        When the answer with the reading arrived, in seconds of the own
        clock; the other clock was read before that.
    """

    clock_ms: float
    received: float


def deadline_on(reading: Reading, end: float) -> float:
    """Return the deadline on the other clock, in ms, for an own `end`."""
    return reading.clock_ms + (end - reading.received) * 1000 * RATE_MARGIN


def is_usable(reading: Reading | None, now: float, end: float) -> bool:
    """Return whether a reading is recent enough for a deadline at `end`."""
    if reading is None:
        return False
    loss = (now - reading.received) * (1 - RATE_MARGIN)
    return loss <= (end - now) * MAX_AGE_LOSS


def work_end(
    deadline: float, permit: float, checks_tokens: bool, max_work_s: float
) -> float:
    """Return when the work of a request has to end, on the own clock.

    An upstream that does not check tokens may run a request only until the
    next owner's activation, which waits `max_work_s` beyond the permit.
    """
    if checks_tokens:
        return deadline
    return min(deadline, permit + max_work_s)


def parse_clock(value: bytes | None, received: float) -> Reading | None:
    """Return the reading that an answer's header carries, or None."""
    if value is None:
        return None
    try:
        clock_ms = float(value)
    except ValueError:
        return None
    # NaN compares unequal to itself; neither it nor infinity is a clock.
    if not 0 <= clock_ms < 2**63:
        return None
    return Reading(clock_ms, received)
