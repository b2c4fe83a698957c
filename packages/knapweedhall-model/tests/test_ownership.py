"""Tests of the ownership model within small bounds."""

from __future__ import annotations

import unittest

from knapweedhall_model import exploration
from knapweedhall_model import scenarios


def explore(
    scenario: scenarios.Scenario, removed: str = ''
) -> exploration.Exploration:
    """Explore a scenario, without one safeguard if it is named."""
    return exploration.explore(scenario.module, scenario.term(removed))


class OwnershipTest(unittest.TestCase):
    def test_protocol_holds_within_small_bounds(self) -> None:
        """Guards against a specification that breaks or reaches nothing."""
        for checks in (True, False):
            with self.subTest(checks=checks):
                found = explore(scenarios.ownership(checks, 2, 1, 1, 0))
                self.assertEqual('', found.fault)
                self.assertGreater(found.states, 1000)

    def test_each_removed_safeguard_is_missed(self) -> None:
        """Guards against an invariant that cannot be broken."""
        for removal in scenarios.REMOVALS:
            with self.subTest(guard=removal.guard):
                found = explore(removal.scenario, removal.guard)
                self.assertNotEqual('', found.fault)
                self.assertIn(found.fault, found.steps)
