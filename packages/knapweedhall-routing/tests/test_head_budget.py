"""Tests of the limits over all connections of callers."""

from __future__ import annotations

import random
import unittest

from knapweedhall_routing import head_budget


class HeadBudgetTest(unittest.TestCase):
    """Memory of the heads of requests."""

    def setUp(self) -> None:
        """Create a budget."""
        self.budget = head_budget.HeadBudget()

    def find_excess(self, size: int) -> int | None:
        """Return what is closed if heads may have a number of bytes."""
        return self.budget.find_excess(size * head_budget.MEMORY_PER_BYTE)

    def test_largest_is_closed(self) -> None:
        """Guards against ordinary callers that are closed beside a flood."""
        self.budget.hold(1, 300)
        self.budget.hold(2, 16000)
        self.budget.hold(3, 60000)
        self.assertIsNone(self.find_excess(76300))
        self.assertEqual(3, self.find_excess(76299))
        self.budget.hold(3, 0)
        self.assertEqual(2, self.find_excess(1000))

    def test_oldest_of_the_same_size_is_closed(self) -> None:
        """Guards against a flood of small heads that closes new callers."""
        for number in (3, 1, 2):
            self.budget.hold(number, 300)
        self.budget.hold(3, 310)
        self.assertEqual(3, self.find_excess(1))

    def test_sum(self) -> None:
        """Guards against bytes that are counted for closed connections."""
        rng = random.Random(1)
        held: dict[int, int] = {}
        for _ in range(2000):
            number = rng.randrange(9)
            held[number] = rng.choice((0, rng.randrange(1 << 17)))
            self.budget.hold(number, held[number])
            self.assertEqual(sum(held.values()), self.budget.total)
            excess = self.find_excess(0)
            self.assertEqual(any(held.values()), excess is not None)
            if excess is not None:
                self.assertGreater(2 * held[excess], max(held.values()))


class ConnectionLimitTest(unittest.TestCase):
    """Number of open connections."""

    def test_connection_that_waits_for_longest_is_closed(self) -> None:
        """Guards against a flood that closes requests in progress."""
        limit = head_budget.ConnectionLimit()
        for number in range(4):
            limit.add(number)
        limit.begin_request(0)
        limit.begin_request(1)
        limit.end_request(1)
        self.assertIsNone(limit.find_excess(4))
        self.assertEqual(2, limit.find_excess(3))
        limit.remove(2)
        self.assertIsNone(limit.find_excess(3))
        limit.remove(3)
        self.assertEqual(1, limit.find_excess(1))
        limit.remove(1)
        limit.end_request(1)
        self.assertIsNone(limit.find_excess(0))

    def test_limits_of_machines(self) -> None:
        """Guards against a limit that takes most of the memory."""
        for descriptors, memory_mb, expected in (
            (1638, 160, 655),
            (10250, 160, 976),
            (10250, 552, 3369),
        ):
            self.assertEqual(
                expected,
                head_budget.max_connections(descriptors, 0.4, memory_mb * 1e6),
            )
