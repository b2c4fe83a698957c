"""Tests of background tasks that fail on something unforeseen."""

from __future__ import annotations

import asyncio
import typing
import unittest
from unittest import mock

from knapweedhall_adapter import decoding
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import messages
from knapweedhall_router import tasks
from knapweedhall_routing import model
from tests import fleet_case

ODD = 'i-odd'


class SuperviseTest(unittest.IsolatedAsyncioTestCase):
    """A task that fails."""

    async def test_failed_task_starts_again(self) -> None:
        """Guards against a process that ends because one task failed."""
        runs = []

        async def work() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise ZeroDivisionError
            await asyncio.Event().wait()

        with mock.patch.object(tasks, 'RESTART_PAUSE_S', 0.01):
            task = asyncio.create_task(tasks.supervise('test', work))
            await asyncio.sleep(0.2)
        self.assertEqual(3, len(runs))
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class UnforeseenErrorTest(fleet_case.FleetTest):
    """Inputs on which a task fails in a way that nobody expected."""

    def assert_running(self) -> None:
        """Check that no router stops."""
        for router in self.fleet.routers:
            self.assertFalse(router.stop.is_set())

    async def test_record(self) -> None:
        """Guards against one record that ends all instances.

        The store keeps it, so that it would end them after each start.
        """
        decode = decoding.decode_upstream

        def fail(name: str, raw: bytes, now: float) -> model.Upstream:
            if name == ODD:
                raise ZeroDivisionError
            return decode(name, raw, now)

        with mock.patch.object(decoding, 'decode_upstream', fail):
            partition = self.fleet.store.partition('keyed.servers')
            partition.append(ODD, b'{}')
            added = await self.fleet.add_upstream('orders', False)
            await self.fleet.wait_until(
                lambda: all(
                    added.name in router.state.directory.entries
                    for router in self.fleet.routers
                )
            )
        self.assert_running()

    async def test_message(self) -> None:
        """Guards against one message that ends the link to the coordinator."""
        apply = coordinator_link.CoordinatorLink.apply
        failed = []

        def fail(
            link: coordinator_link.CoordinatorLink, message: messages.Message
        ) -> None:
            is_heartbeat = isinstance(message, messages.Heartbeat)
            if is_heartbeat and len(failed) < len(self.fleet.routers):
                failed.append(link)
                raise ZeroDivisionError
            apply(link, message)

        with mock.patch.object(
            coordinator_link.CoordinatorLink, 'apply', fail
        ):
            await self.fleet.wait_until(
                lambda: len(failed) == len(self.fleet.routers)
            )
            await asyncio.sleep(0.1)
            await self.fleet.wait_until(self.are_linked)
        self.assert_running()

    def are_linked(self) -> bool:
        """Return whether all routers are linked to the coordinator."""
        return all(
            typing.cast(typing.Any, router.member).link.connected
            for router in self.fleet.routers
        )

    async def test_lost_batch_is_read_again(self) -> None:
        """Guards against records that are lost with a task that failed."""
        router = self.fleet.routers[0]
        feed = router.state.feed
        cache = feed.cache_records
        failed: list[str] = []

        def fail(topic: str, *arguments: typing.Any) -> None:
            if topic == 'keyed.servers' and not failed:
                failed.append(topic)
                raise ZeroDivisionError
            cache(topic, *arguments)

        with mock.patch.object(feed, 'cache_records', fail):
            added = await self.fleet.add_upstream('orders', False)
            await self.fleet.wait_until(
                lambda: bool(failed)
                and added.name in feed.newest['keyed.servers']
            )
        self.assert_running()
