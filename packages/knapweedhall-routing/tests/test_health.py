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
            self.health.answered(WORK_S, report, number * 0.1)
        self.now = 4.0

    def test_slow_moment_counts_at_once(self) -> None:
        """Guards against a straggler that is noticed by its answers only."""
        usual = self.health.wait_s(self.now)
        self.health.reported(model.LoadReport(0, 0, SLOTS, 3.0), self.now)
        self.assertGreater(self.health.wait_s(self.now), 2 * usual)

    def test_slow_moment_is_forgotten(self) -> None:
        """Guards against an upstream that stays shunned for one report."""
        usual = self.health.wait_s(self.now)
        self.health.reported(model.LoadReport(0, 0, SLOTS, 3.0), self.now)
        later = self.health.wait_s(self.now + 1.5)
        self.assertLess(later, 1.1 * usual)
