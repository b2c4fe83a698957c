"""Tests of plans under given loads."""

from __future__ import annotations

import random
import unittest

from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import planning
from knapweedhall_routing import rates

CAPACITY = 40.0


def plan_inputs(count: int, measured: rates.KeyRates) -> planning.Inputs:
    """Return the inputs of a plan with `count` equal upstreams."""
    capacity = {f'u{number}': CAPACITY for number in range(count)}
    return planning.Inputs(capacity, measured)


def assign(assigned: holdings.Holdings, move: planning.Move) -> None:
    """Execute a move."""
    moved = assigned.split(move.first, move.last)
    moved.upstream = move.target
    moved.confirmed = True


def loads(
    assigned: holdings.Holdings, inputs: planning.Inputs
) -> dict[str, float]:
    """Return measured requests per second by upstream."""
    by_upstream = dict.fromkeys(inputs.capacity, 0.0)
    for holding in assigned.items:
        by_upstream[holding.upstream] += inputs.rates.rate(
            holding.first, holding.last
        )
    return by_upstream


def traffic(
    rng: random.Random, seconds: float, per_s: float, hot_share: float
) -> rates.KeyRates:
    """Return rates with a share of the requests for 60 neighboring keys."""
    measured = rates.KeyRates()
    step_s = 0.25
    now = 0.0
    for _ in range(int(seconds / step_s)):
        counts: dict[int, int] = {}
        for _ in range(int(per_s * step_s)):
            if rng.random() < hot_share:
                key = 30000 + rng.randrange(60)
            else:
                key = rng.randrange(model.KEY_COUNT)
            bucket = rates.bucket_of(key)
            counts[bucket] = counts.get(bucket, 0) + 1
        now += step_s
        measured.add(counts)
        measured.decay(now)
    return measured


class PlanningTest(unittest.TestCase):
    """First assignment, rebalancing, loss of an upstream."""

    def setUp(self) -> None:
        """Assign all keys evenly to eight upstreams."""
        self.assigned = holdings.Holdings('s')
        self.idle = plan_inputs(8, rates.KeyRates())
        for move in planning.place_orphans(
            self.assigned.items, self.idle, self.assigned.items
        ):
            assign(self.assigned, move)

    def test_first_assignment_is_even(self) -> None:
        """Guards against a first plan that gives few upstreams all keys."""
        sizes = dict.fromkeys(self.idle.capacity, 0)
        for holding in self.assigned.items:
            sizes[holding.upstream] += holding.last - holding.first + 1
        self.assertLess(max(sizes.values()), 1.3 * model.KEY_COUNT / 8)
        self.assertGreater(min(sizes.values()), 0.7 * model.KEY_COUNT / 8)

    def rebalance(self, inputs: planning.Inputs, rounds: int) -> int:
        """Make and execute several plans; return the number of moves."""
        moved = 0
        for number in range(rounds):
            now = 100.0 + number * 10
            moves = planning.rebalance(
                self.assigned.items,
                inputs._replace(rules=planning.Rules(max_moves=4)),
                now,
            )
            for move in moves:
                assign(self.assigned, move)
            moved += len(moves)
        return moved

    def test_hot_neighbors_are_distributed(self) -> None:
        """Guards against leaving all hot keys at one upstream.

        The load is 160 requests/s, of which 40% are for 60 neighboring keys.
        These alone exceed the capacity of one upstream.
        """
        inputs = plan_inputs(8, traffic(random.Random(1), 6.0, 160.0, 0.4))
        before = max(loads(self.assigned, inputs).values())
        self.assertGreater(before, 1.5 * CAPACITY)
        moved = self.rebalance(inputs, 12)
        after = max(loads(self.assigned, inputs).values())
        self.assertLess(after, 0.8 * CAPACITY)
        self.assertLessEqual(moved, 24)

    def test_hot_neighbors_are_distributed_by_two_plans(self) -> None:
        """Guards against a hot spot that ends before it is distributed.

        The load is the same as above. A hot spot lasts four to five seconds,
        and requests for it are refused until it is distributed.
        """
        inputs = plan_inputs(8, traffic(random.Random(1), 6.0, 160.0, 0.4))
        for now in (100.0, 110.0):
            for move in planning.rebalance(self.assigned.items, inputs, now):
                assign(self.assigned, move)
        after = max(loads(self.assigned, inputs).values())
        self.assertLess(after, CAPACITY)

    def test_started_moves_count_at_their_target(self) -> None:
        """Guards against moving the same load twice."""
        inputs = plan_inputs(8, traffic(random.Random(1), 6.0, 160.0, 0.4))
        first = planning.rebalance(self.assigned.items, inputs, 100.0)
        for move in first:
            holding = self.assigned.split(move.first, move.last)
            holding.moving, holding.target = True, move.target
        again = planning.rebalance(self.assigned.items, inputs, 100.2)
        self.assertLessEqual(len(again), 2)

    def test_even_load_moves_nothing(self) -> None:
        """Guards against moves that only react to noise."""
        inputs = plan_inputs(8, traffic(random.Random(2), 6.0, 160.0, 0.0))
        self.assertEqual(0, self.rebalance(inputs, 4))

    def test_plan_is_stable_under_steady_load(self) -> None:
        """Guards against moving keys back and forth under a steady load."""
        rng = random.Random(3)
        self.rebalance(plan_inputs(8, traffic(rng, 6.0, 160.0, 0.4)), 12)
        again = self.rebalance(
            plan_inputs(8, traffic(rng, 6.0, 160.0, 0.4)), 4
        )
        self.assertLessEqual(again, 4)

    def test_single_hot_key_is_not_moved(self) -> None:
        """Guards against moving a key without a gain.

        One key exceeds the capacity of every upstream. Its neighbors are moved
        away, and it stays.
        """
        measured = rates.KeyRates()
        measured.add({rates.bucket_of(30000): 200})
        measured.decay(0.0)
        self.rebalance(plan_inputs(8, measured), 6)
        owners = {
            holding.upstream
            for holding in self.assigned.items
            if holding.first <= 30000 <= holding.last
        }
        again = self.rebalance(plan_inputs(8, measured), 3)
        self.assertEqual(0, again)
        self.assertEqual(1, len(owners))

    def test_joined_upstream_gets_keys(self) -> None:
        """Guards against an upstream that joins and receives no requests."""
        inputs = plan_inputs(9, traffic(random.Random(4), 6.0, 80.0, 0.0))
        self.rebalance(inputs, 3)
        self.assertGreater(loads(self.assigned, inputs)['u8'], 0.0)

    def test_keys_of_a_lost_upstream_are_distributed(self) -> None:
        """Guards against one upstream that takes over a whole hot range."""
        inputs = plan_inputs(8, traffic(random.Random(5), 6.0, 160.0, 0.3))
        self.rebalance(inputs, 12)
        lost = max(
            loads(self.assigned, inputs), key=loads(self.assigned, inputs).get
        )
        orphans = [
            holding
            for holding in self.assigned.items
            if holding.upstream == lost
        ]
        del inputs.capacity[lost]
        for move in planning.place_orphans(
            self.assigned.items, inputs, orphans
        ):
            assign(self.assigned, move)
        after = loads(self.assigned, inputs)
        self.assertLess(max(after.values()), 1.2 * CAPACITY)

    def test_slow_upstream_does_not_fragment_ranges(self) -> None:
        """Guards against more ranges than can be renewed.

        If the size of the parts follows the slowest upstream, one that takes
        seconds for each request leads to parts of 24 keys of all orphaned
        ranges. The coordinator then sent 500 releases per second, and the run
        of a whole day was aborted after 574 s of processor time.
        """
        measured = traffic(random.Random(4), 6.0, 160.0, 0.0)
        capacity = {f'u{number}': CAPACITY for number in range(1, 8)}
        capacity['u7'] = CAPACITY / 200
        orphans = [
            holding
            for holding in self.assigned.items
            if holding.upstream == 'u0'
        ]
        moves = planning.place_orphans(
            self.assigned.items, planning.Inputs(capacity, measured), orphans
        )
        self.assertGreater(len(moves), 2)
        self.assertLess(len(moves), 8)

    def test_ranges_of_many_upstreams_that_leave_are_limited(self) -> None:
        """Guards against more ranges than can be renewed."""
        measured = traffic(random.Random(5), 6.0, 160.0, 0.0)
        few = planning.Inputs({'u7': 1.0, 'u6': 1.0}, measured)
        orphans = [
            holding
            for holding in self.assigned.items
            if holding.upstream < 'u6'
        ]
        for move in planning.place_orphans(self.assigned.items, few, orphans):
            self.assigned.split(move.first, move.last)
        limit = planning.MAX_RANGES_PER_UPSTREAM * len(few.capacity)
        self.assertLessEqual(len(self.assigned.items), limit)

    def test_joined_upstreams_share_keys_without_traffic(self) -> None:
        """Guards against upstreams that join late and never get keys.

        Upstreams are listed one after the other before traffic starts.
        """
        inputs = plan_inputs(16, rates.KeyRates())
        self.rebalance(inputs, 20)
        sizes = dict.fromkeys(inputs.capacity, 0)
        for holding in self.assigned.items:
            sizes[holding.upstream] += holding.last - holding.first + 1
        self.assertLess(max(sizes.values()), 2 * model.KEY_COUNT / 16)

    def test_key_that_exceeds_its_owner_is_moved(self) -> None:
        """Guards against one hot key that stays with a slow upstream.

        One key with 67 requests/s stayed with its owner for 5 s, although
        other upstreams were twice as fast.
        """
        measured = rates.KeyRates()
        hot = rates.bucket_of(30000)
        for step in range(12):
            measured.add({hot: 17, rates.bucket_of(9): 2})
            measured.decay((step + 1) * 0.25)
        capacity = {'slow': 25.0, 'fast': 50.0, 'other': 30.0}
        assigned = holdings.Holdings('views')
        assigned.items[0].upstream = 'slow'
        assigned.items[0].confirmed = True
        moves = planning.rebalance(
            assigned.items, planning.Inputs(capacity, measured), 9.0
        )
        first = hot * rates.BUCKET_KEYS
        last = first + rates.BUCKET_KEYS - 1
        self.assertIn(planning.Move(first, last, 'fast'), moves)
        for move in moves:
            assign(assigned, move)
        moves = planning.rebalance(
            assigned.items, planning.Inputs(capacity, measured), 20.0
        )
        self.assertNotIn(first, {move.first for move in moves})


class PauseTest(unittest.TestCase):
    """An upstream that turns requests away and asks for a pause."""

    def setUp(self) -> None:
        """Distribute even traffic over eight upstreams."""
        measured = traffic(random.Random(1), 5.0, 160.0, 0.0)
        self.inputs = plan_inputs(8, measured)
        self.assigned = holdings.Holdings('s')
        for move in planning.place_orphans(
            self.assigned.items, self.inputs, self.assigned.items
        ):
            assign(self.assigned, move)

    def moved_keys(self, pause_s: float) -> tuple[int, set[str]]:
        """Return how many keys a plan moves from u0, and all targets."""
        inputs = planning.with_pauses(
            self.assigned.items, self.inputs, {'u0': pause_s}
        )
        moves = planning.rebalance(self.assigned.items, inputs, 100.0)
        owned = [
            (holding.first, holding.last)
            for holding in self.assigned.items
            if holding.upstream == 'u0'
        ]
        moved = sum(
            move.last - move.first + 1
            for move in moves
            if any(first <= move.first <= last for first, last in owned)
        )
        return moved, {move.target for move in moves}

    def test_keys_are_moved_away(self) -> None:
        """Guards against keys that wait for a long pause to end."""
        moved, targets = self.moved_keys(5.0)
        self.assertGreater(moved, 0)
        self.assertNotIn('u0', targets)

    def test_longer_pause_moves_more(self) -> None:
        """Guards against moving all keys for a moment of overload."""
        self.assertLess(self.moved_keys(0.2)[0], self.moved_keys(8.0)[0])

    def test_no_keys_are_assigned(self) -> None:
        """Guards against orphans that go to an upstream that is full."""
        orphans = [
            holding
            for holding in self.assigned.items
            if holding.upstream == 'u1'
        ]
        inputs = planning.with_pauses(
            self.assigned.items, self.inputs, {'u0': 2.0}
        )
        del inputs.capacity['u1']
        moves = planning.place_orphans(self.assigned.items, inputs, orphans)
        self.assertNotIn('u0', {move.target for move in moves})
