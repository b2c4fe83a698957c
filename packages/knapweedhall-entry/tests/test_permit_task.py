"""Tests of permits and of the lookups that use them."""

from __future__ import annotations

import time
import typing
import unittest
import unittest.mock

from knapweedhall_entry import control_view
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry import membership
from knapweedhall_entry import observer
from knapweedhall_entry import permit_task
from knapweedhall_ownership import configuration
from knapweedhall_ownership import messages
from knapweedhall_records import bodies
from knapweedhall_records import ids
from tests import control_fakes as fakes

B = ids.InstanceId('b', 5)
C = ids.InstanceId('c', 6)
TERM = ids.Term(1, 1).encode()
SHARE = messages.Share(2, 10, 1)
HERE, THERE = 'domain/x', 'domain/y'


class PermitTest(unittest.TestCase):
    """Guards against requests that are sent without a permit."""

    def setUp(self) -> None:
        self.store = configuration.Store()
        fakes.put(self.store, 'service', 's', fakes.service())
        plan = bodies.Plan(('u', 'v'), ((0,), (0,), (1,), (1,)))
        fakes.put(self.store, 'plan', 's', plan)
        for group in (HERE, THERE):
            fakes.put(self.store, 'electors', group, bodies.Electors((B, C)))
        view = fakes.make_fleet(
            fakes.upstream_row('u', 's', 'x'),
            fakes.upstream_row('v', 's', 'y'),
            store=self.store,
        )
        self.sender = fakes.Sender()
        self.events = fakes.Recorder()
        self.held = permit_task.PermitTask(
            typing.cast(typing.Any, self.sender),
            view,
            lambda: permit_task.Load({}, {}),
            lambda: None,
            self.events,
        )
        self.held.refresh()
        self.members = membership.Membership(
            'a',
            'x',
            typing.cast(typing.Any, self.sender),
            fakes.heartbeat,
            self.events,
        )
        self.lookups = control_view.ControlView(
            fakes.ME, 'x', view, self.held, self.members
        )
        self.observer = observer.PermitObserver(view, self.held)

    def offer(
        self,
        now: float,
        group: str = HERE,
        shares: dict[str, messages.Share] | None = None,
    ) -> None:
        """Let B offer a permit for the last request of a group."""
        upstream = 'u' if group == HERE else 'v'
        numbers = (0, 1) if group == HERE else (2, 3)
        entries = [
            messages.TableEntry('s', number, upstream, 1) for number in numbers
        ]
        table = self.held.groups[group].table
        offer = messages.PermitOffer(
            group,
            TERM,
            table.number,
            1000,
            1,
            0,
            entries,
            table.shares_version + 1,
            {'u': SHARE} if shares is None else shares,
        )
        self.held.take(now, fakes.received(B, offer))

    def route(self, now: float, low: bool) -> typing.Any:
        keys = (f'k{number}' for number in range(99))
        wanted = {'u': True, 'v': False}
        service = fakes.service()
        for key in keys:
            planned = self.lookups.planned_owner('s', service, key)
            if planned and wanted[planned] == low:
                return self.lookups.route(now, 's', key)
        raise AssertionError('no key found')

    def test_asks_electors_until_one_offers(self) -> None:
        """Guards against asking an instance that is no coordinator."""
        self.held.tick(0.0)
        self.assertEqual(self.sender.names(), ['b', 'c'] * 2)
        self.offer(0.01)
        self.sender.sent.clear()
        self.held.groups[HERE].next_request = 0.0
        self.held.request(0.3, HERE, self.held.groups[HERE])
        self.assertEqual(self.sender.names(), ['b'])

    def test_expired_permit_is_reported_once_and_searched(self) -> None:
        """Guards against waiting for a coordinator that is lost."""
        self.held.tick(0.0)
        self.offer(0.01)
        self.sender.sent.clear()
        self.held.tick(1.0)
        self.held.tick(1.01)
        self.assertEqual(self.events.names().count('permit_expired'), 1)
        self.assertIn('c', self.sender.names())

    def test_new_table_is_acknowledged_at_once(self) -> None:
        """Guards against moves that wait for the next period."""
        self.held.tick(0.0)
        self.sender.sent.clear()
        self.offer(0.01)
        request = self.sender.sent[0][1]
        self.assertEqual((request.term, request.table_version), (TERM, 1))

    def test_route_ends_with_the_permit(self) -> None:
        """Guards against the use of a permit after its deadline."""
        self.held.tick(0.0)
        self.offer(0.01)
        found = self.route(0.5, low=True)
        self.assertEqual(
            (found.upstream, found.token, found.deadline),
            ('u', ids.Token(TERM, 1), 1.0),
        )
        self.assertEqual(
            self.route(1.0, low=True), interfaces.NoRoute('no-permit')
        )

    def test_without_a_share_the_request_is_forwarded(self) -> None:
        """Guards against more connections than an upstream bears."""
        beat = fakes.heartbeat('y', '127.0.0.7')
        self.members.note_heartbeat(fakes.received(C, beat), 0.0)
        self.held.tick(0.0)
        self.offer(0.01, THERE, {})
        self.assertEqual(
            self.route(0.5, low=False),
            interfaces.Forward(
                (interfaces.Peer('c', interfaces.Address('127.0.0.7', 91)),)
            ),
        )

    def test_peer_that_is_not_ready_gets_no_forwards(self) -> None:
        """Guards against a 404 of an instance without configuration."""
        beat = fakes.heartbeat('y', ready=False)
        self.members.note_heartbeat(fakes.received(C, beat), 0.0)
        self.held.tick(0.0)
        self.offer(0.01, THERE, {})
        self.assertIsInstance(self.route(0.5, low=False), interfaces.NoRoute)

    def test_remote_keys_of_stay_services_are_forwarded(self) -> None:
        """Guards against refusing keys that another domain can serve."""
        self.members.note_heartbeat(
            fakes.received(C, fakes.heartbeat('y')), 0.0
        )
        self.assertIsInstance(self.route(0.5, low=False), interfaces.Forward)

    def test_share_ends_with_the_permit(self) -> None:
        """Guards against sending to an upstream beyond its limits."""
        now = time.monotonic()
        self.held.tick(now)
        self.offer(now)
        share = self.lookups.share('u')
        self.assertEqual(share, interfaces.Share(2, 10, 1, 1.0))
        with unittest.mock.patch.object(time, 'monotonic', lambda: now + 2):
            self.assertIsNone(self.lookups.share('u'))

    def test_request_in_progress_delays_the_acknowledgement(self) -> None:
        """Guards against a new owner beside work of the old one."""
        self.held.tick(0.0)
        self.offer(0.01)
        found = self.route(0.02, low=True)
        self.observer.request_sent('s', found, 5.0)
        table = self.held.groups[HERE].table
        entry = messages.TableEntry('s', found.slice, '', 0)
        table.take(
            0.1,
            messages.PermitOffer(
                HERE, TERM, table.number, 1000, 2, 1, [entry], 9, {}
            ),
        )
        self.assertLess(table.settled_version(0.2), 2)
        self.observer.request_answered('s', found, 5.0)
        self.assertEqual(table.settled_version(0.2), 2)

    def test_ready_after_all_groups_gave_permits(self) -> None:
        """Guards against callers at an instance that cannot send yet."""
        now = time.monotonic()
        self.held.tick(now)
        self.offer(now)
        self.assertFalse(self.held.ready(now))
        self.offer(now, THERE)
        self.assertTrue(self.held.ready(now))
        self.assertFalse(self.held.ready(now + 2.0))

    def test_partitioned_group_delays_readiness_only_for_a_while(
        self,
    ) -> None:
        """Guards against a minority side that serves nothing."""
        now = time.monotonic()
        self.held.tick(now)
        later = now + permit_task.WARM_UP_S + 1
        self.held.tick(later)
        self.offer(later)
        self.assertTrue(self.held.ready(later))
