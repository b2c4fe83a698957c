"""Tests of the quotas of workspaces with whole routers."""

from __future__ import annotations

import asyncio
from unittest import mock

from knapweedhall_router import application
from knapweedhall_routing import model
from tests import fleet
from tests import fleet_case

WINDOW_S = 5.0
# An eighth of it is longer than the steps of a busy event loop.
OBJECTIVE_S = 2.0
QUIET = model.Workspace('quiet', ('k1',), None, 20.0, 20.0)
BUSY = model.Workspace('busy', ('k2',), None, 20.0, 10.0)


def allowed(workspace: model.Workspace) -> float:
    """Return how many requests may run in any window."""
    limit = workspace.rate_per_s * WINDOW_S + workspace.burst
    return limit * 1.1 + 20


class QuotaTest(fleet_case.FleetTest):
    """Two routers, a workspace within its quota and one above."""

    async def asyncSetUp(self) -> None:
        """Start a fleet in which each instance knows its share."""
        await super().asyncSetUp()
        self.results: dict[str, list[fleet.Response]] = {}
        self.configure(BUSY)
        await self.fleet.wait_until(
            lambda: all(
                router.state.tokens.leases.sharers == self.routers
                for router in self.fleet.routers
            )
        )
        # The buckets of a term are empty at first.
        await asyncio.sleep(0.5)

    def configure(self, busy: model.Workspace) -> None:
        """Put quotas in force at all routers."""
        for router in self.fleet.routers:
            known = router.state.configuration
            assert known is not None
            new = known._replace(
                version=known.version + 100,
                routes=tuple(
                    route._replace(objective_s=OBJECTIVE_S)
                    for route in known.routes
                ),
                workspaces=(QUIET, busy),
            )
            self.assertTrue(router.state.configure(new))

    async def send(
        self, key: str, routers: list[application.Application], period_s: float
    ) -> None:
        """Send requests to routers in turn, until cancelled."""
        results = self.results.setdefault(key, [])

        async def send_one(router: application.Application) -> None:
            results.append(
                await self.fleet.send_request(
                    router,
                    '/order/x',
                    fields={'Authorization': f'Bearer {key}'},
                )
            )

        async with asyncio.TaskGroup() as group:
            while True:
                for router in routers:
                    if router in self.fleet.routers:
                        group.create_task(send_one(router))
                    await asyncio.sleep(period_s)

    def start(
        self, key: str, routers: list[application.Application], period_s: float
    ) -> None:
        """Send requests until the end of the test."""
        task = asyncio.create_task(self.send(key, routers, period_s))
        self.addCleanup(task.cancel)

    def served(self, key: str, begin: int = 0) -> int:
        """Return how many responses of a workspace are from an upstream."""
        return self.statuses(self.results[key][begin:]).get(200, 0)

    def check_bound(self) -> None:
        """Check the bound in each window."""
        times = [r.sent_at for r in self.results['k2'] if r.status == 200]
        for begin in times:
            count = sum(begin <= at < begin + WINDOW_S for at in times)
            self.assertLessEqual(count, allowed(BUSY))

    async def test_sum_over_two_routers(self) -> None:
        """Guards against a quota that each instance grants on its own."""
        routers = list(self.fleet.routers)
        self.start('k2', routers, 0.01)
        self.start('k1', routers, 0.1)
        await asyncio.sleep(3.0)
        # The bucket was not empty, and the last tokens may be in use.
        self.assertLessEqual(self.served('k2'), 3.0 * 20 + 10 + 10)
        self.assertGreaterEqual(self.served('k2'), 3.0 * 20 * 0.8)
        self.assertEqual({200}, set(self.statuses(self.results['k1'])))
        refused = [r for r in self.results['k2'] if r.status == 429]
        self.assertTrue(refused)
        for response in refused:
            self.assertGreater(float(response.retry_after), 0)

    async def test_coordinator_stops(self) -> None:
        """Guards against a term that begins with a new burst."""
        self.start('k2', list(self.fleet.routers), 0.01)
        await asyncio.sleep(1.5)
        await self.fleet.kill(self.coordinator())
        await asyncio.sleep(4.0)
        begin = len(self.results['k2'])
        await asyncio.sleep(2.0)
        self.check_bound()
        # The other half of the rate belongs to the lost instance.
        self.assertGreaterEqual(self.served('k2', begin), 2.0 * 10 * 0.7)

    async def test_instance_cut_off(self) -> None:
        """Guards against an instance that counts twice or serves nothing."""
        coordinator = self.coordinator()
        (other,) = set(self.fleet.routers) - {coordinator}
        self.start('k2', [coordinator, other], 0.01)
        await asyncio.sleep(1.0)
        assert other.member is not None
        link = other.member.link
        cut = mock.patch.object(link, '_run_connection', side_effect=OSError)
        cut.start()
        self.addCleanup(cut.stop)
        link.writer.transport.abort()
        await asyncio.sleep(2.0)
        admitted = other.state.tokens.admitted
        await asyncio.sleep(3.0)
        admitted = other.state.tokens.admitted - admitted
        self.assertLessEqual(admitted, 3.0 * 10 + 10)
        self.assertGreaterEqual(admitted, 3.0 * 10 * 0.7)
        self.check_bound()

    async def test_lower_quota(self) -> None:
        """Guards against leased tokens and a burst of the former quota."""
        self.start('k2', list(self.fleet.routers), 0.01)
        await asyncio.sleep(1.0)
        self.configure(BUSY._replace(rate_per_s=5.0, burst=2.0))
        await asyncio.sleep(0.3)
        begin = len(self.results['k2'])
        await asyncio.sleep(2.0)
        self.assertLessEqual(self.served('k2', begin), 2.0 * 5 + 2 + 3)
