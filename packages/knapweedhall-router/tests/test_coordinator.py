"""Tests of which ranges a coordinator reassigns."""

from __future__ import annotations

import asyncio
import json
import types
import typing
import unittest
from unittest import mock

import msgspec

from knapweedhall_adapter import errors
from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router.control import coordinator
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.control import service_state
from knapweedhall_router.links import messages
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings
from knapweedhall_routing import load
from knapweedhall_routing import model
from knapweedhall_routing import planning
from knapweedhall_routing import rates
from tests import fleet

ADDRESS = model.Address('127.0.0.1', 9)


class IncarnationTest(unittest.TestCase):
    """An upstream that was restarted under its name."""

    def test_late_grant_reaches_the_new_incarnation(self) -> None:
        """Guards against two owners of a key after an upstream restarted.

        A renewal for the old process may reach the new one, which has the
        same name and address. In the soak without the version check (seed
        2), a paused upstream executed such a grant after its keys had been
        reassigned under higher tokens.
        """
        state = state_module.State(fleet.Fleet().new_settings())
        term = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            state,
            clock.now() + 1.0,
        )
        now = clock.now()
        state.directory.put(
            model.Upstream('u', ADDRESS, 's', 'a', 4, False, 0.0, 2000), now
        )
        holding = holdings.Holding(
            0, 65535, 'u', ADDRESS, 1000, unanswered_until=now + 2.0
        )
        self.assertTrue(term._is_orphan(holding, now))
        self.assertFalse(holding.is_free(now))


class BeginningTermTest(unittest.IsolatedAsyncioTestCase):
    """A term that still waits for the store."""

    async def test_changes_for_instances_that_have_connected(self) -> None:
        """Guards against changes that an instance never learns.

        In the soak (seed 990086) an instance connected while a term began. A
        record that the coordinator read then was not relayed, and the instance
        relied on the relay from the first heartbeat on: 404 until the end.
        """
        state = state_module.State(fleet.Fleet().new_settings())
        term = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            state,
            clock.now() + 1.0,
        )

        async def wait(*arguments: object) -> None:
            await asyncio.Event().wait()

        with mock.patch.object(term.store, 'begin', wait):
            task = asyncio.create_task(term.run())
            await asyncio.sleep(0)
            link = mock.Mock(encode=messages.encode)
            term.links.active.add(link)
            state.feed.relay_changes('t', [outcomes.Record(7, 'k', b'v')])
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        expected = messages.Records('t', False, [(7, 'k', b'v')])
        link.send.assert_called_once_with(messages.encode(expected))
        self.assertIsNone(state.feed.relay)


class ConditionsTest(unittest.TestCase):
    """Conditions of upstreams that a term announces."""

    def test_reports_become_conditions(self) -> None:
        """Guards against an overload that no other instance learns of."""
        state = state_module.State(fleet.Fleet().new_settings())
        state.directory.put(
            model.Upstream('u', ADDRESS, 's', 'a', 4, False, 0.0, 1), 0.0
        )
        term = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            state,
            clock.now() + 1.0,
        )
        report = messages.Report(
            {}, {}, 1, 0.1, 3, loads={'u': load.Sample(1, 90, 9, 4, 100)}
        )
        term.record_report('i', report)
        # Instances are told once the term has measured the rate of responses.
        term.limits.counted_s = 100.0
        term.links.active.add(mock.Mock(instance='i'))
        first = term.make_heartbeat(1, [], [], True)
        self.assertEqual((b'', True), (first.conditions, first.all_conditions))
        # The connections of a former term have other numbers.
        for is_full, names in ((True, [(0, 'u')]), (False, [])):
            heartbeat = term.make_heartbeat(2, [], [], False)
            self.assertEqual(is_full, heartbeat.all_conditions)
            self.assertEqual(names, heartbeat.condition_names)
        # A fault here ended the term, so that grants expired.
        with mock.patch.object(term.limits, 'learn', side_effect=ValueError):
            heartbeat = term.make_heartbeat(3, [], [], False)
        self.assertEqual(b'', heartbeat.conditions)
        later = term.make_heartbeat(4, [], [], True)
        assert later.conditions is not None
        self.assertEqual([(0, 'u')], later.condition_names)
        told = messages.unpack_conditions(later.conditions, {0: 'u'}, 9.0)
        assert told['u'] is not None
        self.assertEqual((4.0, 9.0, 1), (*told['u'][:2], told['u'].users))


class StoredRecordsTest(unittest.TestCase):
    """The coordinator's records, as another writer may have left them."""

    def test_nested_records(self) -> None:
        """Guards against a record that ends the term of each coordinator.

        msgspec raises RecursionError for deep nesting.
        """
        for raw in (5000 * b'[', b'{"x":' + 5000 * b'[', b'[' + 5000 * b'['):
            with self.subTest(raw=raw[:9]):
                with self.assertRaises(errors.DecodeError):
                    coordinator_store.decode_term(raw)
                with self.assertRaises(errors.DecodeError):
                    coordinator_store.decode_assignment(raw)

    def test_impossible_holder(self) -> None:
        """Guards against a stored address that orders can't be sent to."""
        for row in (
            [0, 9, 'u', '10.0.0.1', 70000, 1],
            [0, 9, 'u', 70 * 'h', 80, 1],
            [0, 9, 'u', '10.0.0.1', 80, 2**70],
            [-1, 9, 'u', '10.0.0.1', 80, 1],
            [0, 65536, 'u', '10.0.0.1', 80, 1],
        ):
            with self.subTest(row=row):
                with self.assertRaises(errors.DecodeError):
                    coordinator_store.decode_assignment(
                        json.dumps([row]).encode()
                    )

    def test_own_records(self) -> None:
        """Guards against rejecting what a coordinator writes itself."""
        service_holdings = holdings.Holdings('s')
        service_holdings.split(100, 200).upstream = 'u'
        service_holdings.split(100, 200).address = model.Address(
            '10.0.0.1', 80
        )
        raw = msgspec.json.encode(service_holdings.to_stored())
        stored = coordinator_store.decode_assignment(raw)
        self.assertEqual(service_holdings.to_stored(), stored)


class UnforeseenErrorTest(unittest.TestCase):
    """A service whose plan fails in a way that nobody expected."""

    def test_other_services_are_planned(self) -> None:
        """Guards against a term that one service ends for all of them."""
        state = state_module.State(fleet.Fleet().new_settings())
        state.upstreams_listed = True
        now = clock.now()
        state.store_answered_at = now
        state.configure(
            model.Configuration(
                1,
                (),
                {
                    name: model.Service(name, True, 100, 1.0)
                    for name in ('odd', 's')
                },
                model.Limits(),
            )
        )
        current = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            state,
            now + 1.0,
        )
        planned: list[str] = []

        def plan(service: service_state.ServiceState, at: float) -> None:
            if service.holdings.service == 'odd':
                raise ZeroDivisionError
            planned.append(service.holdings.service)

        current._plan_service = plan  # type: ignore[method-assign]
        current._plan_all(now)
        self.assertEqual(['s'], planned)


class PauseTest(unittest.TestCase):
    """A release that a removed upstream did not confirm."""

    def setUp(self) -> None:
        """List one upstream; a removed one did not confirm a release."""
        self.state = state_module.State(fleet.Fleet().new_settings())
        self.coordinator = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            self.state,
            clock.now() + 1.0,
        )
        self.now = clock.now()
        self.state.directory.put(
            model.Upstream('v', ADDRESS, 's', 'a', 4, False, 0.0, 1), self.now
        )
        self.coordinator.mover.release_after['u'] = self.now + 1.0
        self.started_moves: list[planning.Move] = []
        self.coordinator._start_move = (  # type: ignore[method-assign]
            lambda service, move, now: self.started_moves.append(move)
        )

    def plan(self, held_until: float) -> list[planning.Move]:
        """Plan while the removed upstream holds all keys to `held_until`."""
        service = service_state.ServiceState('s')
        holding = service.holdings.items[0]
        holding.upstream, holding.held_until = 'u', held_until
        self.coordinator._plan_service(service, self.now)
        return self.started_moves

    def test_free_keys_do_not_wait_for_the_pause(self) -> None:
        """Guards against a delayed move of keys that nobody holds.

        The pause before the next release must not delay them.
        """
        self.assertNotEqual([], self.plan(self.now - 0.1))

    def test_held_keys_wait_for_the_pause(self) -> None:
        """Guards against a release in each plan to a silent upstream."""
        self.assertEqual([], self.plan(self.now + 2.0))


class HandoverTest(unittest.TestCase):
    """What a coordinator hands over after the store was restored."""

    def setUp(self) -> None:
        """Let a coordinator with a lease know an assignment."""
        self.coordinator = coordinator.Coordinator(
            typing.cast(typing.Any, types.SimpleNamespace(era=0)),
            typing.cast(typing.Any, None),
            state_module.State(fleet.Fleet().new_settings()),
            clock.now() + 60.0,
        )
        self.coordinator.store.epoch, self.coordinator.store.era = 7, 0
        self.stored = [holdings.StoredRange(0, 65535, 'u', '10.0.0.1', 80, 1)]
        self.coordinator.store.stored['s'] = self.stored

    def test_sole_coordinator(self) -> None:
        """Guards against keys without an owner for 9 s."""
        self.assertEqual(
            coordinator_store.Checkpoint(7, 1, {'s': self.stored}),
            self.coordinator.handover(1),
        )

    def test_expired_lease(self) -> None:
        """Guards against owners that a later coordinator has changed.

        The coordinator was paused or cut off from the store, or the store was
        away. It does not know whether another one began a term before the
        restore, and the store has lost its record.
        """
        self.coordinator.lease.expires_at = clock.now() - 0.01
        self.assertIsNone(self.coordinator.handover(1))

    def test_replaced_coordinator(self) -> None:
        """Guards against owners that a later coordinator has changed."""
        for name in ('deposed', 'fenced'):
            with self.subTest(name):
                self.setUp()
                if name == 'deposed':
                    self.coordinator.store.deposed = True
                else:
                    self.coordinator.sender.fenced = True
                self.assertIsNone(self.coordinator.handover(1))

    def test_term_of_the_same_era(self) -> None:
        """Guards against assignments that the store has in a newer form."""
        for era in (-1, 0):
            self.assertIsNone(self.coordinator.handover(era))

    def test_term_that_has_not_begun(self) -> None:
        """Guards against assignments of a term that read none."""
        self.coordinator.store.epoch = -1
        self.assertIsNone(self.coordinator.handover(1))


class AdoptTest(unittest.IsolatedAsyncioTestCase):
    """Assignments of the coordinator before the store was restored."""

    RAW = b'[[0,65535,"u","10.0.0.1",80,1]]'

    def setUp(self) -> None:
        """Let a coordinator wait, as it does not know the holder."""
        self.coordinator = coordinator.Coordinator(
            typing.cast(typing.Any, types.SimpleNamespace(era=1)),
            typing.cast(typing.Any, None),
            state_module.State(fleet.Fleet().new_settings()),
            clock.now() + 60.0,
        )
        self.holdings = holdings.Holdings('s')
        self.holdings.restore_unreadable(clock.now())
        service = service_state.ServiceState('s')
        service.holdings = self.holdings
        self.coordinator.services['s'] = service
        self.written: list[str] = []
        self.coordinator.store.adopt = (  # type: ignore[method-assign]
            self.write
        )

    async def write(
        self, service: str, stored: list[holdings.StoredRange]
    ) -> None:
        """Record that an assignment is written."""
        self.written.append(service)

    async def adopt(self, raw: bytes = RAW) -> str:
        """Get an assignment; return the holder of the first range."""
        await self.coordinator._adopt({'s': raw, 'unknown': self.RAW})
        return self.holdings.items[0].upstream

    async def test_unknown_holder(self) -> None:
        """Guards against keys without an owner for 9 s."""
        number = self.coordinator.tables()[0].number
        self.assertEqual('u', await self.adopt())
        self.assertEqual(['s'], self.written)
        self.assertTrue(self.holdings.items[0].inherited)
        # Instances ignore tables whose number they know.
        self.assertGreater(self.coordinator.tables()[0].number, number)

    async def test_assignment_of_the_present_era(self) -> None:
        """Guards against owners that changed after the restore."""
        self.coordinator.store.unreadable.add('s')
        self.assertEqual(holdings.UNKNOWN_HOLDER, await self.adopt())
        self.assertEqual([], self.written)

    async def test_keys_that_are_being_assigned(self) -> None:
        """Guards against two owners, as a move goes on with its range."""
        self.holdings.split(0, 3).moving = True
        self.assertEqual(holdings.UNKNOWN_HOLDER, await self.adopt())
        self.assertEqual([], self.written)

    async def test_keys_that_are_free(self) -> None:
        """Guards against two owners, as the keys are assigned now."""
        for holding in self.holdings.items:
            holding.held_until = holding.unanswered_until = clock.now()
        self.assertEqual(holdings.UNKNOWN_HOLDER, await self.adopt())

    async def test_assignment_that_began_during_the_write(self) -> None:
        """Guards against two owners after a slow write."""

        async def write(
            service: str, stored: list[holdings.StoredRange]
        ) -> None:
            self.holdings.split(0, 3).moving = True

        self.coordinator.store.adopt = write  # type: ignore[method-assign]
        self.assertEqual(holdings.UNKNOWN_HOLDER, await self.adopt())

    async def test_malformed_assignment(self) -> None:
        """Guards against a message that ends the term."""
        for raw in (b'', b'junk', b'[[0,65536,"u","10.0.0.1",80,1]]'):
            self.assertEqual(holdings.UNKNOWN_HOLDER, await self.adopt(raw))
        self.assertEqual([], self.written)


class NewTermTest(unittest.TestCase):
    """Plans before the load was measured in the current term."""

    def setUp(self) -> None:
        """Let an upstream hold nearly all keys, as the others are hot."""
        self.state = state_module.State(fleet.Fleet().new_settings())
        self.coordinator = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            self.state,
            clock.now() + 1.0,
        )
        self.now = clock.now()
        self.service = service_state.ServiceState('s')
        self.coordinator.services['s'] = self.service
        for name in ('u', 'v'):
            self.state.directory.put(
                model.Upstream(name, ADDRESS, 's', 'a', 4, False, 0.0, 1),
                self.now,
            )
        hot = self.service.holdings.split(0, 3)
        for holding in self.service.holdings.items:
            holding.upstream = 'v' if holding is hot else 'u'
            holding.born_ms, holding.confirmed = 1, True
            holding.held_until = self.now + 60.0
        self.started_moves: list[planning.Move] = []
        self.coordinator._start_move = (  # type: ignore[method-assign]
            lambda service, move, now: self.started_moves.append(move)
        )

    def report(self, bucket: int, count: int) -> None:
        """Record an instance's report of requests for keys."""
        self.coordinator.record_report(
            'router-1',
            messages.Report({'s': {bucket: count}}, {}, 0, 0.0, 1, [], {}),
        )

    def test_moves_nothing_before_the_load_is_known(self) -> None:
        """Guards against moves that each change of the coordinator causes.

        Without reports a service counts as idle, and the keys of an idle one
        are distributed evenly. The instances are not yet connected, so they
        go on sending requests to the former owners.
        """
        self.coordinator._plan_service(self.service, self.now)
        self.assertEqual([], self.started_moves)
        self.report(0, 40)
        self.coordinator._plan_service(self.service, clock.now())
        self.assertEqual([], self.started_moves)

    def test_moves_by_the_load_once_it_is_known(self) -> None:
        """Guards against keys that are never rebalanced."""
        for bucket in (1000, 2000, 3000):
            self.report(bucket, 90)
        measured_at = clock.now() + rates.SLOW_TIME_CONSTANT_S
        self.coordinator._plan_service(self.service, measured_at)
        self.assertNotEqual([], self.started_moves)
