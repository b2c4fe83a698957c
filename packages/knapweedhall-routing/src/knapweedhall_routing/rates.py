"""Request rates by key and service times by upstream, over all instances."""

from __future__ import annotations

import itertools
import math
import statistics
import typing

from knapweedhall_routing import model

# Keys counted together; ranges are split between buckets only.
BUCKET_KEYS = 8
BUCKETS = model.KEY_COUNT // BUCKET_KEYS
# Time constant of the rates: long enough for some dozens of requests per
# upstream.
RATE_TIME_S = 1.5
# Time constant of the rates of keys that turned hot. The slow rate shows a
# third of a jump after 0.6 s, so that moves would be too large and too few.
RECENT_TIME_S = 0.5
# Buckets that turn hot together: busy keys are close to one another.
BLOCK_BUCKETS = 32
# A block is hot if it has more recent requests than expected by so many
# standard deviations of a count, and by so many requests besides.
HOT_DEVIATIONS = 2.0
HOT_LEAST_EXCESS = 3.0
# Longest time between two plans for which the rates are corrected.
LONGEST_PERIOD_S = 0.5
# Weight of a report against what was known; instances report twice a second.
TIME_SMOOTHING = 0.3
# Service time of an upstream before any answer, seconds.
INITIAL_SERVICE_S = 0.1


def bucket_of(key: int) -> int:
    """Return the bucket of a key."""
    return key // BUCKET_KEYS


class KeyRates:
    """Smoothed requests per second of each bucket of one service.

    Attributes
    ----------
    counts, recent : list of float
        Requests by bucket, faded with the slow and the fast time constant.
    estimates : list of float
        Requests per second by bucket.
    """

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.recent = [0.0] * BUCKETS
        self.estimates = [0.0] * BUCKETS
        self.decayed_at = 0.0
        self.sums: list[float] = [0.0] * (BUCKETS + 1)

    def add(self, counts: typing.Mapping[int, int]) -> None:
        """Add requests counted by bucket."""
        for bucket, count in counts.items():
            if 0 <= bucket < BUCKETS and count > 0:
                self.counts[bucket] += count
                self.recent[bucket] += count

    def decay(self, now: float) -> None:
        """Let old requests fade and prepare the sums of ranges."""
        passed = max(0.0, now - self.decayed_at)
        self.decayed_at = now
        slow = math.exp(-passed / RATE_TIME_S)
        self.counts = [count * slow for count in self.counts]
        per_s = _middle(passed, RATE_TIME_S) / RATE_TIME_S
        self.estimates = [count * per_s for count in self.counts]
        fast = math.exp(-passed / RECENT_TIME_S)
        self.recent = [count * fast for count in self.recent]
        per_s = _middle(passed, RECENT_TIME_S) / RECENT_TIME_S
        for begin in range(0, BUCKETS, BLOCK_BUCKETS):
            self._take_recent(begin, begin + BLOCK_BUCKETS, per_s)
        self.sums = [0.0, *itertools.accumulate(self.estimates)]

    def _take_recent(self, begin: int, end: int, per_s: float) -> None:
        """Use the fast rates of a block that turned hot."""
        seen = sum(self.recent[begin:end])
        if seen <= HOT_LEAST_EXCESS:
            return
        expected = sum(self.estimates[begin:end]) / per_s
        excess = HOT_DEVIATIONS * math.sqrt(expected) + HOT_LEAST_EXCESS
        if seen > expected + excess:
            self.estimates[begin:end] = [
                count * per_s for count in self.recent[begin:end]
            ]

    def rate(self, first: int, last: int) -> float:
        """Return the requests per second for keys of a range."""
        total = self.sums[bucket_of(last) + 1] - self.sums[bucket_of(first)]
        return max(0.0, total)

    def total(self) -> float:
        """Return the requests per second for all keys."""
        return self.sums[-1]

    def buckets(self, first: int, last: int) -> list[float]:
        """Return the requests per second of each bucket of a range."""
        return self.estimates[bucket_of(first) : bucket_of(last) + 1]


def _middle(passed: float, time_s: float) -> float:
    """Return the correction for counts that came in evenly in a period.

    They fade for the whole period, but are half a period old on average.
    """
    return math.exp(min(passed, LONGEST_PERIOD_S) / (2 * time_s))


class ServiceTimes:
    """Smoothed service time of each upstream, over all instances."""

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def add(self, upstream: str, count: int, service_s: float) -> None:
        """Add what one instance measured over `count` answers."""
        if count <= 0 or not 0 < service_s < 60:
            return
        known = self.times.get(upstream, service_s)
        weight = 1 - (1 - TIME_SMOOTHING) ** min(count, 4)
        self.times[upstream] = known + weight * (service_s - known)

    def keep_only(self, upstreams: typing.Collection[str]) -> None:
        """Forget upstreams that are not named."""
        for name in set(self.times) - set(upstreams):
            del self.times[name]

    def capacity(self, upstream: model.Upstream) -> float:
        """Return the requests per second that an upstream can serve."""
        service_s = self.times.get(upstream.name, 0.0)
        if not service_s:
            service_s = (
                statistics.median(self.times.values())
                if self.times
                else INITIAL_SERVICE_S
            )
        return max(1, upstream.slots) / service_s
