"""What this instance may send to one upstream."""

from __future__ import annotations

from knapweedhall_traffic import cold

SMOOTHING = 0.2
# The estimate of the shortest work time expires, as an upstream that became
# fast again would otherwise never be sent a request with a short deadline.
FASTEST_VALID_S = 1.0


class UpstreamLimits:
    """Counts against this instance's share of an upstream's limits.

    Attributes
    ----------
    slots, connections, cold_slots : int
        The share; 0 until `set_share`.
    outstanding : int
        Requests admitted and not finished.
    state : cold.ColdState
        Cold-start detection and budget.
    latency : float
        Smoothed latency of answers, seconds; 0 without any.
    answered_at : float
        When the last answer arrived, seconds.
    blocked : bool
        Whether nothing is sent, as the last connection attempt failed.
    """

    def __init__(self) -> None:
        self.slots = 0
        self.connections = 0
        self.cold_slots = 0
        self.outstanding = 0
        self.state = cold.ColdState()
        self.latency = 0.0
        self.answered_at = 0.0
        self.fastest = 0.0
        self.blocked = False

    def set_share(self, slots: int, connections: int, cold_slots: int) -> None:
        """Set this instance's share; requests already sent are kept."""
        self.slots = slots
        self.connections = connections
        self.cold_slots = cold_slots

    def allowed(self) -> int:
        """Return how many requests may be outstanding now."""
        if self.blocked:
            return 0
        # Each request has a connection of its own.
        usable = min(self.slots, self.connections)
        if self.state.refused:
            # One request at a time finds out whether the upstream accepts
            # connections again.
            return min(1, usable)
        return self.state.allowed(usable, self.cold_slots)

    def has_room(self) -> bool:
        """Return whether another request may be sent."""
        return self.outstanding < self.allowed()

    def admit(self) -> bool:
        """Count a request in, or return False if the share is used up."""
        if self.outstanding >= self.allowed():
            return False
        self.outstanding += 1
        return True

    def finish(self) -> None:
        """Count a request out."""
        self.outstanding -= 1

    def answer(self, sample: cold.Sample, now: float) -> str:
        """Take note of an answer; return a sign as `ColdState.answer`."""
        if not sample.sheds:
            self._measure(sample.latency, now)
        return self.state.answer(sample, self.slots, self.cold_slots)

    def _measure(self, latency: float, now: float) -> None:
        stale = now - self.answered_at > FASTEST_VALID_S
        if stale or latency < self.fastest:
            self.fastest = latency
        else:
            self.fastest += SMOOTHING * (latency - self.fastest) / 8
        self.answered_at = now
        if self.latency:
            self.latency += SMOOTHING * (latency - self.latency)
        else:
            self.latency = latency

    def can_finish(self, now: float, end: float) -> bool:
        """Return whether work sent now can be finished by `end`."""
        if now >= end:
            return False
        if now - self.answered_at > FASTEST_VALID_S:
            return True
        return now + self.fastest <= end
