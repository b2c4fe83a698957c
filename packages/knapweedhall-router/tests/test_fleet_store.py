"""Tests of who reads the store and who coordinates, with whole routers."""

from __future__ import annotations

import asyncio
import time
import unittest

import aiohttp

from knapweedhall_router import application
from tests import fleet
from tests import fleet_case


class WeakTest(unittest.IsolatedAsyncioTestCase):
    """Instances with a small link."""

    async def test_weak_instance_coordinates_only_alone(self) -> None:
        """Guards against a coordinator whose link is full for seconds."""
        found = fleet.Fleet()
        self.addAsyncCleanup(found.stop)
        await found.store.start()
        found.session = aiohttp.ClientSession()
        await found.add_backend('views', True)
        await found.add_backend('orders', False)
        found.configure()
        weak = found.start_router(found.new_settings()._replace(link_mbps=5.0))
        await asyncio.sleep(1.0)
        strong = found.add_router()
        await found.until(found.is_serving)
        holder = found.store.groups['knapweedhall'].holder
        self.assertTrue(holder.startswith(f'{strong.settings.name}@'))
        await found.kill(strong)
        await found.until(
            lambda: found.store.groups['knapweedhall'].holder.startswith(
                f'{weak.settings.name}@'
            ),
            8.0,
        )


class FeedTest(fleet_case.FleetTest):
    """Records that the coordinator reads for all."""

    routers = 5

    async def test_one_instance_reads(self) -> None:
        """Guards against calls of the store that grow with the fleet.

        The coordinator reads two topics 2.5 times a second; five instances
        that read by themselves made 10 reads a second.
        """
        await asyncio.sleep(1.0)
        before = self.fleet.store.calls['/log-read']
        await asyncio.sleep(2.0)
        reads = self.fleet.store.calls['/log-read'] - before
        self.assertLessEqual(reads, 12)

    async def test_changes_reach_all_instances(self) -> None:
        """Guards against an instance that is left with an old list."""
        await asyncio.sleep(1.0)
        added = await self.fleet.add_backend('orders', False)
        gone = self.fleet.backends[-2]
        self.fleet.store.put('keyed.servers', gone.name, None)
        self.fleet.configure([self.fleet.route('n', '/n/', 'safe', 'orders')])

        def know(router: application.Application) -> bool:
            known = router.state.directory.entries
            configuration = router.state.configuration
            assert configuration is not None
            return (
                added.name in known
                and gone.name not in known
                and configuration.version == self.fleet.version
            )

        await self.fleet.until(
            lambda: all(know(router) for router in self.fleet.routers), 1.0
        )

    async def test_lost_coordinator_hides_no_drain(self) -> None:
        """Guards against an instance that relies on a silent coordinator.

        An upstream gets nothing later than 2 s after it announced that it
        leaves, also if the coordinator ends at the same moment.
        """
        await asyncio.sleep(1.0)
        leaving = self.fleet.backends[-1]
        await self.fleet.kill(self.leader())
        leaving.drain()
        left_at = time.monotonic()
        while time.monotonic() < left_at + 3.0:
            for router in self.fleet.routers:
                await self.fleet.ask(router, '/order/1', body=b'{}')
        late = [run for run in leaving.runs if run.started_at > left_at + 2.0]
        self.assertEqual([], late)
