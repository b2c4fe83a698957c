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
# upstream, short enough to see a hot key within two seconds.
RATE_TIME_S = 1.5
# Weight of a report against what was known; instances report twice a second.
TIME_SMOOTHING = 0.3
# Service time of an upstream before any answer, seconds.
INITIAL_SERVICE_S = 0.1


def bucket_of(key: int) -> int:
    """Return the bucket of a key."""
    return key // BUCKET_KEYS


class KeyRates:
    """Smoothed requests per second of each bucket of one service."""

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.decayed_at = 0.0
        self.sums: list[float] = [0.0] * (BUCKETS + 1)

    def add(self, counts: typing.Mapping[int, int]) -> None:
        """Add requests counted by bucket."""
        for bucket, count in counts.items():
            if 0 <= bucket < BUCKETS and count > 0:
                self.counts[bucket] += count

    def decay(self, now: float) -> None:
        """Let old requests fade and prepare the sums of ranges."""
        factor = math.exp(-max(0.0, now - self.decayed_at) / RATE_TIME_S)
        self.decayed_at = now
        self.counts = [count * factor for count in self.counts]
        self.sums = [0.0, *itertools.accumulate(self.counts)]

    def rate(self, first: int, last: int) -> float:
        """Return the requests per second for keys of a range."""
        total = self.sums[bucket_of(last) + 1] - self.sums[bucket_of(first)]
        return max(0.0, total) / RATE_TIME_S

    def total(self) -> float:
        """Return the requests per second for all keys."""
        return self.sums[-1] / RATE_TIME_S

    def buckets(self, first: int, last: int) -> list[float]:
        """Return the requests per second of each bucket of a range."""
        found = self.counts[bucket_of(first) : bucket_of(last) + 1]
        return [count / RATE_TIME_S for count in found]


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
