"""Failure tests on separate processes, judged by the trace checker.

`python -m knapweedhall_bench.failures` runs the other scripts as well.
"""

from __future__ import annotations

import asyncio
import unittest

import loguru

from knapweedhall_bench.failures import __main__ as command
from knapweedhall_bench.failures import runner

SEED = 1


class FailuresTest(unittest.TestCase):
    """No point of section 2 of docs/design.md may be broken."""

    def setUp(self) -> None:
        loguru.logger.remove()

    def check(self, name: str) -> None:
        report = asyncio.run(runner.run(name, SEED))
        text = '\n'.join(command.format_report(report))
        self.assertEqual([], report.broken(), text)
        wrong = sum(each.wrong for each in report.summaries.values())
        self.assertEqual(0, wrong, text)

    def test_owner_killed(self) -> None:
        """Guards against two owners after a takeover."""
        self.check('owner_killed')

    def test_owner_frozen(self) -> None:
        """Guards against an owner that serves on after it was replaced."""
        self.check('owner_frozen')

    def test_coordinator_frozen(self) -> None:
        """Guards against grants by a coordinator whose lease has expired."""
        self.check('coordinator_frozen')

    def test_log_down_coordinator_killed(self) -> None:
        """Guards against leases that depend on the log."""
        self.check('log_down_coordinator_killed')

    def test_answers_lost(self) -> None:
        """Guards against records that come into force twice."""
        self.check('answers_lost')

    def test_cut_from_both(self) -> None:
        """Guards against two owners on the two sides of a partition."""
        self.check('cut_from_both')

    def test_operators_race(self) -> None:
        """Guards against two winners on one predecessor."""
        self.check('operators_race')

    def test_domain_out_and_back(self) -> None:
        """Guards against new work in a failure domain that is out."""
        self.check('domain_out_and_back')

    def test_planned_stop(self) -> None:
        """Guards against requests that a planned stop cuts."""
        self.check('planned_stop')
