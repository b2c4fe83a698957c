"""Tests of slots, cold starts, service times and lagged reports."""

from __future__ import annotations

import unittest

from knapweedhall_standins import capacity
from knapweedhall_standins import reports

LIMITS = capacity.Limits(
    slots=2, queue=1, cold_slots=1, cold_s=5, cold_factor=3, work_s=0.01
)


class CapacityTest(unittest.TestCase):
    """Experiments compare policies by what these limits record."""

    def setUp(self) -> None:
        self.capacity = capacity.Capacity(LIMITS, now_s=0)

    def test_cold_start_bears_only_its_slots(self) -> None:
        """Guards against an overload in a cold start that goes unnoticed."""
        self.assertIsNone(self.capacity.refusal(1))
        self.capacity.running = 1
        self.assertEqual('cold', self.capacity.refusal(1))
        self.assertEqual(1, self.capacity.cold_violations)
        self.assertFalse(self.capacity.has_slot(1))
        self.assertTrue(self.capacity.has_slot(5))

    def test_full_queue_sheds(self) -> None:
        """Guards against a queue without bound."""
        self.capacity.running = 2
        self.assertIsNone(self.capacity.refusal(6))
        self.capacity.waiting = 1
        self.assertEqual('shed', self.capacity.refusal(6))

    def test_service_time_shows_faults_and_costs(self) -> None:
        """Guards against faults that callers cannot measure."""
        self.assertAlmostEqual(0.03, self.capacity.service_time_s(None, 1))
        self.capacity.straggle(4, length_s=1, now_s=6)
        self.assertAlmostEqual(0.04, self.capacity.service_time_s(None, 6))
        self.capacity.spend(0.002, now_s=8)
        self.capacity.spend(0.002, now_s=8)
        self.assertAlmostEqual(0.014, self.capacity.service_time_s(None, 8))

    def test_silent_cold_start_is_not_shown(self) -> None:
        """Guards against callers that rely on being told."""
        self.capacity.turn_cold(5, silent=True, now_s=10)
        self.assertTrue(self.capacity.is_cold(11))
        self.assertFalse(self.capacity.shows_cold(11))


class LaggedReportsTest(unittest.TestCase):
    """Reports must be as old as configured."""

    def test_report_lags_and_misleads(self) -> None:
        """Guards against a report that is fresher than configured."""
        lagged = reports.LaggedReports(lag_s=2)
        for now_s in (0, 1, 2, 3):
            lagged.sample({'running': now_s, 'queued': 0}, now_s)
        self.assertEqual(1, lagged.read(3)['running'])
        lagged.misleading = {'running': 99}
        self.assertEqual({'running': 99, 'queued': 0}, lagged.read(3))
