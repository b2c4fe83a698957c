"""How long an idle connection to a service's upstreams may be used again."""

from __future__ import annotations

# Idle time up to which a connection carries a request that must not run
# twice: an upstream that forgot an idle connection resets what comes next,
# and nobody knows whether it ran.
FRESH_S = 1.0
# Part of the shortest idle time after which a connection was forgotten that
# is still trusted.
TRUSTED_SHARE = 0.5
# Time for which forgotten connections of one upstream make those of the
# others suspect, seconds: upstreams of one service are configured alike.
DISTRUST_S = 5.0
# A connection that breaks after less was not forgotten while it was idle.
LEAST_IDLE_S = 0.05
# A forgotten connection resets after a round trip (1 ms to 6 ms on the sites).
# What breaks later broke at work, where one answer in ten takes below 50 ms.
RESET_WITHIN_S = 0.015


class IdleLimit:
    """Longest idle time of connections to one service that is trusted.

    Attributes
    ----------
    shortest_s : float
        Shortest idle time after which a connection was forgotten.
    until : float
        Until when it limits the use of other connections.
    """

    def __init__(self) -> None:
        self.shortest_s = float('inf')
        self.until = float('-inf')

    def record_reset(self, idle_s: float, after_s: float, now: float) -> bool:
        """Take note of a connection that broke on its next request.

        Parameters
        ----------
        idle_s, after_s : float
            How long it was idle before, and when it broke after the request
            was sent.

        Returns
        -------
        bool
            Whether it counts as forgotten.
        """
        if idle_s < LEAST_IDLE_S or after_s > RESET_WITHIN_S:
            return False
        if now >= self.until:
            self.shortest_s = float('inf')
        self.shortest_s = min(self.shortest_s, idle_s)
        self.until = now + DISTRUST_S
        return True

    def max_idle_s(self, idempotent: bool, now: float) -> float:
        """Return the longest idle time after which a connection is used."""
        usual = float('inf') if idempotent else FRESH_S
        if now >= self.until:
            return usual
        return min(usual, self.shortest_s * TRUSTED_SHARE)
