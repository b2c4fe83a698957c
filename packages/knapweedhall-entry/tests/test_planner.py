"""Tests of the tasks that publish plans, electors and checkpoints."""

from __future__ import annotations

import random
import typing
import unittest

from knapweedhall_entry import checkpoint_writer
from knapweedhall_entry import election_task
from knapweedhall_entry import electors_writer
from knapweedhall_entry import log_follower
from knapweedhall_entry import membership
from knapweedhall_entry import planner
from knapweedhall_ownership import configuration
from knapweedhall_ownership import groups
from knapweedhall_records import bodies
from knapweedhall_records import ids
from tests import control_fakes as fakes

B = ids.InstanceId('b', 5)
C = ids.InstanceId('c', 6)
GROUP = 'domain/x'
UPSTREAMS = ('u', 'v')


class PlannerTest(unittest.TestCase):
    """Guards against slices that move without need or stay with the lost."""

    def setUp(self) -> None:
        self.store = configuration.Store()
        self.service = fakes.service()
        fakes.put(self.store, 'service', 's', self.service)
        self.lost: set[str] = set()
        self.heard = {GROUP}
        self.view = fakes.make_fleet(
            *(fakes.upstream_row(name, 's', 'x') for name in UPSTREAMS),
            store=self.store,
        )
        self.planner = planner.Planner(
            self.view,
            typing.cast(typing.Any, None),
            lambda name, service: True,
            lambda: planner.Silence(self.heard, self.lost),
        )

    def wanted(self, now: float) -> bodies.Plan | None:
        self.planner.note_lost(now)
        return self.planner.wanted('s', self.service, now)

    def settle(self, now: float) -> bodies.Plan | None:
        self.wanted(now)
        return self.wanted(now + planner.SETTLE_S)

    def publish(self, now: float) -> bodies.Plan:
        plan = self.settle(now)
        assert plan is not None
        fakes.put(self.store, 'plan', 's', plan)
        return plan

    def test_waits_until_the_upstreams_settle(self) -> None:
        """Guards against a plan for each upstream that registers."""
        self.assertIsNone(self.wanted(0.0))
        plan = self.wanted(planner.SETTLE_S)
        assert plan is not None
        self.assertEqual(plan.upstreams, UPSTREAMS)

    def test_plan_in_force_is_kept(self) -> None:
        """Guards against appends in the steady state."""
        self.publish(0.0)
        self.assertIsNone(self.settle(5.0))

    def test_short_silence_changes_no_plan(self) -> None:
        """Guards against churn by an upstream that freezes briefly."""
        self.publish(0.0)
        self.lost.add('v')
        self.assertIsNone(self.settle(5.0))

    def test_long_silence_moves_the_slices(self) -> None:
        """Guards against a plan that names a lost upstream for ever."""
        self.publish(0.0)
        self.lost.add('v')
        self.wanted(5.0)
        plan = self.settle(5.0 + planner.LOST_BEFORE_PLAN_S)
        assert plan is not None
        self.assertEqual(plan.upstreams, ('u',))

    def test_unheard_coordinator_brings_no_upstream_back(self) -> None:
        """Guards against slices on a lost upstream during a partition."""
        self.publish(0.0)
        self.lost.add('v')
        self.wanted(5.0)
        plan = self.settle(10.0)
        assert plan is not None
        fakes.put(self.store, 'plan', 's', plan, 1)
        self.lost.clear()
        self.heard.clear()
        self.assertIsNone(self.settle(12.0))
        self.heard.add(GROUP)
        self.assertIsNotNone(self.settle(14.0))

    def test_marked_upstream_leaves_the_plan(self) -> None:
        """Guards against a mark without effect."""
        self.publish(0.0)
        fakes.put(self.store, 'mark', 'instance/u', bodies.Mark('out'))
        self.view.refresh(5.0)
        plan = self.settle(5.0)
        assert plan is not None
        self.assertEqual(plan.upstreams, ('v',))

    def test_no_upstream_keeps_the_plan(self) -> None:
        """Guards against an exception when all upstreams are gone."""
        self.publish(0.0)
        self.lost.update(UPSTREAMS)
        self.wanted(5.0)
        self.assertIsNone(self.settle(20.0))

    def test_move_between_groups_names_the_origin(self) -> None:
        """Guards against a new owner before the old group's release."""
        self.publish(0.0)
        rows = [fakes.upstream_row('w', 's', 'y')]
        self.view.listed.note_rows(
            tuple([fakes.upstream_row(n, 's', 'x') for n in UPSTREAMS] + rows),
            5.0,
        )
        self.view.refresh(5.0)
        plan = self.settle(5.0)
        assert plan is not None
        place = plan.upstreams.index('w')
        moved = {
            number
            for number, indices in enumerate(plan.slices)
            if indices[0] == place
        }
        self.assertTrue(moved)
        self.assertEqual(
            plan.origins,
            {number: bodies.Origin(GROUP, 2) for number in moved},
        )


class ElectorsWriterTest(unittest.TestCase):
    """Guards against groups without electors."""

    def setUp(self) -> None:
        self.store = configuration.Store()
        fakes.put(self.store, 'service', 's', fakes.service())
        view = fakes.make_fleet(
            fakes.upstream_row('u', 's', 'x'), store=self.store
        )
        sender = typing.cast(typing.Any, fakes.Sender())
        events = fakes.Recorder()
        self.members = membership.Membership(
            'a', 'x', sender, fakes.heartbeat, events
        )
        self.elections = election_task.ElectionTask(
            sender, view, random.Random(1), events
        )
        self.writer = electors_writer.ElectorsWriter(
            groups.Instance(fakes.ME, 'x'),
            view,
            self.members,
            view.listed,
            self.elections,
            typing.cast(typing.Any, None),
        )

    def hear(self, now: float, *peers: ids.InstanceId, **f: bool) -> None:
        for peer in peers:
            beat = fakes.heartbeat('x', **f)
            self.members.note_heartbeat(fakes.received(peer, beat), now)

    def next_set(self, now: float) -> tuple[str, ...] | None:
        self.members.tick(now)
        self.writer.observe(now)
        draft = self.writer.next_draft(GROUP, now)
        if draft is None:
            return None
        body = typing.cast(bodies.Electors, draft.body)
        return tuple(sorted(each.name for each in body.instances))

    def set_electors(self, *instances: ids.InstanceId) -> None:
        body = bodies.Electors(instances)
        fakes.put(self.store, 'electors', GROUP, body)

    def test_first_set_names_the_instances_of_the_domain(self) -> None:
        """Guards against a new deployment without coordinators."""
        self.hear(0.0, B, C)
        self.assertIsNone(self.next_set(0.0))
        last = electors_writer.BOOTSTRAP_WAIT_S + 2.0
        self.hear(last, B, C)
        self.assertEqual(self.next_set(last), ('a', 'b', 'c'))

    def test_lost_majority_is_replaced_after_a_wait(self) -> None:
        """Guards against a group that stays without a coordinator."""
        self.set_electors(fakes.ME, B, C)
        self.assertIsNone(self.next_set(0.0))
        self.assertIsNone(self.next_set(9.9))
        self.assertEqual(self.next_set(10.0), ('a',))

    def test_listed_electors_are_not_replaced(self) -> None:
        """Guards against two majorities during a partition."""
        self.set_electors(fakes.ME, B, C)
        rows = [fakes.entry_row(n, 'x', '127.0.0.1') for n in ('b', 'c')]
        self.writer.listed.note_rows(tuple(rows), 0.0)
        self.next_set(0.0)
        self.assertIsNone(self.next_set(60.0))

    def test_restarted_electors_are_replaced_soon(self) -> None:
        """Guards against a long outage after a restart of the fleet."""
        self.set_electors(fakes.ME, B._replace(incarnation=1), C)
        self.next_set(0.0)
        self.hear(5.0, B, C._replace(incarnation=9))
        self.next_set(5.0)
        self.hear(7.0, B, C._replace(incarnation=9))
        self.assertEqual(self.next_set(7.0), ('a', 'b', 'c'))

    def test_leaving_instances_are_not_chosen(self) -> None:
        """Guards against electors that are about to stop."""
        self.hear(5.0, B, C, leaving=True)
        self.next_set(5.0)
        self.assertIsNone(self.next_set(5.9))
        self.hear(7.0, B, C, leaving=True)
        self.assertEqual(self.next_set(7.0), ('a',))


class CheckpointWriterTest(unittest.TestCase):
    """Guards against records that expire without a checkpoint."""

    def setUp(self) -> None:
        none = typing.cast(typing.Any, None)
        self.follower = log_follower.LogFollower(none, 1, fakes.Recorder())
        self.follower.restored = self.follower.reachable = True
        store = self.follower.store
        fakes.put(store, 'mark', 'domain/x', bodies.Mark('out'))
        self.writer = checkpoint_writer.CheckpointWriter(
            self.follower, none, lambda: True, 80_000, fakes.Recorder()
        )
        self.writer.next_due = 40.0

    def test_due_after_half_the_retention(self) -> None:
        """Guards against a checkpoint that comes too late."""
        self.assertFalse(self.writer.due(39.9))
        self.assertTrue(self.writer.due(40.0))
        self.follower.checkpoints_read = 1
        self.assertFalse(self.writer.due(41.0))
        self.assertTrue(self.writer.due(81.0))

    def test_due_after_a_long_outage(self) -> None:
        """Guards against a tail that expired while the log was down."""
        self.writer.next_due = 999.0
        self.follower.reachable = False
        self.assertFalse(self.writer.due(0.0))
        self.follower.reachable = True
        self.assertTrue(self.writer.due(40.0))

    def test_never_due_while_records_are_missing(self) -> None:
        """Guards against a checkpoint of an incomplete state."""
        self.follower.missing_first = 7
        self.assertFalse(self.writer.due(99.0))
