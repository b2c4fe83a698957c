"""Request rates by key and service times by upstream, over all instances."""

from __future__ import annotations

import itertools
import math
import statistics
import typing

from knapweedhall_routing import model

# Keys counted together; ranges are split between buckets only. Eight busy
# neighbours exceed any upstream on the sites' days with hot keys.
BUCKET_KEYS = 4
BUCKET_COUNT = model.KEY_COUNT // BUCKET_KEYS
# Time constant of the rates: long enough for some dozens of requests per
# upstream.
RATE_TIME_S = 1.5
# Time constant of the rates of keys that turned hot. The slow rate shows a
# third of a jump after 0.6 s, so that moves would be too large and too few.
RECENT_TIME_S = 0.5
# Buckets of 256 keys, which turn hot together: busy keys are close to one
# another.
BLOCK_BUCKETS = 256 // BUCKET_KEYS
# A block is hot if it has more recent requests than expected by so many
# standard deviations of a count, and by so many requests besides.
HOT_DEVIATIONS = 2.0
HOT_LEAST_EXCESS = 3.0
# Time after which the weights of counts begin anew; they grow to e^40.
LONGEST_GROWTH_S = 20.0
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

    Counts decay exponentially. They are kept with forward decay, multiplied by
    a weight that grows with time, so that no bucket is touched as time passes.

    Attributes
    ----------
    counts, recent : list of float
        Requests by bucket times their weights, which grow with the slow and
        the fast time constant.
    begun_at, decayed_at : float
        When the weights were 1, and the time of the last rates, seconds.
    """

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKET_COUNT
        self.recent = [0.0] * BUCKET_COUNT
        self.begun_at = 0.0
        self.decayed_at = 0.0
        # What `counts` and the hot blocks amount to, and a count's part of
        # the rate.
        self.estimates = self.counts
        self.per_s = 0.0
        self.sums: list[float] = [0.0] * (BUCKET_COUNT + 1)

    def add(self, counts: typing.Mapping[int, int]) -> None:
        """Add requests counted by bucket."""
        passed = self.decayed_at - self.begun_at
        slow = math.exp(passed / RATE_TIME_S)
        fast = math.exp(passed / RECENT_TIME_S)
        for bucket, count in counts.items():
            if 0 <= bucket < BUCKET_COUNT and count > 0:
                self.counts[bucket] += count * slow
                self.recent[bucket] += count * fast

    def decay(self, now: float) -> None:
        """Let old requests decay and prepare the sums of ranges."""
        period = max(0.0, now - self.decayed_at)
        self.decayed_at = max(now, self.decayed_at)
        if self.decayed_at - self.begun_at > LONGEST_GROWTH_S:
            self._begin_weights()
        slow = self._per_s(RATE_TIME_S, period)
        fast = self._per_s(RECENT_TIME_S, period)
        found = self.counts
        for block in self._hot_blocks(period):
            if found is self.counts:
                found = list(self.counts)
            found[block] = [
                count * fast / slow for count in self.recent[block]
            ]
        self.estimates = found
        self.per_s = slow
        self.sums = [0.0, *itertools.accumulate(found)]

    def _begin_weights(self) -> None:
        """Begin the weights anew, before they exceed a float's range."""
        passed = self.decayed_at - self.begun_at
        slow = math.exp(-passed / RATE_TIME_S)
        fast = math.exp(-passed / RECENT_TIME_S)
        self.counts = [count * slow for count in self.counts]
        self.recent = [count * fast for count in self.recent]
        self.begun_at = self.decayed_at

    def _per_s(self, time_s: float, period: float) -> float:
        """Return the rate that a weighted count stands for."""
        passed = self.decayed_at - self.begun_at
        return math.exp(-passed / time_s) * _middle(period, time_s) / time_s

    def _hot_blocks(self, period: float) -> list[slice]:
        """Return the blocks that turned hot, for their fast rates."""
        passed = self.decayed_at - self.begun_at
        fast = math.exp(-passed / RECENT_TIME_S)
        # Requests that the slow rate expects in the time of the fast one.
        expect = self._per_s(RATE_TIME_S, period)
        expect *= RECENT_TIME_S / _middle(period, RECENT_TIME_S)
        hot = []
        for begin in range(0, BUCKET_COUNT, BLOCK_BUCKETS):
            block = slice(begin, begin + BLOCK_BUCKETS)
            seen = sum(self.recent[block]) * fast
            if seen <= HOT_LEAST_EXCESS:
                continue
            expected = sum(self.counts[block]) * expect
            excess = HOT_DEVIATIONS * math.sqrt(expected) + HOT_LEAST_EXCESS
            if seen > expected + excess:
                hot.append(block)
        return hot

    def rate(self, first: int, last: int) -> float:
        """Return the requests per second for keys of a range."""
        total = self.sums[bucket_of(last) + 1] - self.sums[bucket_of(first)]
        return max(0.0, total * self.per_s)

    def total(self) -> float:
        """Return the requests per second for all keys."""
        return self.sums[-1] * self.per_s

    def buckets(self, first: int, last: int) -> list[float]:
        """Return the requests per second of each bucket of a range."""
        found = self.estimates[bucket_of(first) : bucket_of(last) + 1]
        return [count * self.per_s for count in found]


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
