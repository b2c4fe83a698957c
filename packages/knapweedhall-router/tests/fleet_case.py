"""Base class for tests with whole routers."""

from __future__ import annotations

import asyncio
import json
import time
import unittest

from knapweedhall_router import application
from knapweedhall_standins import processor
from tests import fleet

WATCH_PERIOD_S = 0.05
# Grants last 2.5 s and calls time out after 0.3 s to 0.6 s, so a standstill of
# the event loop of this length may be why a test failed.
MIN_STANDSTILL_S = 0.5


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet before each test and stops it afterwards."""

    routers = 2

    async def asyncSetUp(self) -> None:
        """Start a fleet."""
        watching = asyncio.create_task(self._print_standstills())
        self.addCleanup(watching.cancel)
        self.fleet = fleet.Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(self.routers)

    async def _print_standstills(self) -> None:
        """Print when the event loop stood still, until cancelled."""
        while True:
            begun_at, waited_s = time.monotonic(), processor.wait_s()
            await asyncio.sleep(WATCH_PERIOD_S)
            length_s = time.monotonic() - begun_at
            waited_s = processor.wait_s() - waited_s
            if length_s > MIN_STANDSTILL_S:
                print(
                    f'{self.id()}: stood still for {length_s:.2f} s, '
                    f'{waited_s:.2f} s of it without a processor',
                    flush=True,
                )

    def statuses(self, responses: list[fleet.Response]) -> dict[int, int]:
        """Return the number of responses by status."""
        counts: dict[int, int] = {}
        for response in responses:
            counts[response.status] = counts.get(response.status, 0) + 1
        return counts

    def coordinator(self) -> application.Application:
        """Return the router that is the coordinator."""
        holder = self.fleet.store.groups['knapweedhall'].holder
        return next(
            router
            for router in self.fleet.routers
            if holder.startswith(f'{router.settings.name}@')
        )

    def assert_one_owner(self) -> None:
        """Check that no key is held by two upstreams."""
        for key in range(0, 65536, 64):
            holders = [
                upstream
                for upstream in self.fleet.upstreams
                if upstream.holds(key)
            ]
            self.assertLessEqual(len(holders), 1, key)

    def has_recorded(self, routers: list[application.Application]) -> bool:
        """Return whether the record of the term names these routers."""
        newest = self.fleet.store.partition('keyed.knapweedhall').newest
        record = newest.get('tenure')
        if record is None:
            return False
        instances = json.loads(record.value)['fleet']
        return instances == sorted(router.settings.name for router in routers)

    def have_no_keys(self, count: int) -> bool:
        """Return whether the first `count` upstreams own no keys."""
        excluded = {upstream.name for upstream in self.fleet.upstreams[:count]}
        table = self.fleet.routers[0].state.owner_table('views')
        return not excluded & {
            owned_range.upstream for owned_range in table.owned_ranges
        }
