"""Tests of the memory for responses."""

from __future__ import annotations

import unittest

from knapweedhall_routing import buffer_budget

MIB = 1024 * 1024


class BufferBudgetTest(unittest.TestCase):
    """Responses on a machine with 200 MB: 40 MB, 20 MB for one of them."""

    def setUp(self) -> None:
        """Create the budget."""
        self.budget = buffer_budget.BufferBudget(200e6, 16 * MIB)

    def test_endless_response_is_given_up(self) -> None:
        """Guards against a single upstream that fills the memory."""
        self.budget.begin(1)
        self.assertIsNone(self.budget.add(1, 16 * MIB))
        self.assertEqual(1, self.budget.add(1, 1))

    def test_largest_unfinished_response_is_given_up(self) -> None:
        """Guards against ordinary responses that fail beside endless ones."""
        for call, size in ((1, 12 * MIB), (2, 14 * MIB), (3, 10 * MIB)):
            self.budget.begin(call)
            self.assertIsNone(self.budget.add(call, size))
        self.budget.begin(4)
        self.assertEqual(2, self.budget.add(4, 4 * MIB))
        self.budget.remove(2)
        self.assertIsNone(self.budget.add(4, 1))

    def test_complete_response_is_not_given_up(self) -> None:
        """Guards against the loss of a response that only has to be sent."""
        self.budget.begin(1)
        self.budget.add(1, 16 * MIB)
        self.budget.finish(1)
        self.budget.begin(2)
        self.assertIsNone(self.budget.add(2, 16 * MIB))
        self.budget.begin(3)
        self.assertEqual(2, self.budget.add(3, 8 * MIB))

    def test_memory_is_returned(self) -> None:
        """Guards against a budget that shrinks with each call."""
        for call in range(1000):
            self.budget.begin(call)
            self.assertIsNone(self.budget.add(call, 16 * MIB))
            self.budget.remove(call)
            self.budget.remove(call)
        self.assertEqual(0, self.budget.total)

    def test_small_machine(self) -> None:
        """Guards against a limit for one response above that for all."""
        budget = buffer_budget.BufferBudget(50e6, 16 * MIB)
        self.assertEqual(5_000_000, budget.max_response_bytes)
