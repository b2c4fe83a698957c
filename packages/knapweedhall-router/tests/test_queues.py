"""Tests of requests that wait for room at their upstreams."""

from __future__ import annotations

import asyncio
import contextlib
import math
import sys
import time
import typing

from knapweedhall_router import clock
from knapweedhall_router.serving import queues as queues_module
from knapweedhall_routing import conditions
from knapweedhall_routing import health
from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case

KEY = 7
# Objective and time limit of the routes, which leave time to wait.
OBJECTIVE_S = 4.0
TIME_LIMIT_S = 6.0
# A request that keeps its upstream at its share.
LONG = '/view/x?work_s=0.4'
# As long, but beyond the patience of those that wait for it.
LONGER = '/view/x?work_s=1.5'


class FixedShares(conditions.Conditions):
    """Shared knowledge that does not change.

    Attributes
    ----------
    shares : dict of str to int
        Shares by upstream; others are far from their limits.
    """

    def __init__(
        self,
        shares: dict[str, int],
        healths: typing.Mapping[str, health.Health],
    ) -> None:
        super().__init__(healths)
        self.shares = shares
        self.known = {
            name: conditions.Condition(
                limit=share, load=share, service_s=0.1, users=1, at=-math.inf
            )
            for name, share in shares.items()
        }

    def share(self, upstream: str, now: float) -> int:
        """Return the fixed share."""
        return self.shares.get(upstream, sys.maxsize)

    def earliest_at(self, upstream: str, now: float) -> float:
        """Return now, as all shares are at least 1."""
        return now


class QueueTest(fleet_case.FleetTest):
    """One router; the owner of a key takes one request at a time."""

    routers = 1

    async def asyncSetUp(self) -> None:
        """Start a fleet with routes of two priorities."""
        await super().asyncSetUp()
        self.router = self.fleet.routers[0]
        self.configure(self.fleet)
        await self.fleet.wait_until(
            lambda: self.router.state.configuration.version
            == self.fleet.version
        )

    def configure(self, running: fleet.Fleet) -> None:
        """Put routes in force that leave time to wait."""
        running.configure(
            [
                [name, fleet.HOST, f'/{name}/', kind, TIME_LIMIT_S]
                + [OBJECTIVE_S, priority, None, 2, service]
                for name, kind, priority, service in (
                    ('urgent', 'safe', 0, 'views'),
                    ('view', 'safe', 1, 'views'),
                    ('order', 'unsafe', 1, 'orders'),
                )
            ]
        )

    def owner(self) -> upstream.FakeUpstream:
        """Return the upstream that owns the key."""
        return next(each for each in self.fleet.upstreams if each.holds(KEY))

    def limit(self, *upstreams: upstream.FakeUpstream) -> None:
        """Let upstreams take one request at a time."""
        self.router.state.conditions = FixedShares(
            {each.name: 1 for each in upstreams}, self.router.state.healths
        )

    def queues(self) -> queues_module.Queues:
        """Return the router's queues."""
        return self.router.dispatcher.selector.queues

    def begin(
        self, path: str, **arguments: typing.Any
    ) -> asyncio.Task[fleet.Response]:
        """Begin to send a request for the key."""
        arguments = {'key': KEY, 'timeout_ms': 5000, **arguments}
        task = asyncio.create_task(
            self.fleet.send_request(self.router, path, **arguments)
        )

        async def end() -> None:
            task.cancel()
            with contextlib.suppress(Exception, asyncio.CancelledError):
                await task

        self.addAsyncCleanup(end)
        return task

    async def wait_for(self, waiting: int) -> None:
        """Wait until so many requests wait."""
        await self.fleet.wait_until(lambda: len(self.queues()) == waiting)

    async def fill(
        self, *paths: str, first: str = LONG
    ) -> list[asyncio.Task[fleet.Response]]:
        """Send a long request, and others that wait behind it."""
        owner = self.owner()
        if first == LONGER:
            # So that the owner does not count as silent meanwhile.
            await self.begin(LONG)
        self.limit(owner)
        tasks = [self.begin(first)]
        await self.fleet.wait_until(lambda: owner.running == 1)
        for number, path in enumerate(paths, 1):
            tasks.append(self.begin(path))
            await self.wait_for(number)
        return tasks


class OrderTest(QueueTest):
    """Requests that wait until there is room."""

    async def test_urgent_request_overtakes(self) -> None:
        """Guards against urgent requests behind others at an upstream."""
        ended: list[str] = []
        tasks = await self.fill('/view/x', '/urgent/x')
        for name, task in zip(('long', 'view', 'urgent'), tasks):
            task.add_done_callback(lambda _, name=name: ended.append(name))
        responses = await asyncio.gather(*tasks)
        self.assertEqual({200: 3}, self.statuses(responses))
        self.assertEqual(['long', 'urgent', 'view'], ended)
        self.assertEqual({}, self.queues().attempts)

    async def test_requests_wait_for_any_upstream(self) -> None:
        """Guards against requests over the shares of a whole service."""
        orders = [each for each in self.fleet.upstreams if not each.divided]
        self.limit(*orders)
        tasks = [
            self.begin('/order/1?work_s=0.1', body=b'x') for _ in range(6)
        ]
        busiest = 0
        while not all(task.done() for task in tasks):
            busiest = max([busiest, *(each.running for each in orders)])
            await asyncio.sleep(0.005)
        self.assertEqual({200: 6}, self.statuses([t.result() for t in tasks]))
        self.assertEqual(1, busiest)

    async def test_nothing_waits_without_shared_knowledge(self) -> None:
        """Guards against an instance on its own that holds requests back."""
        tasks = [self.begin(LONG) for _ in range(4)]
        await self.fleet.wait_until(lambda: self.owner().running == 4)
        self.assertEqual({}, self.queues().by_service)
        for task in tasks:
            self.assertEqual(200, (await task).status)

    async def test_knowledge_that_ends_releases_what_waits(self) -> None:
        """Guards against requests held back by outdated knowledge."""
        long_one, *_ = await self.fill('/view/x', '/view/x', first=LONGER)
        self.router.state.conditions = conditions.Conditions(
            self.router.state.healths
        )
        await self.wait_for(0)
        await self.fleet.wait_until(lambda: len(self.owner().runs) == 4)
        self.assertFalse(long_one.done())


class EndTest(QueueTest):
    """Ways in which a request leaves the queue without being sent."""

    async def test_stop_sends_callers_elsewhere(self) -> None:
        """Guards against callers that are held by a process that ends."""
        _, waiting = await self.fill('/view/x')
        self.router.stop.set()
        response = await asyncio.wait_for(waiting, 0.4)
        self.assertEqual((503, b'stopping\n'), response[:2])
        self.assertLess(float(response.retry_after), 0.1)

    async def test_caller_leaves(self) -> None:
        """Guards against places that are kept for callers that have left."""
        first, left, last = await self.fill('/view/left', '/view/x')
        left.cancel()
        await self.wait_for(1)
        self.assertEqual(200, (await last).status)
        await first
        self.assertEqual(2, len(self.owner().runs))
        self.assertEqual({}, self.queues().attempts)

    async def test_standstill_refuses_nobody(self) -> None:
        """Guards against refusing all that waited during a standstill."""
        tasks = await self.fill(*['/view/x'] * 3)
        # Longer than an eighth of the objective; the long request ends in it.
        time.sleep(OBJECTIVE_S / 8 + 0.2)
        responses = await asyncio.gather(*tasks)
        self.assertEqual({200: 4}, self.statuses(responses))

    async def test_one_that_is_not_next_leaves_early(self) -> None:
        """Guards against requests that are held and then refused."""
        _, first, second = await self.fill('/view/x', '/view/x', first=LONGER)
        begun_at = time.monotonic()
        response = await second
        self.assertEqual((503, b'overtaken\n'), response[:2])
        self.assertLess(time.monotonic() - begun_at, OBJECTIVE_S / 2)
        self.assertEqual(200, (await first).status)


class ChangeTest(QueueTest):
    """Changes of the upstream that requests wait for."""

    async def move(self, owner: upstream.FakeUpstream) -> None:
        """Let the coordinator move the keys of an upstream."""
        owner.drain()
        await self.fleet.wait_until(lambda: not owner.holds(KEY), 5.0)

    async def test_request_follows_its_key(self) -> None:
        """Guards against a request that waits for a former owner."""
        former = self.owner()
        long_one, waiting = await self.fill('/view/x', first=LONGER)
        await self.move(former)
        self.assertEqual(200, (await waiting).status)
        await long_one
        self.assertEqual(2, len(former.runs))

    async def test_pause_of_the_owner(self) -> None:
        """Guards against requests to an upstream that asked for a pause."""
        owner = self.owner()
        _, waiting = await self.fill('/view/x')
        runs = len(owner.runs)
        self.router.state.healths[owner.name].record_pause(2.0, clock.now())
        response = await waiting
        self.assertEqual((503, b'paused\n'), response[:2])
        self.assertEqual(runs, len(owner.runs))

    async def test_silence_of_the_owner(self) -> None:
        """Guards against waiting for an upstream that does not respond."""
        owner = self.owner()
        self.assertEqual(200, (await self.begin('/view/x')).status)
        tasks = await self.fill('/view/x', '/view/x')
        measured = self.router.state.healths[owner.name]
        measured.sent_at = {number: 0.0 for number in measured.sent_at}
        measured.responded_at = -math.inf
        for task in tasks[1:]:
            self.assertEqual((503, b'silent-owner\n'), (await task)[:2])

    async def test_cold_owner(self) -> None:
        """Guards against a queue that ignores the budget of a cold start."""
        owner = self.owner()
        tasks = await self.fill('/view/x', '/view/x')
        entries = self.router.state.directory.entries
        entries[owner.name] = entries[owner.name]._replace(
            cold_until=clock.now() + 5.0
        )
        statuses = self.statuses(await asyncio.gather(*tasks))
        # The budget of 9.1 per second allows one of the two.
        self.assertEqual({200: 2, 503: 1}, statuses)

    async def test_upstream_leaves(self) -> None:
        """Guards against requests to an upstream that said it is leaving."""
        orders = [each for each in self.fleet.upstreams if not each.divided]
        self.limit(*orders)
        tasks = [
            self.begin('/order/1?work_s=0.4', body=b'x') for _ in range(4)
        ]
        await self.wait_for(2)
        await self.fleet.wait_until(
            lambda: all(each.running for each in orders)
        )
        self.router.state.record_leaving(orders[0].name, 'report')
        runs = len(orders[0].runs)
        responses = await asyncio.gather(*tasks)
        self.assertEqual(runs, len(orders[0].runs))
        self.assertLessEqual(3, self.statuses(responses)[200])
