"""Tests of the service times and latencies expected of an upstream."""

from __future__ import annotations

import unittest

from knapweedhall_routing import health
from knapweedhall_routing import model

SLOTS = 4
SERVICE_S = 0.1


class SlowdownTest(unittest.TestCase):
    """Upstreams that are slowed down by other load on their machines."""

    def setUp(self) -> None:
        """Measure an upstream without a slowdown."""
        self.health = health.Health(SLOTS)
        for number in range(40):
            report = model.LoadReport(0, 0, SLOTS, 1.0)
            self.health.record_response(SERVICE_S, report, number * 0.1)
        self.now = 4.0

    def test_reported_slowdown_takes_effect_at_once(self) -> None:
        """Guards against detecting a slow upstream only by late responses."""
        before_s = self.health.expected_latency_s(self.now)
        self.health.record_load(model.LoadReport(0, 0, SLOTS, 3.0), self.now)
        self.assertGreater(
            self.health.expected_latency_s(self.now), 2 * before_s
        )

    def test_reported_slowdown_decays(self) -> None:
        """Guards against avoiding an upstream long after one report."""
        before_s = self.health.expected_latency_s(self.now)
        self.health.record_load(model.LoadReport(0, 0, SLOTS, 3.0), self.now)
        after_s = self.health.expected_latency_s(self.now + 1.5)
        self.assertLess(after_s, 1.1 * before_s)


class FewResponsesTest(unittest.TestCase):
    """One of many instances receives few responses from each upstream."""

    def setUp(self) -> None:
        """Measure several slow upstreams of one service."""
        self.baseline = health.Baseline()
        for _ in range(8):
            self.record(health.Health(SLOTS, self.baseline), 8 * SERVICE_S)
        self.health = health.Health(SLOTS, self.baseline)

    def record(self, upstream: health.Health, service_s: float) -> None:
        """Record one response of an upstream without other load."""
        upstream.record_response(
            service_s, model.LoadReport(0, 0, SLOTS, 1.0), 0.0
        )

    def test_unmeasured_upstream_is_not_taken_for_fast(self) -> None:
        """Guards against preferring upstreams that were never used."""
        self.assertAlmostEqual(
            8 * SERVICE_S, self.health.expected_latency_s(0.0)
        )

    def test_first_request_is_not_taken_for_silence(self) -> None:
        """Guards against refusals while an owner is as slow as usual."""
        self.health.record_sent(1, 0.0)
        self.assertFalse(self.health.is_silent(1.5 * 8 * SERVICE_S))
        self.assertTrue(self.health.is_silent(10 * 8 * SERVICE_S))

    def test_one_slow_response_has_little_weight(self) -> None:
        """Guards against avoiding an upstream because of one large request."""
        self.record(self.health, 24 * SERVICE_S)
        self.assertLess(self.health.service_s, 17 * SERVICE_S)
        for _ in range(40):
            self.record(self.health, 24 * SERVICE_S)
        self.assertGreater(self.health.service_s, 22 * SERVICE_S)


class PauseTest(unittest.TestCase):
    """An upstream that wants no requests for a time."""

    def test_pause_ends(self) -> None:
        """Guards against an upstream that is left out for too long."""
        measured = health.Health(SLOTS)
        measured.record_pause(1.5, 10.0)
        # A shorter one that is asked for later does not end it early.
        measured.record_pause(0.2, 10.5)
        self.assertTrue(measured.is_paused(11.4))
        self.assertFalse(measured.is_paused(11.6))
        self.assertEqual(0.0, measured.failure_share(11.0))

    def test_pause_is_limited(self) -> None:
        """Guards against a garbled value that excludes it for ever."""
        measured = health.Health(SLOTS)
        measured.record_pause(1e9, 10.0)
        self.assertFalse(measured.is_paused(10.0 + health.MAX_PAUSE_S))


class OverdueTest(unittest.TestCase):
    """Requests that take longer than expected."""

    def test_request_without_a_response(self) -> None:
        """Guards against a slow upstream that is noticed when it responds."""
        measured = health.Health(SLOTS)
        report = model.LoadReport(0, 0, SLOTS, 1.0)
        self.assertEqual(
            SERVICE_S, measured.record_response(SERVICE_S, report, 0.0)
        )
        self.assertEqual(0.0, measured.overdue_s(9.0))
        measured.record_sent(1, 1.0)
        self.assertEqual(0.0, measured.overdue_s(1.1))
        self.assertAlmostEqual(0.3, measured.overdue_s(1.3))
        measured.record_ended(1)
        self.assertEqual(0.0, measured.overdue_s(1.3))
