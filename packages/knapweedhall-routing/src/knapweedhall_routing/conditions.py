"""What an instance knows of upstreams from all instances together."""

from __future__ import annotations

import math
import sys
import typing

# Age from which shared knowledge is not used. The coordinator sends it every
# 0.3 s.
MAX_AGE_S = 2.0


class Condition(typing.NamedTuple):
    """Load and limit of one upstream over all instances.

    Attributes
    ----------
    limit : float
        Requests that it takes well at once, learned from its latency.
    load : float
        Requests that it runs or queues.
    service_s : float
        Time to process a request once it has a slot, seconds.
    users : int
        Number of instances that send it requests.
    at : float
        When this was measured, seconds.
    """

    limit: float
    load: float
    service_s: float
    users: int
    at: float


class Conditions:
    """Conditions of the upstreams that are near their limit.

    Attributes
    ----------
    known : dict of str to Condition
        Newest conditions by upstream.
    """

    def __init__(self) -> None:
        self.known: dict[str, Condition] = {}

    def find(self, upstream: str, now: float) -> Condition | None:
        """Return what is known of an upstream; None if it is outdated."""
        condition = self.known.get(upstream)
        if condition is None or now - condition.at > MAX_AGE_S:
            return None
        return condition

    def share(self, upstream: str, now: float) -> int:
        """Return how many requests this instance may have outstanding."""
        condition = self.find(upstream, now)
        if condition is None:
            return sys.maxsize
        return max(1, int(condition.limit / max(1, condition.users)))

    def earliest_at(self, upstream: str, now: float) -> float:
        """Return when the next request may be sent, seconds."""
        return now

    def expected_latency_s(self, upstream: str, now: float) -> float:
        """Return the expected time until a response; 0 if it is not known."""
        condition = self.find(upstream, now)
        if condition is None:
            return 0.0
        queued = max(0.0, condition.load + 1 - condition.limit)
        return condition.service_s * (1 + queued / max(1.0, condition.limit))

    def room(self, upstream: str, now: float) -> float:
        """Return how many more requests it takes; inf if it is not known."""
        condition = self.find(upstream, now)
        return (
            math.inf
            if condition is None
            else (condition.limit - condition.load)
        )

    def drain_per_s(self, upstream: str, now: float) -> float:
        """Return the requests that it completes; inf if it is not known."""
        condition = self.find(upstream, now)
        if condition is None:
            return math.inf
        return condition.limit / max(condition.service_s, 0.001)
