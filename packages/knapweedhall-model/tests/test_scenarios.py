"""Tests of the model within small bounds."""

from __future__ import annotations

import unittest

from knapweedhall_model import merging
from knapweedhall_model import scenarios
from knapweedhall_model import tenure

SMALL = scenarios.Scenario(4, 2, 1, 2)
# States within the bounds of scenarios.SHORT. The sum over all scenarios of
# tenure is the one that another engine counted (docs/model.md).
SHORT_STATES = 22265
# Length of a shortest counterexample without each safeguard, in actions.
COUNTEREXAMPLES = {
    'fence': 14,
    'record': 9,
    'wait': 7,
    'answered': 8,
    'evidence': 14,
    'left': 13,
    'lease': 12,
    'holder': 3,
    'merge': 9,
}


class ModelTest(unittest.TestCase):
    """The protocol, and its variants without one safeguard."""

    def test_protocol_holds_within_small_bounds(self) -> None:
        """Guards against a faulty specification or one without states."""
        result = SMALL.explore()
        self.assertEqual('', result.violation)
        self.assertGreater(result.states, 1000)

    def test_every_safeguard_can_be_removed(self) -> None:
        """Guards against a safeguard without a variant that omits it."""
        removed = [removal.guard for removal in scenarios.REMOVALS]
        guards = tenure.GUARDS + merging.GUARDS
        self.assertEqual(sorted(guards), sorted(removed))

    def test_number_of_states(self) -> None:
        """Guards against actions that are lost or added by a change."""
        result = scenarios.SHORT.explore()
        self.assertEqual(('', SHORT_STATES), (result.violation, result.states))

    def test_removed_safeguard_breaks_an_invariant(self) -> None:
        """Guards against an invariant that can't be broken."""
        for removal in scenarios.REMOVALS:
            with self.subTest(guard=removal.guard):
                result = removal.scenario.explore(removal.guard)
                self.assertNotEqual('', result.violation)
                self.assertIn(result.violation, result.steps)
                self.assertEqual(
                    COUNTEREXAMPLES[removal.guard], len(result.steps) // 2
                )

    def test_unknown_safeguard(self) -> None:
        """Guards against a removal that silently removes nothing."""
        with self.assertRaises(ValueError):
            SMALL.explore('fences')
