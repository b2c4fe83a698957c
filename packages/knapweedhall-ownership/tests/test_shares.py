"""Shares of an upstream's limits."""

from __future__ import annotations

import random
import typing
import unittest
from unittest import mock

from knapweedhall_ownership import messages
from knapweedhall_ownership import shares
from knapweedhall_records import ids

LIMIT = messages.Share(6, 110, 1)
MEMBERS = [ids.InstanceId(f'i{n}', 1) for n in range(6)]


def excess(seed: int) -> bool:
    """Return whether a random schedule of offers exceeds the limit.

    Each instance uses the last offer that it got until it ends; offers and
    acknowledgements get lost and the members change.
    """
    rng, book, now = random.Random(seed), shares.ShareBook(), 0.0
    book.set_limit('u', LIMIT)
    used: dict[ids.InstanceId, tuple[float, messages.Share]] = {}
    held: dict[ids.InstanceId, int] = {}
    for _ in range(400):
        now += rng.expovariate(20.0)
        if rng.random() < 0.05:
            book.set_instances('u', rng.sample(MEMBERS, rng.randrange(1, 7)))
        instance = rng.choice(MEMBERS)
        if instance in held and rng.random() < 0.8:
            book.acknowledge(instance, held[instance])
        book.set_demand(instance, {'u': rng.choice([0.0, 1.0, 20.0])})
        version, given = book.offer(now, instance, now + 1.0)
        if rng.random() < 0.8:
            share = given.get('u', shares.NO_SHARE)
            used[instance] = now + 1.0, share
            held[instance] = version
        live = [share for end, share in used.values() if end > now]
        if any(sum(parts) > top for parts, top in zip(zip(*live), LIMIT)):
            return True
    return False


class ShareTest(unittest.TestCase):
    """Division over instances."""

    def test_sum_never_exceeds_the_limit(self) -> None:
        """Guards against an overloaded upstream while shares move."""
        self.assertFalse(any(excess(seed) for seed in range(30)))

        def target(
            self: shares.ShareBook, *rest: typing.Any
        ) -> messages.Share:
            return LIMIT

        with mock.patch.object(shares.ShareBook, 'available', target):
            self.assertTrue(any(excess(seed) for seed in range(30)))

    def test_division_follows_demand(self) -> None:
        """Guards against slots that stay where nobody needs them."""
        self.assertEqual([4, 1, 1], shares.divide(6, [9.0, 0.0, 0.0]))
        self.assertEqual([2, 2, 2], shares.divide(6, [0.0, 0.0, 0.0]))
        self.assertEqual([0, 1, 0], shares.divide(1, [0.0, 5.0, 1.0]))
        rng = random.Random(2)
        for _ in range(200):
            demand = [rng.random() * 9 for _ in range(rng.randrange(1, 5))]
            limit = rng.randrange(0, 40)
            self.assertEqual(limit, sum(shares.divide(limit, demand)))

    def test_few_members_change_when_one_leaves(self) -> None:
        """Guards against shares of all upstreams that move at once."""
        before = shares.choose_instances('u', MEMBERS)
        self.assertEqual(shares.MAX_INSTANCES, len(before))
        rest = [each for each in MEMBERS if each != before[0]]
        after = shares.choose_instances('u', rest)
        self.assertEqual(set(before[1:]), set(before) & set(after))
