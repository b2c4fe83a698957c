"""Tests of which instances are known when the coordinator changes."""

from __future__ import annotations

import unittest

from knapweedhall_routing import announced
from knapweedhall_routing import budgets

NAMES = [f'i{number}' for number in range(90)]
COLD_PER_S = 9.1


class AnnouncedMembersTest(unittest.TestCase):
    """Instances that connect to the next coordinator one after the other."""

    def setUp(self) -> None:
        """Let a former coordinator announce all instances."""
        self.members = announced.AnnouncedMembers()
        self.members.begin(100.0)
        self.members.update(NAMES, [])
        self.members.begin(110.0)
        self.members.update(NAMES[:2], [])

    def test_budget_while_instances_connect(self) -> None:
        """Guards against more requests to a cold upstream than are allowed.

        Each instance that knew only two others took a share for itself.
        """
        known = self.members.members(110.5)
        shares = [
            budgets.cold_share('u', name, known, COLD_PER_S) for name in NAMES
        ]
        self.assertLessEqual(sum(shares), COLD_PER_S + 0.001)

    def test_instances_that_do_not_connect(self) -> None:
        """Guards against budgets that are kept for instances that ended."""
        self.assertEqual(set(NAMES), self.members.members(112.9))
        self.assertEqual(set(NAMES[:2]), self.members.members(113.0))

    def test_instance_that_leaves_the_next_coordinator(self) -> None:
        """Guards against an instance that counts although it has left."""
        self.members.update([], NAMES[:1])
        self.assertEqual(set(NAMES[1:]), self.members.members(110.5))

    def test_short_terms(self) -> None:
        """Guards against a fleet that looks smaller with each term."""
        for number in range(1, 5):
            now = 110.0 + 1.5 * number
            self.members.begin(now)
            self.members.update(NAMES[: 30 * (number % 2) + 60], [])
        self.assertEqual(set(NAMES), self.members.members(now + 0.5))
