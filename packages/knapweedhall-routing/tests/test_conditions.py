"""Tests of shared knowledge of upstreams."""

from __future__ import annotations

import math
import sys
import unittest

from knapweedhall_routing import conditions
from knapweedhall_routing import health
from knapweedhall_routing import model


def condition(load: float, users: int, at: float) -> conditions.Condition:
    """Return the condition of an upstream with 6 slots."""
    return conditions.Condition(6.0, load, 0.3, users, at)


class ConditionsTest(unittest.TestCase):
    """Shares, rooms and expected latency."""

    def setUp(self) -> None:
        """Create an instance that was told of one upstream."""
        self.own = health.Health(6)
        self.shared = conditions.Conditions({'u': self.own})
        self.shared.update({'u': condition(4.0, 2, 10.0)}, True, 10.0)

    def test_upstream_that_is_not_near_its_limit(self) -> None:
        """Guards against limits where none is called for."""
        self.assertEqual(sys.maxsize, self.shared.share('v', 10.0))
        self.assertEqual(math.inf, self.shared.room('v', 10.0))
        self.assertEqual(math.inf, self.shared.drain_per_s('v', 10.0))
        self.shared.record_sent('v', 10.0)
        self.assertEqual(10.1, self.shared.earliest_at('v', 10.1))
        self.assertEqual({}, self.shared.tokens)

    def test_stale_knowledge(self) -> None:
        """Guards against limits of a coordinator that was lost."""
        self.assertEqual(3, self.shared.share('u', 12.0))
        self.assertEqual(sys.maxsize, self.shared.share('u', 12.1))
        # Heartbeats without a change confirm what is known.
        self.shared.update({}, False, 12.1)
        self.assertEqual(3, self.shared.share('u', 12.2))
        self.shared.update({'u': None}, False, 12.3)
        self.assertEqual(sys.maxsize, self.shared.share('u', 12.3))

    def test_own_requests_take_room(self) -> None:
        """Guards against an instance that fills what it was told is free."""
        for number in range(3):
            self.shared.record_sent('u', 10.1 + number / 10)
        self.assertEqual(-1.0, self.shared.room('u', 10.4))
        self.shared.update({'u': condition(5.0, 2, 10.15)}, False, 10.4)
        self.assertEqual(-1.0, self.shared.room('u', 10.4))
        # An unchanged load is not sent again, and contains them by then.
        self.assertEqual(1.0, self.shared.room('u', 11.5))
        self.shared.update({}, True, 11.5)
        self.assertEqual({}, self.shared.sent_at)

    def test_pace_of_many_instances(self) -> None:
        """Guards against 72 instances that each send to 6 slots at once."""
        for load, per_s in ((6.0, 20.0), (12.0, 20 / 3), (90.0, 20 / 29)):
            with self.subTest(load=load):
                self.shared.update({}, True, 10.0)
                self.shared.update({'u': condition(load, 72, 10)}, True, 10.0)
                self.assertEqual(1, self.shared.share('u', 10.0))
                for _ in range(1 + conditions.BURST):
                    self.assertEqual(10.0, self.shared.earliest_at('u', 10))
                    self.shared.record_sent('u', 10.0)
                changed = condition(load, 72, 10.1)
                self.shared.update({'u': changed}, False, 10.1)
                pace_s = self.shared.earliest_at('u', 10.1) - 10.0
                self.assertAlmostEqual(per_s, 72 / pace_s)
        # It recovers, and the pace of before does not bind any more.
        self.shared.update({'u': condition(3.0, 72, 10.2)}, False, 10.2)
        self.assertEqual(10.2, self.shared.earliest_at('u', 10.2))

    def test_newest_measurement_counts(self) -> None:
        """Guards against a decision by a response of ten seconds ago."""
        report = model.LoadReport(0, 0, 6, 1.0)
        self.own.record_response(0.1, report, 9.0)
        self.assertAlmostEqual(0.3, self.shared.expected_latency_s('u', 10.0))
        self.shared.update({'u': condition(17.0, 2, 10.0)}, False, 10.0)
        self.assertAlmostEqual(0.9, self.shared.expected_latency_s('u', 10.0))
        self.own.record_response(0.1, report, 10.1)
        self.assertAlmostEqual(0.3, self.shared.expected_latency_s('u', 10.1))
        # Without shared knowledge the own service time counts.
        self.assertAlmostEqual(0.1, self.shared.expected_latency_s('u', 12.1))

    def test_silence(self) -> None:
        """Guards against requests refused as one connection is silent."""
        self.own.record_sent(1, 0.0)
        self.assertTrue(self.own.is_silent(10.1))
        self.assertFalse(self.shared.is_silent('u', 10.1))
        self.shared.update({'u': condition(4.0, 2, 1.0)}, False, 10.0)
        self.assertTrue(self.shared.is_silent('u', 10.1))
