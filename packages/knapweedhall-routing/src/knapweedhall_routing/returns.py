"""Decides when callers that were refused by a full service should return.

Load that this is meant for: a burst above the capacity of a service for
seconds. Callers that are told to return before there is room are refused
again, and take processor time and retries from those that could be served.
"""

from __future__ import annotations

import math
import random

from knapweedhall_routing import admission

# Part of the time that callers honor over which those are spread that there
# will be no room for in it. The later they return, the more of a burst has
# passed.
# Replayed bursts (test_returns) had 2% to 9% fewer second refusals than with
# a half.
LATE_SHARE = 0.25
# Time constant of the rate of requests.
RATE_DECAY_S = 0.5
# Share of the drain rate that is assumed to be left for callers that return
# if new requests alone use it up. Some give up or go elsewhere.
MIN_ROOM_SHARE = 0.05


class Returns:
    """Plans the returns of callers that one service refused.

    Attributes
    ----------
    room_until : float
        Until when the room is taken by callers that were refused before,
        seconds.
    requests : float
        Decaying number of recent requests.
    counted_at : float
        When a request was counted last, seconds.
    """

    def __init__(self) -> None:
        self.room_until = -math.inf
        self.requests = 0.0
        self.counted_at = -math.inf

    def count_request(self, now: float) -> None:
        """Count a request, whether it is sent or refused."""
        self._decay(now)
        self.requests += 1

    def plan(
        self,
        now: float,
        left_s: float,
        waiting: int,
        drain_per_s: float,
        rng: random.Random,
    ) -> float:
        """Return the time after which a refused caller should retry, seconds.

        It is never longer than callers honor.

        Parameters
        ----------
        now : float
            Current time, seconds.
        left_s : float
            Time until the caller stops waiting.
        waiting : int
            Requests that wait for room now.
        drain_per_s : float
            Requests per second that the service completes for this instance.
        rng : random.Random
            Source of the spread.
        """
        max_s = max(0.0, left_s) * admission.RETRY_AFTER_SHARE
        self._decay(now)
        arrivals_per_s = self.requests / RATE_DECAY_S
        room_per_s = max(
            drain_per_s - arrivals_per_s, drain_per_s * MIN_ROOM_SHARE
        )
        if room_per_s * max_s < 1:
            return self._spread_late(max_s, rng)
        gap_s = 1 / room_per_s
        begin_at = max(self.room_until, now + waiting / drain_per_s)
        if begin_at + gap_s > now + max_s:
            return self._spread_late(max_s, rng)
        self.room_until = begin_at + gap_s
        after_s = begin_at - now + rng.uniform(0.0, gap_s)
        return min(max_s, max(after_s, admission.MIN_RETRY_AFTER_S))

    def _spread_late(self, max_s: float, rng: random.Random) -> float:
        return max_s * rng.uniform(1 - LATE_SHARE, 1.0)

    def _decay(self, now: float) -> None:
        if now > self.counted_at:
            self.requests *= math.exp((self.counted_at - now) / RATE_DECAY_S)
            self.counted_at = now
