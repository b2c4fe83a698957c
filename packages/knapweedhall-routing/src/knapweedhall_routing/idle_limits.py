"""How long a connection to a service may be idle and still be reused."""

from __future__ import annotations

# Maximum idle time of a connection that carries a request which must not run
# twice. If the upstream closed the connection while it was idle, it resets
# the next request, and it is unknown whether that request ran.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
# Connections are reused up to this share of the shortest idle time after
# which one was found closed by its upstream.
REUSE_SHARE = 0.5
# Time for which a connection that its upstream closed while idle limits the
# reuse of all others: upstreams of one service are configured alike.
LIMIT_DURATION_S = 5.0
# A connection that was idle for less than this was not closed because it was
# idle.
MIN_IDLE_S = 0.05
# A connection that was closed while idle is reset after one round trip (1 ms
# to 6 ms). A later reset happened during processing: only one response in ten
# takes less than 50 ms.
MAX_RESET_DELAY_S = 0.015


class IdleLimit:
    """Maximum idle time of connections to one service that may be reused.

    Attributes
    ----------
    shortest_closed_s : float
        Shortest idle time after which a connection was found closed by its
        upstream.
    limited_until : float
        Until when `shortest_closed_s` limits the reuse of other connections.
    """

    def __init__(self) -> None:
        self.shortest_closed_s = float('inf')
        self.limited_until = float('-inf')

    def record_reset(self, idle_s: float, after_s: float, now: float) -> bool:
        """Record a connection that was reset on its next request.

        Parameters
        ----------
        idle_s, after_s : float
            How long the connection was idle before the request, and how long
            after sending the request it was reset.

        Returns
        -------
        bool
            Whether the upstream is taken to have closed the connection while
            it was idle.
        """
        if idle_s < MIN_IDLE_S or after_s > MAX_RESET_DELAY_S:
            return False
        if now >= self.limited_until:
            self.shortest_closed_s = float('inf')
        self.shortest_closed_s = min(self.shortest_closed_s, idle_s)
        self.limited_until = now + LIMIT_DURATION_S
        return True

    def max_idle_s(self, idempotent: bool, now: float) -> float:
        """Return the maximum idle time of a connection that may be reused."""
        default = float('inf') if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        if now >= self.limited_until:
            return default
        return min(default, self.shortest_closed_s * REUSE_SHARE)
