"""Request rates by key and service times by upstream, over all instances."""

from __future__ import annotations

import itertools
import math
import statistics
import typing

from knapweedhall_routing import model

# Keys counted together; ranges are split only between buckets. The load of
# eight neighboring hot keys can exceed the capacity of any upstream.
BUCKET_KEYS = 4
BUCKET_COUNT = model.KEY_COUNT // BUCKET_KEYS
# Time constant of the slow rates, long enough to cover some dozens of requests
# per upstream.
SLOW_TIME_CONSTANT_S = 1.5
# Time constant of the fast rates, which are used for keys that became hot. The
# slow rate shows a third of a jump after 0.6 s, so that moves planned by it
# alone would be too large and too few.
FAST_TIME_CONSTANT_S = 0.5
# Buckets in a block of 256 keys, which becomes hot as a whole: hot keys are
# close to one another.
BLOCK_BUCKETS = 256 // BUCKET_KEYS
# A block is hot if its recent requests exceed the expected number by this many
# standard deviations of a count plus this many requests.
HOT_DEVIATIONS = 2.0
MIN_HOT_EXCESS = 3.0
# Maximum age of the weights of counts before they are reset to 1; they grow up
# to e^40.
MAX_WEIGHT_AGE_S = 20.0
# Longest time between two plans for which `_correction` corrects the rates.
MAX_CORRECTED_PERIOD_S = 0.5
# Weight of a new report in a service time; instances report twice a second.
TIME_SMOOTHING = 0.3
# Service time assumed for an upstream before any response.
INITIAL_SERVICE_S = 0.1


def bucket_of(key: int) -> int:
    """Return the bucket of a key."""
    return key // BUCKET_KEYS


class KeyRates:
    """Smoothed requests per second of each bucket of one service.

    Counts decay exponentially, by forward decay: new requests are multiplied
    by a weight that grows with time, so that the counts of buckets without new
    requests need no update.

    Attributes
    ----------
    slow_counts, fast_counts : list of float, BUCKET_COUNT items
        Weighted number of requests by bucket. The weights grow with the slow
        and with the fast time constant.
    weights_reset_at, decayed_at : float
        When the weights were 1, and the time of the current rates, seconds.
    counts : list of float, BUCKET_COUNT items
        Counts that the rates are computed from: `slow_counts`, with converted
        fast counts in the hot blocks.
    per_s : float
        Rate for each unit of `counts`, requests per second.
    sums : list of float, BUCKET_COUNT + 1 items
        Sums of `counts` over all buckets before an index.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.slow_counts = [0.0] * BUCKET_COUNT
        self.fast_counts = [0.0] * BUCKET_COUNT
        self.weights_reset_at = now
        self.decayed_at = now
        self.counts = self.slow_counts
        self.per_s = 0.0
        self.sums: list[float] = [0.0] * (BUCKET_COUNT + 1)

    def add(
        self, counts: typing.Mapping[int, int], at: float | None = None
    ) -> None:
        """Add numbers of requests by bucket.

        Parameters
        ----------
        counts : dict of int to int
            Requests by bucket.
        at : float or None
            Begin of the period in which they were counted, seconds; None if
            they were counted since the last call of `decay`.
        """
        if at is None:
            at = self.decayed_at
        age = at - self.weights_reset_at
        slow = math.exp(age / SLOW_TIME_CONSTANT_S)
        fast = math.exp(age / FAST_TIME_CONSTANT_S)
        for bucket, count in counts.items():
            if 0 <= bucket < BUCKET_COUNT and count > 0:
                self.slow_counts[bucket] += count * slow
                self.fast_counts[bucket] += count * fast

    def decay(self, now: float) -> None:
        """Decay old requests and compute the rates for the current time."""
        period = max(0.0, now - self.decayed_at)
        self.decayed_at = max(now, self.decayed_at)
        if self.decayed_at - self.weights_reset_at > MAX_WEIGHT_AGE_S:
            self._reset_weights()
        slow = self._per_s(SLOW_TIME_CONSTANT_S, period)
        fast = self._per_s(FAST_TIME_CONSTANT_S, period)
        counts = self.slow_counts
        for block in self._hot_blocks(period):
            if counts is self.slow_counts:
                counts = list(self.slow_counts)
            counts[block] = [
                count * fast / slow for count in self.fast_counts[block]
            ]
        self.counts = counts
        self.per_s = slow
        self.sums = [0.0, *itertools.accumulate(counts)]

    def _reset_weights(self) -> None:
        """Reset the weights to 1 before they exceed the range of a float."""
        age = self.decayed_at - self.weights_reset_at
        slow = math.exp(-age / SLOW_TIME_CONSTANT_S)
        fast = math.exp(-age / FAST_TIME_CONSTANT_S)
        self.slow_counts = [count * slow for count in self.slow_counts]
        self.fast_counts = [count * fast for count in self.fast_counts]
        self.weights_reset_at = self.decayed_at

    def _per_s(self, time_constant_s: float, period: float) -> float:
        """Return the requests per second for each unit of a weighted count."""
        age = self.decayed_at - self.weights_reset_at
        return (
            math.exp(-age / time_constant_s)
            * _correction(period, time_constant_s)
            / time_constant_s
        )

    def _hot_blocks(self, period: float) -> list[slice]:
        """Return the blocks that became hot, for which fast rates are used."""
        age = self.decayed_at - self.weights_reset_at
        fast = math.exp(-age / FAST_TIME_CONSTANT_S)
        # Requests that the slow rate predicts for the fast time constant.
        predict = self._per_s(SLOW_TIME_CONSTANT_S, period)
        predict *= FAST_TIME_CONSTANT_S / _correction(
            period, FAST_TIME_CONSTANT_S
        )
        hot = []
        for begin in range(0, BUCKET_COUNT, BLOCK_BUCKETS):
            block = slice(begin, begin + BLOCK_BUCKETS)
            recent = sum(self.fast_counts[block]) * fast
            if recent <= MIN_HOT_EXCESS:
                continue
            expected = sum(self.slow_counts[block]) * predict
            excess = HOT_DEVIATIONS * math.sqrt(expected) + MIN_HOT_EXCESS
            if recent > expected + excess:
                hot.append(block)
        return hot

    def rate(self, first: int, last: int) -> float:
        """Return the requests per second for the keys of a range."""
        total = self.sums[bucket_of(last) + 1] - self.sums[bucket_of(first)]
        return max(0.0, total * self.per_s)

    def total(self) -> float:
        """Return the requests per second for all keys."""
        return self.sums[-1] * self.per_s

    def bucket_rates(self, first: int, last: int) -> list[float]:
        """Return the requests per second of each bucket of a range."""
        counts = self.counts[bucket_of(first) : bucket_of(last) + 1]
        return [count * self.per_s for count in counts]


def _correction(period: float, time_constant_s: float) -> float:
    """Return the factor for counts of requests that came evenly over a period.

    The counts are added with the weight of the period's start and decay for
    the whole period, but the requests are half a period old on average.
    """
    return math.exp(
        min(period, MAX_CORRECTED_PERIOD_S) / (2 * time_constant_s)
    )


class ServiceTimes:
    """Smoothed service time of each upstream, over all instances."""

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def add(self, upstream: str, count: int, service_s: float) -> None:
        """Add the mean service time that one instance measured.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        count : int
            Number of responses that the mean is taken over.
        service_s : float
            Mean service time, seconds.
        """
        if count <= 0 or not 0 < service_s < 60:
            return
        known = self.times.get(upstream, service_s)
        weight = 1 - (1 - TIME_SMOOTHING) ** min(count, 4)
        self.times[upstream] = known + weight * (service_s - known)

    def keep_only(self, upstreams: typing.Collection[str]) -> None:
        """Drop all upstreams except the given ones."""
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
