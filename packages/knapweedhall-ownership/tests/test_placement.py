"""Plans, slices, groups and elector sets."""

from __future__ import annotations

import collections
import random
import unittest

from knapweedhall_ownership import groups
from knapweedhall_ownership import origins
from knapweedhall_ownership import placement
from knapweedhall_ownership import slices
from knapweedhall_records import bodies
from knapweedhall_records import ids


def upstreams(count: int, domains: int = 3) -> list[placement.Candidate]:
    """Return upstreams of equal weight."""
    return [
        placement.Candidate(f'u{i:03}', f'd{i % domains}')
        for i in range(count)
    ]


def loads(plan: bodies.Plan) -> collections.Counter[str]:
    """Return the number of slices per owner."""
    return collections.Counter(
        plan.upstreams[indices[0]] for indices in plan.slices
    )


class PlacementTest(unittest.TestCase):
    """Plans."""

    def test_imbalance_is_at_most_one_slice(self) -> None:
        """Guards against an upstream with more than its share."""
        rng = random.Random(5)
        plan = None
        for _ in range(60):
            found = [
                each._replace(weight=rng.choice([1.0, 2.0, 6.0]))
                for each in rng.sample(upstreams(30), rng.randrange(1, 30))
            ]
            plan = placement.make_plan(256, found, plan)
            total = sum(each.weight for each in found)
            for each in found:
                mean = 256 * each.weight / total
                self.assertLess(abs(loads(plan)[each.name] - mean), 1)

    def test_loss_and_arrival_move_the_least(self) -> None:
        """Guards against slices that move between unaffected upstreams."""
        full = upstreams(20)
        plan = placement.make_plan(256, full)
        for gone in full:
            rest = [each for each in full if each != gone]
            after = placement.make_plan(256, rest, plan)
            moved = placement.moved(plan, after)
            self.assertEqual(loads(plan)[gone.name], len(moved))
            back = placement.make_plan(256, full, after)
            self.assertEqual(256 // 20, len(placement.moved(after, back)))

    def test_loss_spreads_over_many_successors(self) -> None:
        """Guards against one upstream that inherits all slices of another."""
        plan = placement.make_plan(256, upstreams(20))
        for owner in range(20):
            lists = [each for each in plan.slices if each[0] == owner]
            for place in (1, 2):
                heirs = collections.Counter(each[place] for each in lists)
                self.assertLessEqual(max(heirs.values()), 3)
            domains = {f'd{i % 3}' for each in lists for i in each}
            self.assertEqual(3, len(domains))

    def test_lost_slices_stay_with_their_successor(self) -> None:
        """Guards against a second move after a takeover."""
        full = upstreams(20)
        plan = placement.make_plan(256, full)
        after = placement.make_plan(256, full[1:], plan)
        kept = sum(
            after.upstreams[now[0]] in [plan.upstreams[i] for i in was[1:]]
            for was, now in zip(plan.slices, after.slices)
            if was[0] == 0
        )
        self.assertGreaterEqual(kept, loads(plan)['u000'] - 1)

    def test_stay_services_succeed_within_the_domain(self) -> None:
        """Guards against a successor that another group manages."""
        plan = placement.make_plan(64, upstreams(9), same_domain=True)
        for indices in plan.slices:
            self.assertEqual(1, len({i % 3 for i in indices}))

    def test_origins_are_named_until_released(self) -> None:
        """Guards against two groups that own a slice at once."""
        full = upstreams(6)
        group = {each.name: each.failure_domain for each in full}
        plan = placement.make_plan(12, full)
        out = [each for each in full if each.failure_domain != 'd0']
        after = placement.make_plan(12, out, plan)
        marked = origins.mark_origins(
            after, {0: 8}, plan, group, lambda number, origin: False
        )
        moved = set(placement.moved(plan, after))
        self.assertEqual(moved, set(marked.origins))
        self.assertEqual({bodies.Origin('d0', 8)}, {*marked.origins.values()})
        for released, kept in ((False, moved), (True, set())):
            later = origins.mark_origins(
                after, {0: 9}, marked, group, lambda number, origin: released
            )
            self.assertEqual(kept, set(later.origins))

    def test_chunks_join(self) -> None:
        """Guards against plans above the size of a record."""
        plan = placement.make_plan(16384, upstreams(50))
        chunks = placement.divide('s', plan)
        self.assertEqual(4, len(chunks))
        first = {int(name.split('/')[1]): c for name, c in chunks.items()}
        self.assertEqual(plan, placement.join(first))


class SliceTest(unittest.TestCase):
    """Slice numbers."""

    def test_slices_are_ranges_of_the_hash(self) -> None:
        """Guards against a change that would move every key."""
        self.assertEqual(0xEF46DB3751D8E999, slices.hash_text(''))
        for key in map(str, range(200)):
            fine = slices.slice_of(key, 4096)
            self.assertEqual(slices.slice_of(key, 256), fine // 16)
            self.assertTrue(slices.is_hot(slices.hot_slice_of(key)))


class ElectorSetTest(unittest.TestCase):
    """Elector sets."""

    def instances(self, *counts: int) -> list[groups.Instance]:
        """Return instances by their number per domain."""
        return [
            groups.Instance(ids.InstanceId(f'{domain}{i}', 1), f'd{domain}')
            for domain, count in enumerate(counts)
            for i in range(count)
        ]

    def test_domain_keeps_its_majority(self) -> None:
        """Guards against a partitioned domain that cannot elect."""
        for local, size in ((5, 3), (3, 3), (2, 3), (1, 1), (0, 0)):
            found = groups.elector_set('domain/d0', self.instances(local, 3))
            self.assertEqual(size, len(found))
            own = sum(each.name.startswith('0') for each in found)
            self.assertGreaterEqual(2 * own, len(found))

    def test_service_electors_are_spread(self) -> None:
        """Guards against a domain whose loss ends the majority."""
        for counts in ((3, 3, 3), (4, 2, 1, 1), (1,) * 7):
            found = groups.elector_set('service/s', self.instances(*counts))
            self.assertEqual(len(found), len({each.name[0] for each in found}))
            self.assertEqual(1, len(found) % 2)

    def test_steps_change_one_member(self) -> None:
        """Guards against sets whose majorities do not intersect."""
        a, b, c, d = (ids.InstanceId(name, 1) for name in 'abcd')
        restarted = ids.InstanceId('b', 2)
        current: groups.Electors | None = (a, b, c)
        wanted = (a, restarted, d)
        while current and set(current) != set(wanted):
            step = groups.next_electors(current, wanted)
            assert step is not None
            self.assertEqual(1, len(set(step) ^ set(current)))
            self.assertEqual(len(step), len({each.name for each in step}))
            current = step
        self.assertIsNone(groups.next_electors(wanted, wanted))
