"""Tests of which coordinator may renew grants without the store."""

from __future__ import annotations

import itertools
import random
import unittest

from knapweedhall_routing import quorum

FLEET = ['a', 'b', 'c', 'd', 'e']
FAILING_S = quorum.STORE_UNRESPONSIVE_S + 0.1


def reports(
    names: str, as_of: float, store_answer_age_s: float
) -> dict[str, quorum.Report]:
    """Return the same report for several instances."""
    return {name: quorum.Report(as_of, store_answer_age_s) for name in names}


class QuorumTest(unittest.TestCase):
    """Majorities of the recorded fleet."""

    def test_outage_for_all(self) -> None:
        """Guards against grants that expire because the store is down."""
        last = reports('abc', 9.8, FAILING_S)
        self.assertTrue(quorum.is_general_outage(FLEET, last, 10.0))

    def test_outage_for_the_coordinator_alone(self) -> None:
        """Guards against renewals beside the grants of a new coordinator."""
        last = reports('ab', 9.8, FAILING_S) | reports('cde', 9.8, 0.3)
        self.assertFalse(quorum.is_general_outage(FLEET, last, 10.0))

    def test_old_reports_do_not_count(self) -> None:
        """Guards against reports that a network partition delayed."""
        last = reports('abcde', 8.9, FAILING_S)
        self.assertFalse(quorum.is_general_outage(FLEET, last, 10.0))

    def test_without_a_recorded_fleet(self) -> None:
        """Guards against a majority of an empty fleet."""
        self.assertFalse(quorum.is_general_outage([], {}, 10.0))
        self.assertTrue(quorum.has_lost_majority([], {}, 10.0))

    def test_two_coordinators_never_both_have_a_majority(self) -> None:
        """Guards against a new coordinator that ends its wait too early.

        Each instance moves from the earlier coordinator to the new one at some
        time or never; its reports reach the earlier one late or not at all.
        """
        rng = random.Random(7)
        for _ in range(300):
            size = rng.randint(1, 9)
            fleet = [f'i{number}' for number in range(size)]
            disconnected_at = {name: rng.uniform(0.0, 12.0) for name in fleet}
            connected_at = {
                name: at + rng.choice((0.0, 0.4, 20.0))
                for name, at in disconnected_at.items()
            }
            for step in itertools.count():
                now = step * 0.2
                if now > 14.0:
                    break
                known = {
                    name: quorum.Report(
                        min(now, disconnected_at[name]) - rng.uniform(0, 0.6),
                        FAILING_S,
                    )
                    for name in fleet
                }
                connected = {
                    name: at for name, at in connected_at.items() if at <= now
                }
                renews = quorum.is_general_outage(fleet, known, now)
                ended = quorum.has_lost_majority(fleet, connected, now)
                self.assertFalse(renews and ended, (fleet, now))
