"""Tests of plans, each with the load that it answers."""

from __future__ import annotations

import random
import unittest

from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import planning
from knapweedhall_routing import rates

CAPACITY = 40.0


def view(count: int, found: rates.KeyRates) -> planning.Inputs:
    """Return a view of equal upstreams."""
    capacity = {f'u{number}': CAPACITY for number in range(count)}
    return planning.Inputs(capacity, found)


def assign(book: holdings.Holdings, move: planning.Move) -> None:
    """Carry out a move."""
    one = book.split(move.first, move.last)
    one.upstream = move.target
    one.confirmed = True


def loads(book: holdings.Holdings, found: planning.Inputs) -> dict[str, float]:
    """Return measured requests per second by upstream."""
    result = dict.fromkeys(found.capacity, 0.0)
    for one in book.items:
        result[one.upstream] += found.rates.rate(one.first, one.last)
    return result


def traffic(
    keys: random.Random, seconds: float, per_s: float, hot: float
) -> rates.KeyRates:
    """Return rates in which a share of requests goes to 60 neighbours."""
    found = rates.KeyRates()
    step_s = 0.25
    now = 0.0
    for _ in range(int(seconds / step_s)):
        counts: dict[int, int] = {}
        for _ in range(int(per_s * step_s)):
            if keys.random() < hot:
                key = 30000 + keys.randrange(60)
            else:
                key = keys.randrange(model.KEY_COUNT)
            bucket = rates.bucket_of(key)
            counts[bucket] = counts.get(bucket, 0) + 1
        now += step_s
        found.add(counts)
        found.decay(now)
    return found


class PlanningTest(unittest.TestCase):
    """First assignment, levelling, loss of an upstream."""

    def setUp(self) -> None:
        """Assign all keys evenly to eight upstreams."""
        self.book = holdings.Holdings('s')
        self.idle = view(8, rates.KeyRates())
        for move in planning.place_orphans(
            self.book.items, self.idle, self.book.items
        ):
            assign(self.book, move)

    def test_first_assignment_is_even(self) -> None:
        """Guards against a start at which a few upstreams hold all keys."""
        sizes = dict.fromkeys(self.idle.capacity, 0)
        for one in self.book.items:
            sizes[one.upstream] += one.last - one.first + 1
        self.assertLess(max(sizes.values()), 1.3 * model.KEY_COUNT / 8)
        self.assertGreater(min(sizes.values()), 0.7 * model.KEY_COUNT / 8)

    def level(self, found: planning.Inputs, rounds: int) -> int:
        """Plan and carry out; return how many moves there were."""
        moved = 0
        for number in range(rounds):
            now = 100.0 + number * 10
            moves = planning.rebalance(
                self.book.items,
                found._replace(rules=planning.Rules(max_moves=4)),
                now,
            )
            for move in moves:
                assign(self.book, move)
            moved += len(moves)
        return moved

    def test_hot_neighbours_are_spread(self) -> None:
        """Guards against one upstream with the hot keys.

        Load: 160 requests/s, 40% of them for 60 neighbouring keys, which
        alone exceed what one upstream serves.
        """
        found = view(8, traffic(random.Random(1), 6.0, 160.0, 0.4))
        before = max(loads(self.book, found).values())
        self.assertGreater(before, 1.5 * CAPACITY)
        moved = self.level(found, 12)
        after = max(loads(self.book, found).values())
        self.assertLess(after, 0.8 * CAPACITY)
        self.assertLessEqual(moved, 24)

    def test_hot_neighbours_are_spread_by_two_plans(self) -> None:
        """Guards against a hot spot that ends before it is spread.

        Load: as above; a hot spot lasts four to five seconds, and its
        requests are turned away until it is spread.
        """
        found = view(8, traffic(random.Random(1), 6.0, 160.0, 0.4))
        for now in (100.0, 110.0):
            for move in planning.rebalance(self.book.items, found, now):
                assign(self.book, move)
        after = max(loads(self.book, found).values())
        self.assertLess(after, CAPACITY)

    def test_moves_under_way_count_at_their_target(self) -> None:
        """Guards against load that is moved twice."""
        found = view(8, traffic(random.Random(1), 6.0, 160.0, 0.4))
        first = planning.rebalance(self.book.items, found, 100.0)
        for move in first:
            one = self.book.split(move.first, move.last)
            one.moving, one.target = True, move.target
        again = planning.rebalance(self.book.items, found, 100.2)
        self.assertLessEqual(len(again), 2)

    def test_even_load_moves_nothing(self) -> None:
        """Guards against moves that only follow noise."""
        found = view(8, traffic(random.Random(2), 6.0, 160.0, 0.0))
        self.assertEqual(0, self.level(found, 4))

    def test_settled_plan_does_not_swing(self) -> None:
        """Guards against keys that go back and forth under steady load."""
        rng = random.Random(3)
        self.level(view(8, traffic(rng, 6.0, 160.0, 0.4)), 12)
        again = self.level(view(8, traffic(rng, 6.0, 160.0, 0.4)), 4)
        self.assertLessEqual(again, 4)

    def test_single_hot_key_is_left_alone(self) -> None:
        """Guards against a key that moves without gain.

        One key exceeds an upstream; its neighbours move away, it stays.
        """
        found = rates.KeyRates()
        found.add({rates.bucket_of(30000): 200})
        found.decay(0.0)
        self.level(view(8, found), 6)
        owners = {
            one.upstream
            for one in self.book.items
            if one.first <= 30000 <= one.last
        }
        again = self.level(view(8, found), 3)
        self.assertEqual(0, again)
        self.assertEqual(1, len(owners))

    def test_joined_upstream_gets_keys(self) -> None:
        """Guards against an upstream that joins and gets no request."""
        found = view(9, traffic(random.Random(4), 6.0, 80.0, 0.0))
        self.level(found, 3)
        self.assertGreater(loads(self.book, found)['u8'], 0.0)

    def test_keys_of_a_lost_upstream_are_spread(self) -> None:
        """Guards against one neighbour that inherits a hot range."""
        found = view(8, traffic(random.Random(5), 6.0, 160.0, 0.3))
        self.level(found, 12)
        victim = max(loads(self.book, found), key=loads(self.book, found).get)
        orphans = [one for one in self.book.items if one.upstream == victim]
        del found.capacity[victim]
        for move in planning.place_orphans(self.book.items, found, orphans):
            assign(self.book, move)
        result = loads(self.book, found)
        self.assertLess(max(result.values()), 1.2 * CAPACITY)

    def test_slow_upstream_does_not_fragment_ranges(self) -> None:
        """Guards against more ranges than can be renewed.

        An upstream that takes seconds for each request made parts of 24 keys
        of all ranges that left others: the coordinator sent 500 releases per
        second, and the day was given up after 574 s of processor time.
        """
        found = traffic(random.Random(4), 6.0, 160.0, 0.0)
        capacity = {f'u{number}': CAPACITY for number in range(1, 8)}
        capacity['u7'] = CAPACITY / 200
        orphans = [one for one in self.book.items if one.upstream == 'u0']
        moves = planning.place_orphans(
            self.book.items, planning.Inputs(capacity, found), orphans
        )
        self.assertGreater(len(moves), 2)
        self.assertLess(len(moves), 8)

    def test_ranges_of_many_upstreams_that_leave_are_limited(self) -> None:
        """Guards against more ranges than can be renewed."""
        found = traffic(random.Random(5), 6.0, 160.0, 0.0)
        narrow = planning.Inputs({'u7': 1.0, 'u6': 1.0}, found)
        orphans = [one for one in self.book.items if one.upstream < 'u6']
        for move in planning.place_orphans(self.book.items, narrow, orphans):
            self.book.split(move.first, move.last)
        limit = planning.RANGES_PER_UPSTREAM * len(narrow.capacity)
        self.assertLessEqual(len(self.book.items), limit)

    def test_joined_upstreams_share_keys_without_traffic(self) -> None:
        """Guards against a first assignment that later ones never join.

        Upstreams are listed one after the other before traffic starts.
        """
        found = view(16, rates.KeyRates())
        self.level(found, 20)
        sizes = dict.fromkeys(found.capacity, 0)
        for one in self.book.items:
            sizes[one.upstream] += one.last - one.first + 1
        self.assertLess(max(sizes.values()), 2 * model.KEY_COUNT / 16)

    def test_key_that_exceeds_its_owner(self) -> None:
        """Guards against one hot key that stays with a slow upstream.

        Seen on the quiet day of the first site: one key with 67 requests/s
        stayed at its owner for 5 s while others were twice as fast.
        """
        found = rates.KeyRates()
        hot = rates.bucket_of(30000)
        for step in range(12):
            found.add({hot: 17, rates.bucket_of(9): 2})
            found.decay((step + 1) * 0.25)
        capacity = {'slow': 25.0, 'fast': 50.0, 'other': 30.0}
        book = holdings.Holdings('views')
        book.items[0].upstream = 'slow'
        book.items[0].confirmed = True
        moves = planning.rebalance(
            book.items, planning.Inputs(capacity, found), 9.0
        )
        first = hot * rates.BUCKET_KEYS
        last = first + rates.BUCKET_KEYS - 1
        self.assertIn(planning.Move(first, last, 'fast'), moves)
        for move in moves:
            assign(book, move)
        moves = planning.rebalance(
            book.items, planning.Inputs(capacity, found), 20.0
        )
        self.assertNotIn(first, {move.first for move in moves})
