"""Tests of reads of the store and of the election, with whole routers."""

from __future__ import annotations

import asyncio
import time
import unittest

import aiohttp

from knapweedhall_router import application
from tests import fleet
from tests import fleet_case


class SmallInstanceTest(unittest.IsolatedAsyncioTestCase):
    """Instances with a slow network link."""

    async def test_small_instance_coordinates_only_alone(self) -> None:
        """Guards against a coordinator whose network link is overloaded."""
        running = fleet.Fleet()
        self.addAsyncCleanup(running.stop)
        await running.store.start()
        running.session = aiohttp.ClientSession()
        await running.add_upstream('views', True)
        await running.add_upstream('orders', False)
        running.configure()
        small = running.start_router(
            running.new_settings()._replace(link_mbps=5.0)
        )
        await asyncio.sleep(1.0)
        large = running.add_router()
        await running.wait_until(running.is_serving)
        holder = running.store.groups['knapweedhall'].holder
        self.assertTrue(holder.startswith(f'{large.settings.name}@'))
        await running.kill(large)
        await running.wait_until(
            lambda: running.store.groups['knapweedhall'].holder.startswith(
                f'{small.settings.name}@'
            ),
            8.0,
        )


class FeedTest(fleet_case.FleetTest):
    """Records that the coordinator reads and relays."""

    routers = 5

    async def test_only_the_coordinator_reads(self) -> None:
        """Guards against calls to the store that grow with the fleet.

        The coordinator reads two topics 2.5 times per second each. Five
        instances that read on their own made 10 reads per second.
        """
        await asyncio.sleep(1.0)
        before = self.fleet.store.calls['/log-read']
        await asyncio.sleep(2.0)
        reads = self.fleet.store.calls['/log-read'] - before
        self.assertLessEqual(reads, 12)

    async def test_changes_reach_all_instances(self) -> None:
        """Guards against an instance with an outdated list of upstreams."""
        await asyncio.sleep(1.0)
        added = await self.fleet.add_upstream('orders', False)
        removed = self.fleet.upstreams[-2]
        self.fleet.store.put('keyed.servers', removed.name, None)
        self.fleet.configure([self.fleet.route('n', '/n/', 'safe', 'orders')])

        def is_current(router: application.Application) -> bool:
            entries = router.state.directory.entries
            configuration = router.state.configuration
            assert configuration is not None
            return (
                added.name in entries
                and removed.name not in entries
                and configuration.version == self.fleet.version
            )

        await self.fleet.wait_until(
            lambda: all(is_current(router) for router in self.fleet.routers),
            1.0,
        )

    async def test_lost_coordinator_hides_no_drain(self) -> None:
        """Guards against an instance that relies on an ended coordinator.

        An upstream gets no requests later than 2 s after it announced that
        it is draining, even if the coordinator ends at the same time.
        """
        await asyncio.sleep(1.0)
        leaving = self.fleet.upstreams[-1]
        await self.fleet.kill(self.coordinator())
        leaving.drain()
        drained_at = time.monotonic()
        while time.monotonic() < drained_at + 3.0:
            for router in self.fleet.routers:
                await self.fleet.send_request(router, '/order/1', body=b'{}')
        late = [
            run for run in leaving.runs if run.started_at > drained_at + 2.0
        ]
        self.assertEqual([], late)
