"""Tests of who may renew grants without the store."""

from __future__ import annotations

import itertools
import random
import unittest

from knapweedhall_routing import quorum

FLEET = ['a', 'b', 'c', 'd', 'e']
FAILING_S = quorum.STORE_SILENCE_S + 0.1


def reports(
    names: str, as_of: float, store_answer_age_s: float
) -> dict[str, quorum.Report]:
    """Return the same report of several instances."""
    return {name: quorum.Report(as_of, store_answer_age_s) for name in names}


class QuorumTest(unittest.TestCase):
    """Majorities of the recorded fleet."""

    def test_outage_for_all(self) -> None:
        """Guards against keys that lapse because the store is down."""
        found = reports('abc', 9.8, FAILING_S)
        self.assertTrue(quorum.is_general_outage(FLEET, found, 10.0))

    def test_outage_for_the_coordinator_alone(self) -> None:
        """Guards against renewals beside another coordinator's grants."""
        found = reports('ab', 9.8, FAILING_S) | reports('cde', 9.8, 0.3)
        self.assertFalse(quorum.is_general_outage(FLEET, found, 10.0))

    def test_old_reports_prove_nothing(self) -> None:
        """Guards against reports that a partition held back."""
        found = reports('abcde', 8.9, FAILING_S)
        self.assertFalse(quorum.is_general_outage(FLEET, found, 10.0))

    def test_without_a_recorded_fleet(self) -> None:
        """Guards against a majority of nobody."""
        self.assertFalse(quorum.is_general_outage([], {}, 10.0))
        self.assertTrue(quorum.has_lost_majority([], {}, 10.0))

    def test_both_never_have_a_majority(self) -> None:
        """Guards against a successor that takes over too early.

        Each instance changes from the former coordinator to the successor at
        some time, or never; reports reach the former one late or not at all.
        """
        chance = random.Random(7)
        for _ in range(300):
            size = chance.randint(1, 9)
            fleet = [f'i{number}' for number in range(size)]
            left_at = {name: chance.uniform(0.0, 12.0) for name in fleet}
            came_at = {
                name: at + chance.choice((0.0, 0.4, 20.0))
                for name, at in left_at.items()
            }
            for step in itertools.count():
                now = step * 0.2
                if now > 14.0:
                    break
                known = {
                    name: quorum.Report(
                        min(now, left_at[name]) - chance.uniform(0, 0.6),
                        FAILING_S,
                    )
                    for name in fleet
                }
                connected = {
                    name: at for name, at in came_at.items() if at <= now
                }
                renews = quorum.is_general_outage(fleet, known, now)
                ended = quorum.has_lost_majority(fleet, connected, now)
                self.assertFalse(renews and ended, (fleet, now))
