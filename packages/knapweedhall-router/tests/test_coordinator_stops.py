"""Tests of coordinators that are stopped in series."""

from __future__ import annotations

import asyncio
import math
import time
from unittest import mock

from knapweedhall_router import application
from knapweedhall_router import clock
from knapweedhall_router.control import membership
from knapweedhall_router.links import coordinator_link
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import rates
from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case

# A slow answer of the store, as the platform states it.
SLOW_STORE_S = 0.3
# Time for one retry of the call, less than a membership lasts after its join.
SECOND_LEAVE_S = 1.0
# Ample time for the plan that begins a move.
PLAN_TIMEOUT_S = 3.0
STOPS = 6
KEYS = range(0, model.KEY_COUNT, 1024)
CHECK_PERIOD_S = 0.02
TRAFFIC_S = 3.0
# Far less than the time for which instances keep their counts.
KNOWN_LOAD_S = 2.5


class StopsInSeriesTest(fleet_case.FleetTest):
    """Each coordinator is stopped as soon as it coordinates."""

    routers = 4

    async def test_keys_stay_granted(self) -> None:
        """Guards against grants that expire during a series of stops.

        The fleet has a new coordinator about once a second, which is stopped
        before it has renewed a grant.
        """
        running = self.fleet
        await running.wait_until(
            lambda: self.has_recorded(running.routers), 3.0
        )
        for path in ('/log-newest', '/log-append', '/log-join', '/log-leave'):
            running.store.faults.delays[path] = SLOW_STORE_S
        checking = asyncio.create_task(self.check_keys())
        traffic = asyncio.create_task(self.send_requests())
        for _ in range(STOPS):
            await running.wait_until(lambda: self.current() is not None)
            stopped = self.current()
            assert stopped is not None
            running.routers.remove(stopped)
            running.add_router()
            stopped.stop.set()
            # Its term may last until it has left.
            await running.wait_until(
                lambda: stopped.member is None
                or stopped.member.coordinator is None
            )
        await running.wait_until(lambda: self.current() is not None)
        await running.wait_until(running.is_serving)
        checking.cancel()
        traffic.cancel()
        self.assertEqual(0, await checking)
        self.assertEqual({200}, await traffic)

    def current(self) -> application.Application | None:
        """Return the router that coordinates; None if there is none."""
        for router in self.fleet.routers:
            if router.member is not None and router.member.coordinator:
                return router
        return None

    async def check_keys(self) -> int:
        """Return how often a key had no owner, until cancelled."""
        count = 0
        try:
            while True:
                self.assert_one_owner()
                count += sum(
                    not any(each.holds(key) for each in self.fleet.upstreams)
                    for key in KEYS
                )
                await asyncio.sleep(CHECK_PERIOD_S)
        except asyncio.CancelledError:
            return count

    async def send_requests(self) -> set[int]:
        """Send requests to routers that serve, until cancelled."""
        statuses: set[int] = set()
        try:
            while True:
                ready = [
                    router
                    for router in self.fleet.routers
                    if router.state.is_ready()
                ]
                router = self.fleet.rng.choice(ready)
                key = self.fleet.rng.randrange(model.KEY_COUNT)
                response = await self.fleet.send_request(
                    router, '/view/x', key
                )
                statuses.add(response.status)
                await asyncio.sleep(CHECK_PERIOD_S)
        except asyncio.CancelledError:
            return statuses


class HandOverTest(fleet_case.FleetTest):
    """A coordinator that is stopped while nothing else happens."""

    routers = 2

    async def test_grants_are_renewed_before_it_leaves(self) -> None:
        """Guards against a next term that begins with grants about to end."""
        store = self.fleet.store
        store.faults.delays['/log-leave'] = SLOW_STORE_S
        stopped = self.coordinator()
        self.fleet.routers.remove(stopped)
        stopped_at = time.monotonic()
        stopped.stop.set()
        await self.fleet.wait_until(lambda: store.calls['/log-leave'] > 0)
        expiries = [
            grant.expires_at
            for each in self.fleet.upstreams
            for grant in each.grants
        ]
        self.assertTrue(expiries)
        self.assertGreaterEqual(
            min(expiries) + upstream.ARRIVAL_PRECISION_S,
            stopped_at + holdings.GRANT_DURATION_S,
        )

    async def test_running_move_ends_before_it_leaves(self) -> None:
        """Guards against keys without an owner until the next term.

        The former holder has released them, and the coordinator is stopped
        while it records the new one.
        """
        store = self.fleet.store
        store.faults.delays['/log-append'] = SLOW_STORE_S
        released = asyncio.Event()
        draining = self.fleet.upstreams[0]

        def on_event(name: str, fields: object) -> None:
            if name == 'released':
                released.set()

        draining.on_event = on_event
        draining.drain()
        async with asyncio.timeout(PLAN_TIMEOUT_S):
            await released.wait()
        stopped = self.coordinator()
        self.fleet.routers.remove(stopped)
        stopped.stop.set()
        await self.fleet.wait_until(lambda: store.calls['/log-leave'] > 0)
        without_owner = [
            key
            for key in KEYS
            if not any(each.holds(key) for each in self.fleet.upstreams)
        ]
        self.assertEqual([], without_owner)
        self.assert_one_owner()


class LoadTest(fleet_case.FleetTest):
    """The load that the next coordinator finds."""

    routers = 4

    async def test_next_coordinator_knows_the_rates(self) -> None:
        """Guards against terms that end before they have measured the load.

        No request is sent any longer, so that there is nothing to measure.
        """
        requests = await self.fleet.send_random_requests(TRAFFIC_S)
        ended_at = clock.now()
        stopped = self.coordinator()
        await self.fleet.stop_router(stopped)
        await self.fleet.wait_until(self.are_all_informing, KNOWN_LOAD_S)
        member = self.coordinator().member
        assert member is not None and member.coordinator is not None
        term, now = member.coordinator, clock.now()
        self.assertTrue(term.load.is_known(now))
        measured = term.load.rates_of('views')
        measured.decay(now)
        # A quarter of the requests was counted by the stopped instance.
        per_s = 0.75 * len(requests) / TRAFFIC_S
        age_s = now - ended_at
        expected = per_s * math.exp(-age_s / rates.SLOW_TIME_CONSTANT_S)
        self.assertGreater(measured.total(), 0.5 * expected)
        self.assertLess(measured.total(), 2 * expected)

    def are_all_informing(self) -> bool:
        """Return whether the next coordinator has counts of all instances."""
        running = {router.settings.name for router in self.fleet.routers}
        for router in self.fleet.routers:
            if router.member is not None and router.member.coordinator:
                return running <= router.member.coordinator.load.informed
        return False


class CandidateTest(fleet_case.FleetTest):
    """An instance that is stopped and does not coordinate."""

    routers = 3

    async def test_leaving_that_fails(self) -> None:
        """Guards against a fault beside the stop that leaves no trace."""
        stopped = self.coordinator()
        member = stopped.member
        assert member is not None
        fault = RuntimeError('no call')
        with (
            mock.patch.object(member, 'leave', side_effect=fault),
            mock.patch.object(application.logs, 'warning') as warning,
            mock.patch.object(application.logs, 'info') as info,
        ):
            stopped.stop.set()
            await self.fleet.wait_until(
                lambda: mock.call('stopped', running=0, unsent_bytes=0)
                in info.mock_calls
            )
        reasons = [
            call.kwargs['reason']
            for call in warning.mock_calls
            if call.kwargs.get('task') == 'leaving'
        ]
        self.assertEqual(1, len(reasons))
        self.assertIn('no call', reasons[0])

    async def test_leaves_the_group_when_the_store_answers_again(self) -> None:
        """Guards against a coordinator that has left already.

        The store refuses one call that leaves the group. Until the membership
        expires, up to 2 s later, it may name the stopped instance as the
        coordinator, and grants expire 2.5 s after their renewal.
        """
        store = self.fleet.store
        stopped = next(
            router
            for router in self.fleet.routers
            if router is not self.coordinator()
        )
        member = coordinator_link.member_id(stopped.settings)
        members = store.groups[coordinator_link.COORDINATOR_GROUP].members
        await self.fleet.wait_until(
            lambda: member in members
            and members[member].expires_at
            > time.monotonic() + membership.CANDIDATE_TIMEOUT_S - 0.1
        )
        store.faults.refused = [fleet.source_address(stopped.settings)]
        refused_from = store.calls['/log-leave']
        stopped.stop.set()
        await self.fleet.wait_until(
            lambda: store.calls['/log-leave'] > refused_from
        )
        store.faults.refused = []
        await self.fleet.wait_until(
            lambda: member not in members, SECOND_LEAVE_S
        )


class EndTest(fleet_case.FleetTest):
    """A coordinator that ends without an orderly stop."""

    routers = 1

    async def test_no_term_begins_at_the_end(self) -> None:
        """Guards against a term that outlasts its router.

        The answer to a join arrived while the term was being ended.
        """
        running = self.fleet
        router = running.routers[0]
        original = membership.Membership.end

        async def end_slowly(member: membership.Membership) -> None:
            await original(member)
            await asyncio.sleep(0.3)

        running.store.faults.delays['/log-join'] = 0.1
        joins = running.store.calls['/log-join']
        await running.wait_until(
            lambda: running.store.calls['/log-join'] > joins
        )
        with mock.patch.object(membership.Membership, 'end', end_slowly):
            await running.kill(router)
        assert router.member is not None
        self.assertIsNone(router.member.coordinator)
