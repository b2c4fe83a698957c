"""Tests of when an instance begins and ends a term."""

from __future__ import annotations

import asyncio
import typing
import unittest
from unittest import mock

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router.control import coordinator
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.control import lease
from knapweedhall_router.control import membership
from knapweedhall_router.links import coordinator_link
from knapweedhall_router import state as state_module
from tests import fleet

# How long an instance is connected to a coordinator.
CONNECTION_S = 0.5


class _Store:
    """Test double of the store client; all joins have one outcome."""

    def __init__(self) -> None:
        self.outcome: outcomes.JoinOutcome = outcomes.Joined(1, True)
        self.era = 0

    async def join(self, *call: typing.Any) -> outcomes.JoinOutcome:
        """Return the outcome."""
        return self.outcome


class _Coordinator:
    """Test double of a coordinator."""

    def __init__(
        self,
        client: _Store,
        order_client: object,
        state: state_module.State,
        lease_expires_at: float,
        checkpoint: object,
        links: object = None,
        load: object = None,
        former: str = '',
    ) -> None:
        self.lease = lease.Lease(state, lease_expires_at)
        self.initial_checkpoint = checkpoint
        self.links = links or object()
        self.load = load or object()
        self.keeps_links = False
        self.close_links = mock.Mock()
        self.store = mock.Mock(epoch=7, era=client.era)
        self.may_end = asyncio.Event()
        self.may_end.set()

    def must_stop(self) -> bool:
        """Return whether no more orders may be sent."""
        return False

    def handover(self, era: int) -> coordinator_store.Checkpoint | None:
        """Return what a coordinator in a later era gets."""
        if era <= self.store.era:
            return None
        return coordinator_store.Checkpoint(self.store.epoch, era, {})

    def checkpoint(self) -> str:
        """Return what is known without the store."""
        return f'term {self.store.epoch}'

    async def run(self) -> None:
        """Coordinate until cancelled."""
        try:
            await asyncio.Event().wait()
        finally:
            await self.may_end.wait()


class SmallInstanceTest(unittest.IsolatedAsyncioTestCase):
    """An instance with few resources, which coordinates only alone."""

    async def test_connection_that_ends_between_two_polls(self) -> None:
        """Guards against small coordinators though a larger one was there.

        The membership looked at the connection once per call to the store,
        which takes long over a full link, and missed one of half a second.
        """
        state = state_module.State(fleet.Fleet().new_settings())
        client = typing.cast(typing.Any, _Store())
        link = coordinator_link.CoordinatorLink(client, state)
        member = membership.Membership(
            client, typing.cast(typing.Any, None), state, link
        )
        member.is_small = True
        begun_at = clock.now()
        ended = asyncio.Event()

        async def run_connection(*arguments: object) -> None:
            link.connected = True
            await asyncio.sleep(CONNECTION_S)
            ended.set()
            raise ConnectionError

        with (
            mock.patch.object(link, '_find_coordinator', self.find),
            mock.patch.object(link, '_run_connection', run_connection),
        ):
            running = asyncio.create_task(link.run())
            self.addCleanup(running.cancel)
            await ended.wait()
            await asyncio.sleep(0)
        delay_s = membership.SMALL_INSTANCE_DELAY_S
        self.assertFalse(member._is_candidate(begun_at + delay_s + 0.1))
        self.assertTrue(
            member._is_candidate(begun_at + CONNECTION_S + delay_s + 0.1)
        )

    async def find(self) -> str:
        """Return the member ID of a coordinator."""
        return 'large@127.0.0.1:1'


class TermTest(unittest.IsolatedAsyncioTestCase):
    """The store assigns the partition to this instance in each join."""

    async def asyncSetUp(self) -> None:
        """Begin a term."""
        patch = mock.patch.object(coordinator, 'Coordinator', _Coordinator)
        patch.start()
        self.addCleanup(patch.stop)
        state = state_module.State(fleet.Fleet().new_settings())
        self.store = _Store()
        client = typing.cast(typing.Any, self.store)
        self.membership = membership.Membership(
            client,
            typing.cast(typing.Any, None),
            state,
            coordinator_link.CoordinatorLink(client, state),
        )
        await self.membership._join(clock.now())
        self.coordinator = self.membership.coordinator
        self.addAsyncCleanup(self.membership.end)

    async def test_term_continues_within_its_lease(self) -> None:
        """Guards against a new term at each join."""
        await self.membership._join(clock.now())
        self.assertIs(self.coordinator, self.membership.coordinator)

    async def test_term_ends_with_its_lease(self) -> None:
        """Guards against tokens below those of a coordinator in between.

        In an incident at the first site, a coordinator lost its connections
        together with its failure domain for 6 s. Another instance granted
        keys, then the store named the first one again, which sent grants
        under its old, lower tokens.
        """
        assert self.coordinator is not None
        self.coordinator.lease.expires_at = clock.now() - 0.1
        await self.membership._join(clock.now())
        self.assertIsNotNone(self.membership.coordinator)
        self.assertIsNot(self.coordinator, self.membership.coordinator)
        former = typing.cast(_Coordinator, self.coordinator)
        begun = typing.cast(_Coordinator, self.membership.coordinator)
        self.assertIsNot(former.links, begun.links)
        self.assertIsNot(former.load, begun.load)

    async def restore(self) -> None:
        """Restore the store, so that the next join counts as unanswered."""
        self.store.era = 1
        joined, self.store.outcome = self.store.outcome, store.RESTORED
        await self.membership._join(clock.now())
        self.store.outcome = joined

    async def test_term_ends_with_the_era(self) -> None:
        """Guards against writes at offsets that are given out again."""
        await self.restore()
        await self.membership._join(clock.now())
        begun = typing.cast(_Coordinator, self.membership.coordinator)
        self.assertIsNot(self.coordinator, begun)
        self.assertEqual('term 7', begun.initial_checkpoint)
        former = typing.cast(_Coordinator, self.coordinator)
        self.assertIs(former.links, begun.links)
        # Instances that stay connected do not send their recent counts.
        self.assertIs(former.load, begun.load)
        await self.membership._join(clock.now())
        self.assertIs(begun, self.membership.coordinator)

    async def test_only_the_coordinator_joins_at_once(self) -> None:
        """Guards against keys without an owner for 9 s after a restore.

        The store may name the first member that joins as the coordinator, and
        only the former one knows the assignments that the copy lacks.
        """
        client = typing.cast(typing.Any, self.membership.client)
        signal = self.membership.link.status_changed
        woken = asyncio.create_task(signal.wait(1.0))
        await asyncio.sleep(0)
        client.on_restored()
        self.assertTrue(await woken)
        await self.membership.end()
        woken = asyncio.create_task(signal.wait(0.05))
        await asyncio.sleep(0)
        client.on_restored()
        self.assertFalse(await woken)

    async def test_assignments_are_dropped_with_the_term(self) -> None:
        """Guards against assignments that another coordinator changed."""
        await self.restore()
        self.store.outcome = outcomes.Joined(1, False)
        await self.membership._join(clock.now())
        self.store.outcome = outcomes.Joined(2, True)
        await self.membership._join(clock.now())
        begun = typing.cast(_Coordinator, self.membership.coordinator)
        self.assertIsNone(begun.initial_checkpoint)

    async def test_handover_after_the_term_has_ended(self) -> None:
        """Guards against assignments that are lost with their term.

        The former coordinator may learn from the store that it is replaced,
        before its successor asks. The first answer may be lost.
        """
        await self.restore()
        self.store.outcome = outcomes.Joined(1, False)
        await self.membership._join(clock.now())
        self.assertIsNone(self.membership.coordinator)
        kept = coordinator_store.Checkpoint(7, 1, {})
        for _ in range(2):
            self.assertEqual(kept, await self.membership.step_down(9, 1))
        # A coordinator in the era between them may have changed owners.
        self.assertIsNone(await self.membership.step_down(12, 2))
        self.assertIsNone(await self.membership.step_down(12, -1))

    async def test_handover_before_the_restore_is_known(self) -> None:
        """Guards against a term that ends for a successor in vain."""
        kept = coordinator_store.Checkpoint(7, 1, {})
        self.assertEqual(kept, await self.membership.step_down(9, 1))
        self.assertIsNone(self.membership.coordinator)

    async def test_no_handover_within_an_era(self) -> None:
        """Guards against assignments that the store has in a newer form."""
        self.assertIsNone(await self.membership.step_down(9, 0))
        self.assertIsNone(self.membership.coordinator)

    async def test_no_handover_after_a_term_of_the_era(self) -> None:
        """Guards against assignments that the own next term changed."""
        await self.restore()
        await self.membership._join(clock.now())
        self.assertIsNotNone(self.membership.coordinator)
        self.assertIsNone(await self.membership.step_down(9, 1))

    async def test_cancelled_while_the_next_term_takes_the_links(self) -> None:
        """Guards against instances that stay connected to a stopped one."""
        former = typing.cast(_Coordinator, self.coordinator)
        former.may_end.clear()
        await self.restore()
        joining = asyncio.create_task(self.membership._join(clock.now()))
        async with asyncio.timeout(1.0):
            while self.membership.coordinator is not None:
                await asyncio.sleep(0)
        joining.cancel()
        await asyncio.wait((joining,))
        former.may_end.set()
        former.close_links.assert_called_once_with()

    async def test_cancelled_while_its_term_ends(self) -> None:
        """Guards against a stop that waits for a cancelled task for ever."""
        assert self.coordinator is not None
        may_end = typing.cast(_Coordinator, self.coordinator).may_end
        may_end.clear()
        self.store.outcome = outcomes.Joined(1, False)
        running = asyncio.create_task(self.membership.run())
        async with asyncio.timeout(1.0):
            while self.membership.coordinator is not None:
                await asyncio.sleep(0)
        running.cancel()
        await asyncio.sleep(0)
        may_end.set()
        await asyncio.wait((running,), timeout=1.0)
        self.assertTrue(running.cancelled())
