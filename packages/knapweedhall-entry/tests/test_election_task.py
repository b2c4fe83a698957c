"""Tests of the task that votes and asks for leases."""

from __future__ import annotations

import random
import typing
import unittest

from knapweedhall_entry import election_task
from knapweedhall_ownership import configuration
from knapweedhall_ownership import messages
from knapweedhall_records import bodies
from knapweedhall_records import ids
from tests import control_fakes as fakes

GROUP = 'domain/x'
B = ids.InstanceId('b', 5)
C = ids.InstanceId('c', 6)


class ElectionTaskTest(unittest.TestCase):
    """Guards against two holders of a lease, and against none."""

    def setUp(self) -> None:
        self.store = configuration.Store()
        self.sender = fakes.Sender()
        self.events = fakes.Recorder()
        self.task = election_task.ElectionTask(
            typing.cast(typing.Any, self.sender),
            fakes.make_fleet(store=self.store),
            random.Random(1),
            self.events,
        )

    def set_electors(
        self, version: int, *instances: ids.InstanceId, now: float = 0.0
    ) -> None:
        body = bodies.Electors(instances)
        fakes.put(self.store, 'electors', GROUP, body, version - 1)
        self.task.refresh(now)

    def answer_all(self, now: float) -> None:
        """Let the other electors grant what was asked."""
        for name, body in self.sender.sent:
            vote = messages.Vote(
                GROUP, True, body.term, body.electors_version, body.number
            )
            sender = B if name == 'b' else C
            self.task.take(now, fakes.received(sender, vote))
        self.sender.sent.clear()

    def test_wins_and_loses_the_lease(self) -> None:
        """Guards against a holder that does not notice its lease's end."""
        self.set_electors(1, fakes.ME, B, C)
        self.task.tick(0.0)
        self.answer_all(0.01)
        self.assertIsNotNone(self.task.lease(0.9, GROUP))
        self.assertIsNone(self.task.lease(1.0, GROUP))
        self.task.tick(1.5)
        self.assertEqual(
            [name for name in self.events.names() if 'lease' in name],
            ['lease_acquired', 'lease_lost'],
        )

    def test_isolated_candidate_does_not_vote_for_itself(self) -> None:
        """Guards against an elector that refuses the holder for ever."""
        self.set_electors(1, fakes.ME, B, C)
        for now in (0.0, 1.0, 2.0):
            self.task.tick(now)
        self.sender.sent.clear()
        request = messages.VoteRequest(
            GROUP, 1, ids.Term(1, 1).encode(), 1000, 1, 1
        )
        self.task.take(3.0, fakes.received(B, request))
        vote = self.sender.sent[-1][1]
        self.assertTrue(vote.granted)

    def test_new_elector_waits_for_the_holder(self) -> None:
        """Guards against ending a lease by joining the set of electors."""
        self.set_electors(1, B, C)
        self.set_electors(2, B, C, fakes.ME)
        self.task.tick(0.0)
        self.assertEqual(self.sender.sent, [])
        self.task.tick(election_task.JOIN_WAIT_S)
        self.assertEqual(set(self.sender.names()), {'b', 'c'})

    def test_replaced_set_starts_at_once(self) -> None:
        """Guards against a longer outage after a restart of the fleet."""
        self.set_electors(1, ids.InstanceId('a', 0), B, C)
        self.set_electors(2, fakes.ME, ids.InstanceId('b', 9))
        self.task.tick(0.0)
        self.assertEqual(self.sender.names(), ['b'])

    def test_instance_outside_the_set_does_not_vote(self) -> None:
        """Guards against a restarted instance that votes again."""
        self.set_electors(1, ids.InstanceId('a', 0), B, C)
        request = messages.VoteRequest(GROUP, 1, 7, 1000, 1)
        self.task.take(0.0, fakes.received(B, request))
        self.assertEqual(self.sender.sent, [])

    def test_overlong_lease_is_refused(self) -> None:
        """Guards against a vote that blocks a group for long."""
        self.set_electors(1, fakes.ME, B, C)
        request = messages.VoteRequest(GROUP, 1, 2**33, 10**9, 1)
        self.task.take(0.0, fakes.received(B, request))
        self.assertEqual(self.sender.sent, [])

    def test_stopping_instance_asks_for_no_lease(self) -> None:
        """Guards against a lease that is won during a planned stop."""
        self.set_electors(1, fakes.ME, B, C)
        self.task.stopping = True
        self.task.tick(0.0)
        self.assertEqual(self.sender.sent, [])

    def test_electors_ahead_of_the_log_are_not_used(self) -> None:
        """Guards against electors that know a newer set but not the plans.

        The record came from a peer; the log below it was not read.
        """
        record = bodies.Record(
            'electors', 2, GROUP, 1, 0, 'w', 1, 1, bodies.Electors((B, C))
        )
        entry = configuration.Entry(5, record, 5)
        self.store.load(configuration.Snapshot(0, (entry,)))
        self.task.refresh(0.0)
        self.assertNotIn(GROUP, self.task.candidates)
        self.store.load(configuration.Snapshot(6, ()))
        self.task.refresh(0.1)
        self.assertIn(GROUP, self.task.candidates)

    def test_resigned_holder_stops_renewing(self) -> None:
        """Guards against a lease whose coordinator has failed."""
        self.set_electors(1, fakes.ME, B, C)
        self.task.tick(0.0)
        self.answer_all(0.01)
        self.task.resign(GROUP)
        self.task.tick(0.5)
        self.assertEqual(self.sender.sent, [])

    def test_planned_release_waits_for_permits(self) -> None:
        """Guards against a successor that starts before permits end."""
        self.set_electors(1, fakes.ME, B, C)
        self.task.tick(0.0)
        self.answer_all(0.01)
        self.assertFalse(self.task.release(0.2, GROUP, 0.3))
        self.assertEqual(self.sender.sent, [])
        self.assertTrue(self.task.release(0.3, GROUP, 0.3))
        self.assertEqual(set(self.sender.names()), {'b', 'c'})
