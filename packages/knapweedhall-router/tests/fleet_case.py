"""Base of the tests of whole routers."""

from __future__ import annotations

import json
import unittest

from knapweedhall_router import application
from tests import fleet


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Base of the tests."""

    routers = 2

    async def asyncSetUp(self) -> None:
        """Start a fleet."""
        self.fleet = fleet.Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(self.routers)

    def statuses(self, replies: list[fleet.Reply]) -> dict[int, int]:
        """Return how often each status came."""
        found: dict[int, int] = {}
        for reply in replies:
            found[reply.status] = found.get(reply.status, 0) + 1
        return found

    def leader(self) -> application.Application:
        """Return the router that coordinates."""
        holder = self.fleet.store.groups['knapweedhall'].holder
        return next(
            one
            for one in self.fleet.routers
            if holder.startswith(f'{one.settings.name}@')
        )

    def assert_one_owner(self) -> None:
        """Check that no key has two holders."""
        for key in range(0, 65536, 64):
            holders = [one for one in self.fleet.backends if one.holds(key)]
            self.assertLessEqual(len(holders), 1, key)

    def has_recorded(self, routers: list[application.Application]) -> bool:
        """Return whether the store names the instances of the fleet."""
        newest = self.fleet.store.partition('keyed.knapweedhall').newest
        record = newest.get('tenure')
        if record is None:
            return False
        named = json.loads(record.value)['fleet']
        return named == sorted(one.settings.name for one in routers)

    def is_spread(self, without: int) -> bool:
        """Return whether the first upstreams own nothing."""
        gone = {one.name for one in self.fleet.backends[:without]}
        table = self.fleet.routers[0].state.owner_table('views')
        return not gone & {row.upstream for row in table.owned_ranges}
