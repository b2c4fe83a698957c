"""Tests of the models within small bounds."""

from __future__ import annotations

import unittest

from knapweedhall_model import exploration
from knapweedhall_model import scenarios


def explore(
    scenario: scenarios.Scenario, removed: str = ''
) -> exploration.Exploration:
    """Explore a scenario, without one safeguard if it is named."""
    return exploration.explore(scenario.module, scenario.term(removed))


class ModelTest(unittest.TestCase):
    def test_protocol_holds_within_small_bounds(self) -> None:
        """Guards against a specification that breaks or reaches nothing."""
        small = (
            scenarios.ownership(True, 2, 1, 1, 0),
            scenarios.ownership(False, 2, 1, 1, 0),
            scenarios.votes(2, 2, 3, (0, 0, 0), 1),
            scenarios.log(4, 2, 1),
            scenarios.moves(2, 2, 0),
        )
        for scenario in small:
            with self.subTest(scenario=f'{scenario.module} {scenario.name}'):
                found = explore(scenario)
                self.assertEqual('', found.fault)
                self.assertGreater(found.states, 1000)

    def test_every_safeguard_can_be_removed(self) -> None:
        """Guards against a safeguard that no broken variant covers."""
        kept = {
            (scenario.module, guard)
            for scenario in scenarios.SCENARIOS
            for guard in scenario.guards
        }
        removed = {
            (removal.scenario.module, removal.guard)
            for removal in scenarios.REMOVALS
        }
        self.assertEqual(kept, removed)

    def test_each_removed_safeguard_is_missed(self) -> None:
        """Guards against an invariant that cannot be broken."""
        for removal in scenarios.REMOVALS:
            with self.subTest(guard=removal.guard):
                found = explore(removal.scenario, removal.guard)
                self.assertNotEqual('', found.fault)
                self.assertIn(found.fault, found.steps)
