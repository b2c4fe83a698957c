"""Tests of the fair queue."""

from __future__ import annotations

import random
import unittest

from knapweedhall_traffic import fairness

FAR = 100.0


def drain(queue: fairness.FairQueue[str], now: float = 0.0) -> list[str]:
    found = []
    while (item := queue.pop(now)[1]) is not None:
        found.append(item)
    return found


class FairQueueTest(unittest.TestCase):
    def test_serves_customers_by_cost(self) -> None:
        """Guards against one customer's backlog delaying all others."""
        queue: fairness.FairQueue[str] = fairness.FairQueue(100)
        for _ in range(9):
            queue.push('a', 'a', 1.0, FAR)
        for _ in range(3):
            queue.push('b', 'b', 3.0, FAR)
        order = ''.join(drain(queue))
        # While both wait each gets the same cost: three of a per one of b.
        self.assertEqual((3, 1), self.shares(order[:4]))
        self.assertEqual((6, 2), self.shares(order[:8]))

    def shares(self, order: str) -> tuple[int, int]:
        return order.count('a'), order.count('b')

    def test_idle_customer_saves_nothing_up(self) -> None:
        """Guards against a burst after a quiet time starving others."""
        queue: fairness.FairQueue[str] = fairness.FairQueue(100)
        for _ in range(50):
            queue.push('a', 'a', 1.0, FAR)
            queue.pop(0.0)
        queue.push('a', 'a', 1.0, FAR)
        for _ in range(3):
            queue.push('b', 'b', 1.0, FAR)
        self.assertIn('a', drain(queue)[:2])

    def test_first_in_first_out_without_customers(self) -> None:
        """Guards against reordering where no customer is named."""
        queue: fairness.FairQueue[str] = fairness.FairQueue(100)
        for number in range(9):
            queue.push(str(number), '', 0.0, FAR)
        self.assertEqual('012345678', ''.join(drain(queue)))

    def test_overflow_refuses_the_greediest(self) -> None:
        """Guards against a flood or retries that displace first attempts."""
        queue: fairness.FairQueue[str] = fairness.FairQueue(3)
        for number in range(3):
            queue.push(f'a{number}', 'a', 1.0, FAR)
        _, refused = queue.push('b0', 'b', 1.0, FAR)
        self.assertEqual('a2', refused)
        _, refused = queue.push('a3', 'a', 1.0, FAR)
        self.assertEqual('a3', refused)
        _, refused = queue.push('c0', 'c', 1.0, FAR, rank=1)
        self.assertEqual('c0', refused)

    def test_returned_requests_keep_their_place(self) -> None:
        """Guards against refusing what was accepted, after a lost slot."""
        queue: fairness.FairQueue[str] = fairness.FairQueue(1)
        queue.push('next', '', 1.0, FAR)
        rank = fairness.RETURNED
        _, refused = queue.push('back', '', 1.0, FAR, rank)
        self.assertIsNone(refused)
        self.assertEqual(['back', 'next'], drain(queue))

    def test_drops_late_and_removed_entries(self) -> None:
        """Guards against slots for requests that nobody waits for."""
        queue: fairness.FairQueue[str] = fairness.FairQueue(9)
        queue.push('late', '', 1.0, 1.0)
        gone, _ = queue.push('gone', '', 1.0, FAR)
        queue.push('good', '', 1.0, FAR)
        queue.remove(gone)
        queue.remove(gone)
        self.assertEqual((['late'], 'good'), queue.pop(2.0))
        self.assertEqual(([], None), queue.pop(2.0))

    def test_memory_of_customers_is_bounded(self) -> None:
        """Guards against memory that grows with the names callers invent."""
        queue: fairness.FairQueue[str] = fairness.FairQueue(9)
        for number in range(3 * fairness.MAX_IDLE_CUSTOMERS):
            queue.push('x', f'c{number}', 1.0, FAR)
            queue.pop(0.0)
        self.assertLessEqual(
            len(queue.finish), fairness.MAX_IDLE_CUSTOMERS + 1
        )

    def test_random_operations(self) -> None:
        """Guards against lost or repeated entries in any order of calls."""
        rng = random.Random(20)
        queue: fairness.FairQueue[int] = fairness.FairQueue(20)
        ended: list[int] = []
        entries = {}
        for number in range(2000):
            step = rng.random()
            if step < 0.5:
                cost = rng.choice((0.0, 1.0, 3.0))
                entry, refused = queue.push(
                    number, rng.choice('abc'), cost, FAR, rng.randrange(2)
                )
                entries[number] = entry
                ended += [refused] if refused is not None else []
            elif step < 0.9:
                _, item = queue.pop(0.0)
                ended += [item] if item is not None else []
            elif queue.items:
                item = rng.choice(sorted(queue.items.values()))
                queue.remove(entries[item])
                ended.append(item)
        ended += list(queue.items.values())
        self.assertEqual(sorted(entries), sorted(ended))
        self.assertEqual(len(queue.order), len(queue.items))
