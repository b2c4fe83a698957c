"""Tests of what an upstream is expected to take."""

from __future__ import annotations

import unittest

from knapweedhall_routing import health
from knapweedhall_routing import model

SLOTS = 4
WORK_S = 0.1


class PaceTest(unittest.TestCase):
    """Upstreams whose machines are busy with other work at times."""

    def setUp(self) -> None:
        """Measure an upstream at its usual pace."""
        self.health = health.Health(SLOTS)
        for number in range(40):
            report = model.LoadReport(0, 0, SLOTS, 1.0)
            self.health.record_answer(WORK_S, report, number * 0.1)
        self.now = 4.0

    def test_slow_moment_counts_at_once(self) -> None:
        """Guards against a straggler that is noticed by its answers only."""
        usual = self.health.expected_latency_s(self.now)
        self.health.record_load(model.LoadReport(0, 0, SLOTS, 3.0), self.now)
        self.assertGreater(self.health.expected_latency_s(self.now), 2 * usual)

    def test_slow_moment_is_forgotten(self) -> None:
        """Guards against an upstream that stays shunned for one report."""
        usual = self.health.expected_latency_s(self.now)
        self.health.record_load(model.LoadReport(0, 0, SLOTS, 3.0), self.now)
        later = self.health.expected_latency_s(self.now + 1.5)
        self.assertLess(later, 1.1 * usual)


class FewAnswersTest(unittest.TestCase):
    """An instance among many has few answers of each upstream."""

    def setUp(self) -> None:
        """Measure several upstreams of one service that work slowly."""
        self.baseline = health.Baseline()
        for _ in range(8):
            self.answer(health.Health(SLOTS, self.baseline), 8 * WORK_S)
        self.health = health.Health(SLOTS, self.baseline)

    def answer(self, found: health.Health, work_s: float) -> None:
        """Answer one request of an upstream without other load."""
        found.record_answer(work_s, model.LoadReport(0, 0, SLOTS, 1.0), 0.0)

    def test_unmeasured_upstream_is_not_taken_for_fast(self) -> None:
        """Guards against a preference for upstreams never used before."""
        self.assertAlmostEqual(8 * WORK_S, self.health.expected_latency_s(0.0))

    def test_first_work_is_not_taken_for_silence(self) -> None:
        """Guards against refusals while an owner works as it usually does."""
        self.health.record_sent(1, 0.0)
        self.assertFalse(self.health.is_silent(1.5 * 8 * WORK_S))
        self.assertTrue(self.health.is_silent(10 * 8 * WORK_S))

    def test_one_slow_answer_says_little(self) -> None:
        """Guards against shunning an upstream for one large request."""
        self.answer(self.health, 24 * WORK_S)
        self.assertLess(self.health.service_s, 17 * WORK_S)
        for _ in range(40):
            self.answer(self.health, 24 * WORK_S)
        self.assertGreater(self.health.service_s, 22 * WORK_S)
