"""Tests of the assignments with which a term begins after a restore."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from knapweedhall_adapter import store as store_client
from knapweedhall_router.control import coordinator_store
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_standins import store
from tests import fleet

SERVICE = 'views'


class CheckpointTest(unittest.IsolatedAsyncioTestCase):
    """A coordinator whose last assignment is not in the restored store."""

    async def asyncSetUp(self) -> None:
        """Write an assignment that the copy has, and one that it lacks."""
        self.store = store.Store()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.settings = fleet.Fleet().new_settings()
        first = await self.begin(None)
        await self.write(first, 'up-1')
        copied = self.store.partitions[coordinator_store.TOPIC]
        self.copied_at = copied.listings[-1].valid_from
        await self.write(first, 'up-2')
        self.epoch = first.epoch
        self.checkpoint = first.checkpoint()._replace(era=1)

    async def begin(
        self, checkpoint: coordinator_store.Checkpoint | None
    ) -> coordinator_store.CoordinatorStore:
        """Begin a term with a client of its own."""
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        client = store_client.StoreClient(session, self.store.address)
        begun = coordinator_store.CoordinatorStore(client, self.settings)
        self.assignments = await begun.begin(checkpoint)
        return begun

    async def write(
        self, term: coordinator_store.CoordinatorStore, owner: str
    ) -> None:
        """Write an assignment of all keys to an owner."""
        assigned = holdings.Holdings(SERVICE)
        assigned.items[0].upstream = owner
        assigned.items[0].address = model.Address('127.0.0.1', 7)
        await term.write_assignment(assigned)

    def restore(self) -> None:
        """Return the store to the copy."""
        self.store.era += 1
        for partition in self.store.partitions.values():
            partition.restore(self.copied_at)

    def owner(self) -> str:
        """Return the owner with which the last term began; '' if unknown."""
        stored = self.assignments.get(SERVICE)
        return stored[0].upstream if stored else ''

    async def test_own_assignment(self) -> None:
        """Guards against the owner that the copy names."""
        self.restore()
        begun = await self.begin(self.checkpoint)
        self.assertEqual('up-2', self.owner())
        self.assertGreater(begun.epoch, self.epoch)
        # It is written again.
        await self.begin(None)
        self.assertEqual('up-2', self.owner())

    async def test_without_a_checkpoint(self) -> None:
        """Guards against the owner that the copy names, as nobody knows."""
        self.restore()
        begun = await self.begin(None)
        self.assertEqual('', self.owner())
        self.assertFalse(begun.knows_predecessors)
        # Nor does the next term take it for true.
        await self.begin(None)
        self.assertEqual('', self.owner())

    async def test_assignment_of_the_former_coordinator(self) -> None:
        """Guards against keys that wait again in the next term."""
        self.restore()
        begun = await self.begin(None)
        self.assertEqual('', self.owner())
        await begun.adopt(SERVICE, self.checkpoint.assignments[SERVICE])
        await self.begin(None)
        self.assertEqual('up-2', self.owner())

    async def test_former_assignment_after_another_term(self) -> None:
        """Guards against owners that another coordinator may have changed.

        Two coordinators get the assignments of the one before the restore.
        """
        self.restore()
        begun = await self.begin(None)
        later = await self.begin(None)
        handed_over = self.checkpoint.assignments[SERVICE]
        with self.assertRaises(coordinator_store.DeposedError):
            await begun.adopt(SERVICE, handed_over)
        await later.adopt(SERVICE, handed_over)
        await self.write(later, 'up-3')
        await self.begin(None)
        self.assertEqual('up-3', self.owner())

    async def test_unreadable_assignment_of_the_present_era(self) -> None:
        """Guards against owners that changed after the restore."""
        self.restore()
        key = coordinator_store.TABLE_PREFIX + SERVICE
        self.assertEqual(set(), (await self.begin(None)).unreadable)
        self.store.put(coordinator_store.TOPIC, key, 'junk')
        self.assertEqual({SERVICE}, (await self.begin(None)).unreadable)

    async def test_another_term_began_first(self) -> None:
        """Guards against owners that another coordinator may have changed."""
        self.restore()
        await self.begin(None)
        await self.begin(self.checkpoint)
        self.assertEqual('', self.owner())

    async def test_store_that_was_restored_again(self) -> None:
        """Guards against owners of a term that the store lost as well."""
        self.restore()
        await self.write(await self.begin(self.checkpoint), 'up-3')
        self.restore()
        await self.begin(self.checkpoint)
        self.assertEqual('', self.owner())

    async def test_later_term_in_the_copy(self) -> None:
        """Guards against owners that a later coordinator had changed."""
        later = await self.begin(None)
        await self.write(later, 'up-3')
        copied = self.store.partitions[coordinator_store.TOPIC]
        self.copied_at = copied.listings[-1].valid_from
        self.restore()
        await self.begin(self.checkpoint)
        self.assertEqual('', self.owner())

    async def test_lost_answer_to_the_first_record(self) -> None:
        """Guards against keys without an owner for 9 s.

        The record whose answer was lost was taken for that of another
        coordinator, and the own assignments were dropped.
        """
        self.restore()
        self.store.faults.lose_answers = 1
        await self.begin(self.checkpoint)
        self.assertEqual(0, self.store.faults.lose_answers)
        self.assertEqual('up-2', self.owner())

    async def test_another_term_after_a_lost_answer(self) -> None:
        """Guards against owners that another coordinator may have changed."""
        self.restore()
        self.store.faults.lose_answers = 1
        lost = asyncio.create_task(self.begin(self.checkpoint))
        while self.store.faults.lose_answers:
            await asyncio.sleep(0.001)
        await self.begin(None)
        await lost
        self.assertEqual('', self.owner())
