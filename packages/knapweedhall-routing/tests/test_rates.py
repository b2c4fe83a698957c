"""Tests of measured request rates."""

from __future__ import annotations

import copy
import random
import unittest

from knapweedhall_routing import model
from knapweedhall_routing import rates

PERIOD_S = 0.25
HOT_FIRST, HOT_LAST = 30000, 30199


class KeyRatesTest(unittest.TestCase):
    """Requests per second by key."""

    def setUp(self) -> None:
        """Measure steady traffic to all keys."""
        self.random = random.Random(4)
        self.rates = rates.KeyRates()
        self.now = 0.0
        self.run_for(6.0, 240.0, 0.0)

    def run_for(self, seconds: float, per_s: float, hot_per_s: float) -> None:
        """Count requests to all keys and to a few neighboring hot ones."""
        for _ in range(round(seconds / PERIOD_S)):
            counts: dict[int, int] = {}
            for _ in range(round(per_s * PERIOD_S)):
                bucket = self.random.randrange(rates.BUCKET_COUNT)
                counts[bucket] = counts.get(bucket, 0) + 1
            for _ in range(round(hot_per_s * PERIOD_S)):
                key = self.random.randint(HOT_FIRST, HOT_LAST)
                bucket = rates.bucket_of(key)
                counts[bucket] = counts.get(bucket, 0) + 1
            self.rates.add(counts)
            self.now += PERIOD_S
            self.rates.decay(self.now)

    def test_steady_traffic(self) -> None:
        """Guards against rates that are too low between reports."""
        self.assertAlmostEqual(240, self.rates.total(), delta=20)

    def test_hot_keys_are_detected_within_a_second(self) -> None:
        """Guards against moves that are too small for a sudden hot range.

        The slow time constant alone shows half of the load after a second, and
        the moves that follow from it overload the next upstream.
        """
        self.run_for(0.75, 240.0, 90.0)
        measured = self.rates.rate(HOT_FIRST, HOT_LAST)
        self.assertGreater(measured, 0.65 * 90)
        self.assertLess(measured, 1.35 * 90)

    def test_noise_is_not_hot(self) -> None:
        """Guards against moving ranges because of a few requests."""
        slow = copy.deepcopy(self.rates)
        slow.fast_counts = [0.0] * rates.BUCKET_COUNT
        for measured in (self.rates, slow):
            measured.decay(self.now)
        raised = sum(
            fast > 1.5 * steady + 1
            for fast, steady in zip(
                self.rates.bucket_rates(0, model.KEY_COUNT - 1),
                slow.bucket_rates(0, model.KEY_COUNT - 1),
            )
        )
        self.assertLess(raised, rates.BUCKET_COUNT / 50)

    def test_rates_do_not_depend_on_the_age_of_the_weights(self) -> None:
        """Guards against a float overflow after some minutes of traffic."""
        self.run_for(3 * rates.MAX_WEIGHT_AGE_S, 240.0, 0.0)
        self.assertAlmostEqual(240, self.rates.total(), delta=20)
        self.now += 1000.0
        self.rates.decay(self.now)
        self.assertLess(self.rates.total(), 0.001)
