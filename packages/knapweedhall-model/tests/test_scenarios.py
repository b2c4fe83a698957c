"""Tests of the model within small bounds."""

from __future__ import annotations

import unittest

from knapweedhall_model import exploration
from knapweedhall_model import scenarios

SMALL = scenarios.Scenario(4, 2, 1, 2)
# Scenarios with this many ticks or fewer are tested here; the others take too
# long and are left to `make model-broken`.
MAX_TICKS = 5


class ModelTest(unittest.TestCase):
    """The protocol, and its variants without one safeguard."""

    def test_protocol_holds_within_small_bounds(self) -> None:
        """Guards against a faulty specification or one without states."""
        result = exploration.explore(scenarios.MODULE, SMALL.term())
        self.assertEqual('', result.violation)
        self.assertGreater(result.states, 1000)

    def test_every_safeguard_can_be_removed(self) -> None:
        """Guards against a safeguard without a variant that omits it."""
        removed = [removal.guard for removal in scenarios.REMOVALS]
        self.assertEqual(sorted(scenarios.GUARDS), sorted(removed))

    def test_removed_safeguard_breaks_an_invariant(self) -> None:
        """Guards against an invariant that can't be broken."""
        for removal in scenarios.REMOVALS:
            if removal.scenario.ticks > MAX_TICKS:
                continue
            with self.subTest(guard=removal.guard):
                result = exploration.explore(
                    scenarios.MODULE, removal.scenario.term(removal.guard)
                )
                self.assertNotEqual('', result.violation)
                self.assertIn(result.violation, result.steps)
