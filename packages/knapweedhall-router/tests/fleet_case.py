"""Base class for tests with whole routers."""

from __future__ import annotations

import json
import unittest

from knapweedhall_router import application
from tests import fleet


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet before each test and stops it afterwards."""

    routers = 2

    async def asyncSetUp(self) -> None:
        """Start a fleet."""
        self.fleet = fleet.Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(self.routers)

    def statuses(self, replies: list[fleet.Reply]) -> dict[int, int]:
        """Return the number of replies by status."""
        counts: dict[int, int] = {}
        for reply in replies:
            counts[reply.status] = counts.get(reply.status, 0) + 1
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
