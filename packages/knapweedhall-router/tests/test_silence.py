"""Tests of upstreams that never answer what they can't queue."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
import typing

from aiohttp import web

from knapweedhall_router import clock
from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case
from tests import test_queues

TIME_LIMIT_S = 3.0


class MuteUpstream(upstream.FakeUpstream):
    """Never responds to a request that it can't run at once.

    Attributes
    ----------
    mute_connections : set of object
        Connections that get no response any more.
    ignored : list of str
        IDs of the requests that get no response.
    """

    def __init__(self, fake: upstream.FakeUpstream) -> None:
        super().__init__(fake.store, fake.service, False, 0.02, slots=1)
        self.mute_connections: set[object] = set()
        self.ignored: list[str] = []

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        mute = request.protocol in self.mute_connections
        if mute or self.free_slots.locked():
            self.mute_connections.add(request.protocol)
            self.ignored.append(request.headers.get('X-Attempt-Id', ''))
            await asyncio.sleep(60)
        return await super()._dispatch(request)


class SilenceTest(fleet_case.FleetTest):
    """One router, and a service of two upstreams of which one is mute."""

    routers = 1

    async def asyncSetUp(self) -> None:
        """Start a fleet with a mute upstream."""
        await super().asyncSetUp()
        running = self.fleet
        self.router = running.routers[0]
        orders = [each for each in running.upstreams if not each.divided]
        self.other = orders[0]
        self.mute = MuteUpstream(orders[1])
        running.upstreams.append(self.mute)
        await self.mute.start()
        orders[1].drain()
        await orders[1].crash()
        running.configure(
            [
                [name, fleet.HOST, f'/{name}/', kind, TIME_LIMIT_S]
                + [1.0, 1, None, 2, 'orders']
                for name, kind in (('order', 'unsafe'), ('list', 'safe'))
            ]
        )
        usable = self.router.state.directory.usable
        await running.wait_until(
            lambda: {each.name for each in usable('orders')}
            == {self.other.name, self.mute.name}
            and self.router.state.configuration.version == running.version
        )

    @contextlib.contextmanager
    def only(self, used: upstream.FakeUpstream) -> typing.Iterator[None]:
        """Let the router use one of the two upstreams."""
        unused = self.other if used is self.mute else self.mute
        entry = self.router.state.directory.entries[unused.name]
        health = self.router.state.health(entry)
        health.paused_until = math.inf
        try:
            yield
        finally:
            health.paused_until = -math.inf

    async def warm_up(self) -> None:
        """Let the router measure the service times of both."""
        for used in (self.mute, self.other):
            with self.only(used):
                for _ in range(10):
                    await self.send('/order/1')

    async def send(
        self, path: str, timeout_ms: int = int(TIME_LIMIT_S * 1000)
    ) -> fleet.Response:
        """Send a request."""
        return await self.fleet.send_request(
            self.router, path, body=b'x', timeout_ms=timeout_ms
        )

    async def silence_one(self, path: str) -> asyncio.Task[fleet.Response]:
        """Send a request to which the mute upstream does not respond."""
        await self.mute.free_slots.acquire()
        with self.only(self.mute):
            task = asyncio.create_task(self.send(path))
            await self.fleet.wait_until(lambda: bool(self.mute.ignored))
        self.mute.free_slots.release()
        return task

    async def test_request_is_sent_elsewhere(self) -> None:
        """Guards against waiting for an upstream until the time is over."""
        await self.warm_up()
        begun_at = time.monotonic()
        response = await (await self.silence_one('/list/1'))
        self.assertEqual(200, response.status)
        self.assertLess(time.monotonic() - begun_at, TIME_LIMIT_S)
        self.assertEqual(1, len(self.mute.ignored))

    async def test_one_that_may_run_once_only_is_not_repeated(self) -> None:
        """Guards against an order that runs twice."""
        await self.warm_up()
        response = await (await self.silence_one('/order/1'))
        self.assertEqual((504, b'timeout\n'), response[:2])
        self.assertEqual(1, len(self.mute.ignored))

    async def test_silent_upstream_gets_no_orders(self) -> None:
        """Guards against orders to an upstream that may not respond."""
        await self.warm_up()
        silent = await self.silence_one('/order/1')
        health = self.router.state.healths[self.mute.name]
        await self.fleet.wait_until(lambda: health.is_mute(clock.now()))
        with self.only(self.mute):
            # It responds to what it can run.
            self.assertEqual(200, (await self.send('/list/1')).status)
        runs = len(self.mute.runs)
        # The mute one would be preferred.
        other = self.router.state.healths[self.other.name]
        other.failures, other.failures_at = 1.0, math.inf
        for _ in range(5):
            self.assertEqual(200, (await self.send('/order/1')).status)
        self.assertEqual(runs, len(self.mute.runs))
        self.assertEqual(1, len(self.mute.ignored))
        self.assertEqual(504, (await silent).status)

    async def test_waiting_order_avoids_it(self) -> None:
        """Guards against an order that waits and is sent to a mute upstream.

        The mute one has room, the other one has none yet.
        """
        await self.warm_up()
        with self.only(self.other):
            # So that it does not count as silent meanwhile.
            for _ in range(20):
                await self.send('/order/1?work_s=0.1')
        await self.silence_one('/order/1')
        with self.only(self.mute):
            self.assertEqual(200, (await self.send('/list/1')).status)
        shares = {self.mute.name: 1, self.other.name: 1}
        self.router.state.conditions = test_queues.FixedShares(
            shares, self.router.state.healths
        )
        health = self.router.state.healths[self.mute.name]
        await self.fleet.wait_until(lambda: health.is_mute(clock.now()))
        first = asyncio.create_task(self.send('/order/1?work_s=0.4'))
        await self.fleet.wait_until(lambda: self.other.running == 1)
        second = asyncio.create_task(self.send('/order/1'))
        queues = self.router.dispatcher.selector.queues
        await self.fleet.wait_until(lambda: len(queues) == 1)
        runs = len(self.mute.runs)
        shares[self.mute.name] = 5
        for response in await asyncio.gather(first, second):
            self.assertEqual(200, response.status)
        self.assertEqual(runs, len(self.mute.runs))
        self.assertEqual(1, len(self.mute.ignored))

    async def test_silent_connection_is_not_reused(self) -> None:
        """Guards against requests over a connection that stays silent."""
        await self.warm_up()
        silent = await self.silence_one('/order/1')
        self.assertEqual(504, (await silent).status)
        mute = self.mute.mute_connections
        await self.fleet.wait_until(
            lambda: not mute & set(self.mute.http.connections)
        )
        with self.only(self.mute):
            for _ in range(10):
                self.assertEqual(200, (await self.send('/order/1')).status)
        self.assertEqual(1, len(self.mute.ignored))

    async def test_standstill_repeats_nothing(self) -> None:
        """Guards against giving up a response that has arrived unread."""
        await self.warm_up()
        count = len(self.other.runs) + len(self.mute.runs)
        task = asyncio.create_task(self.send('/list/1?work_s=0.1'))
        await self.fleet.wait_until(
            lambda: self.other.running + self.mute.running > 0
        )
        time.sleep(1.0)
        self.assertEqual(200, (await task).status)
        runs = len(self.other.runs) + len(self.mute.runs)
        self.assertEqual(count + 1, runs)
