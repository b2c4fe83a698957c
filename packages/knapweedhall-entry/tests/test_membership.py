"""Tests of membership and the exchange of configuration."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_entry import config_exchange
from knapweedhall_entry import log_follower
from knapweedhall_entry import membership
from knapweedhall_entry import messages
from knapweedhall_records import bodies
from knapweedhall_records import ids
from tests import control_fakes as fakes

B = ids.InstanceId('b', 5)


class MembershipTest(unittest.TestCase):
    """Guards against peers that are taken for dead or alive wrongly."""

    def setUp(self) -> None:
        self.sender = fakes.Sender()
        self.events = fakes.Recorder()
        self.members = membership.Membership(
            'a',
            'x',
            typing.cast(typing.Any, self.sender),
            fakes.heartbeat,
            self.events,
        )

    def hear(self, now: float, sender: ids.InstanceId = B, **f: str) -> None:
        beat = fakes.heartbeat(**f)
        self.members.note_heartbeat(fakes.received(sender, beat), now)

    def test_silent_peer_goes_down_and_returns(self) -> None:
        """Guards against a peer that stays in one state."""
        self.hear(0.0)
        self.members.tick(0.9)
        self.assertEqual(set(self.members.live()), {'b'})
        self.members.tick(1.0)
        self.assertEqual(set(self.members.live()), set())
        self.hear(2.0)
        self.assertEqual(
            self.events.names(), ['peer_up', 'peer_down', 'peer_up']
        )

    def test_late_heartbeat_of_an_earlier_run_is_ignored(self) -> None:
        """Guards against electing a process that no longer exists."""
        self.hear(0.0, ids.InstanceId('b', 9))
        self.hear(0.1, B)
        self.assertEqual(self.members.states['b'].instance.incarnation, 9)
        self.hear(1.0, B)
        self.assertEqual(self.members.states['b'].instance, B)

    def test_list_names_the_address_between_domains(self) -> None:
        """Guards against bypassing the platform's address for a domain."""
        self.members.note_list((fakes.entry_row('b', 'y', '127.0.0.1'),))
        self.hear(0.0, domain='y')
        self.assertEqual(self.members.forward_address('b'), '127.0.0.1:81')

    def test_heartbeat_names_the_address_inside_a_domain(self) -> None:
        """Guards against a lagging list's address of an earlier run."""
        self.members.note_list((fakes.entry_row('b', 'x', '127.0.0.1'),))
        self.hear(0.0, domain='x')
        self.assertEqual(self.sender.peers['b'], '127.0.0.9:93')

    def test_listed_peers_get_heartbeats_before_they_send(self) -> None:
        """Guards against two instances that wait for each other."""
        self.members.note_list((fakes.entry_row('b', 'y', '127.0.0.1'),))
        self.members.tick(0.0)
        self.assertEqual(self.sender.names(), ['b'])


class ConfigExchangeTest(unittest.TestCase):
    """Guards against instances that stay behind without a log."""

    def setUp(self) -> None:
        self.ours, self.our_sender = self.build()
        self.theirs, self.their_sender = self.build()
        for name, replaces in (('x', 0), ('y', 0), ('y', 1)):
            fakes.put(
                self.theirs.follower.store,
                'mark',
                f'domain/{name}',
                bodies.Mark('out'),
                replaces,
            )
        self.theirs.follower.restored = True
        digest = self.theirs.follower.store.digest()
        beat = fakes.heartbeat(digest=digest)
        self.ours.members.note_heartbeat(fakes.received(B, beat), 0.0)

    def build(self) -> tuple[config_exchange.ConfigExchange, fakes.Sender]:
        sender = typing.cast(typing.Any, fakes.Sender())
        follower = log_follower.LogFollower(sender, 1.0, fakes.Recorder())
        members = membership.Membership(
            'a', 'x', sender, fakes.heartbeat, fakes.Recorder()
        )
        return (
            config_exchange.ConfigExchange(follower, members, sender),
            sender,
        )

    def transfer(self, now: float) -> None:
        """Let the peer answer what this instance has asked."""
        for _, request in self.our_sender.sent:
            self.theirs.answer(fakes.received(fakes.ME, request), now)
        for _, answer in self.their_sender.sent:
            self.ours.take(fakes.received(B, answer))

    def test_new_instance_takes_the_whole_state(self) -> None:
        """Guards against a new instance that never serves in an outage."""
        self.ours.tick(0.0)
        self.assertEqual(self.our_sender.sent, [])
        self.ours.tick(config_exchange.DIFFERENCE_S)
        self.transfer(1.0)
        follower = self.ours.follower
        self.assertTrue(follower.restored)
        self.assertEqual(follower.position, 3)
        self.assertEqual(
            follower.store.digest(), self.theirs.follower.store.digest()
        )

    def test_instance_that_lags_takes_only_newer_records(self) -> None:
        """Guards against a transfer that skips records on the log."""
        self.ours.follower.restored = True
        self.ours.tick(0.0)
        self.ours.tick(config_exchange.DIFFERENCE_S)
        self.transfer(1.0)
        self.assertEqual(self.ours.follower.position, 0)
        self.assertEqual(
            self.ours.follower.store.digest(),
            self.theirs.follower.store.digest(),
        )

    def test_state_that_leaves_a_gap_is_refused(self) -> None:
        """Guards against continuing after records that nobody applied."""
        self.ours.follower.missing_first = 9
        self.ours.tick(0.0)
        self.transfer(1.0)
        self.assertEqual(len(self.our_sender.sent), 1)
        self.assertFalse(self.ours.follower.restored)

    def test_answer_to_no_request_is_ignored(self) -> None:
        """Guards against records of a peer that was not asked."""
        answer = messages.ConfigRecords(7, 3, 0, 1, ('3 0',))
        self.ours.take(fakes.received(B, answer))
        self.assertFalse(self.ours.follower.restored)
