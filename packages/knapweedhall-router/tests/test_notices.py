"""Tests of what upstreams say of themselves: leaving, and pauses."""

from __future__ import annotations

import asyncio
import time

from knapweedhall_router import application
from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case

# Largest time after which another instance has to know: half of `drain_s`.
SPREAD_S = 1.0
PAUSE_S = 1.5
# Requests in flight may arrive for this time after an upstream's refusal
# (platform rules, BUDGET).
PAUSE_SLACK_S = 0.5


class NoticeTest(fleet_case.FleetTest):
    """Two instances and upstreams of two services."""

    def owner(self, key: int) -> upstream.FakeUpstream:
        """Return the upstream that owns a key."""
        return next(
            fake_upstream
            for fake_upstream in self.fleet.upstreams
            if fake_upstream.holds(key)
        )

    def orders_upstreams(self) -> list[upstream.FakeUpstream]:
        """Return the upstreams of the service without owned keys."""
        return [
            fake_upstream
            for fake_upstream in self.fleet.upstreams
            if not fake_upstream.divided
        ]

    def knows(self, router: application.Application, name: str) -> bool:
        """Return whether a router knows that an upstream is leaving."""
        return router.state.directory.unusable_since(name) is not None

    async def send_orders(
        self, router: application.Application, count: int
    ) -> None:
        """Send requests to the service without owned keys, all at once."""
        responses = await asyncio.gather(
            *(
                self.fleet.send_request(router, '/order/1', body=b'{}')
                for _ in range(count)
            )
        )
        self.assertEqual({200: count}, self.statuses(responses))


class LeavingTest(NoticeTest):
    """An upstream that says in its responses that it is leaving."""

    async def test_no_request_after_the_notice(self) -> None:
        """Guards against requests to an upstream that is about to end.

        The store does not list it as draining, as it is down.
        """
        router = self.fleet.routers[0]
        self.fleet.store.faults.down = True
        leaving = self.orders_upstreams()[0]
        leaving.leaving = True
        while not self.knows(router, leaving.name):
            await self.send_orders(router, 4)
        count = len(leaving.runs)
        await self.send_orders(router, 10)
        self.assertEqual(count, len(leaving.runs))

    async def test_other_instances_learn_of_it(self) -> None:
        """Guards against an upstream used until the store lists it."""
        router, other = self.fleet.routers
        leaving = self.orders_upstreams()[0]
        leaving.leaving = True
        while not self.knows(router, leaving.name):
            await self.send_orders(router, 4)
        await self.fleet.wait_until(
            lambda: self.knows(other, leaving.name), SPREAD_S
        )

    async def test_keys_move(self) -> None:
        """Guards against keys that stay with an upstream until it ends."""
        leaving = self.owner(7)
        leaving.leaving = True
        router = self.fleet.routers[0]
        response = await self.fleet.send_request(router, '/view/x', 7)
        self.assertEqual(200, response.status)
        await self.fleet.wait_until(lambda: not leaving.grants, 3.0)
        for _ in range(5):
            response = await self.fleet.send_request(router, '/view/x', 7)
            self.assertEqual(200, response.status)
        self.assert_one_owner()

    async def test_answer_to_an_order(self) -> None:
        """Guards against keys of an upstream that gets no requests."""
        leaving = self.owner(7)
        leaving.leaving = True
        await self.fleet.wait_until(lambda: not leaving.grants, 5.0)

    async def test_owner_is_not_asked_while_keys_can_not_move(self) -> None:
        """Guards against requests to a leaving owner without a coordinator.

        Nobody moves its keys; half of its drain time after the notice it
        gets no requests any more.
        """
        running = self.fleet
        leaving = self.owner(7)
        leaving.leaving = True
        coordinator = self.coordinator()
        router = next(
            router for router in running.routers if router is not coordinator
        )
        running.store.faults.down = True
        await running.kill(coordinator)
        response = await running.send_request(router, '/view/x', 7)
        self.assertEqual(200, response.status)
        noticed_at = time.monotonic()
        await asyncio.sleep(router.settings.drain_s / 2 + 0.1)
        while time.monotonic() < noticed_at + router.settings.drain_s + 0.5:
            await running.send_request(router, '/view/x', 7, timeout_ms=300)
        late = [
            run
            for run in leaving.runs
            if run.started_at > noticed_at + router.settings.drain_s / 2
        ]
        self.assertEqual([], late)

    async def test_restarted_instance_learns_of_it(self) -> None:
        """Guards against an upstream that a fresh instance uses again."""
        router = self.fleet.routers[0]
        leaving = self.orders_upstreams()[0]
        leaving.leaving = True
        while not self.knows(router, leaving.name):
            await self.send_orders(router, 4)
        await self.fleet.wait_until(
            lambda: self.knows(self.coordinator(), leaving.name), SPREAD_S
        )
        fresh = self.fleet.add_router()
        await self.fleet.wait_until(fresh.state.is_ready)
        await self.fleet.wait_until(
            lambda: self.knows(fresh, leaving.name), SPREAD_S
        )

    async def test_next_incarnation_is_used(self) -> None:
        """Guards against a mark that outlives the process that left."""
        router = self.fleet.routers[0]
        leaving = self.orders_upstreams()[0]
        leaving.leaving = True
        while not self.knows(router, leaving.name):
            await self.send_orders(router, 4)
        leaving.leaving = False
        leaving.born_ms += 1000
        leaving.register()
        await self.fleet.wait_until(
            lambda: not any(
                self.knows(each, leaving.name) for each in self.fleet.routers
            ),
            3.0,
        )
        # A report of the old incarnation that arrives late changes nothing.
        router.state.record_leaving(
            leaving.name, 'report', leaving.born_ms - 1000
        )
        self.assertFalse(self.knows(router, leaving.name))


class PauseTest(NoticeTest):
    """An upstream that refuses requests and asks for a pause."""

    routers = 1

    def watch(self, fake_upstream: upstream.FakeUpstream) -> list[float]:
        """Record when requests arrive at an upstream, after it paused."""
        arrivals: list[float] = []
        original = fake_upstream._serve

        async def serve(request: object) -> object:
            arrivals.append(time.monotonic())
            return await original(request)  # type: ignore[arg-type]

        fake_upstream._serve = serve  # type: ignore[method-assign, assignment]
        return arrivals

    async def test_other_upstream_serves(self) -> None:
        """Guards against requests during the pause, and against failures."""
        router = self.fleet.routers[0]
        paused = self.orders_upstreams()[0]
        paused.pause_s = PAUSE_S
        arrivals = self.watch(paused)
        while not arrivals:
            await self.send_orders(router, 4)
        while time.monotonic() < arrivals[0] + PAUSE_S - 0.1:
            await self.send_orders(router, 4)
        late = [at for at in arrivals if at > arrivals[0] + PAUSE_SLACK_S]
        self.assertEqual([], late)
        health = router.state.healths[paused.name]
        self.assertEqual(0.0, health.failure_share(time.monotonic()))
        paused.pause_s = 0.0
        count = len(paused.runs)
        await asyncio.sleep(0.2)
        while len(paused.runs) == count:
            # More than one upstream runs at once, so that both are used.
            await self.send_orders(router, 12)

    async def test_owner_is_left_alone(self) -> None:
        """Guards against requests to an owner that turned one away.

        Callers are told to return after the pause, not all at once.
        """
        router = self.fleet.routers[0]
        paused = self.owner(7)
        # As long as no key can be moved.
        self.fleet.store.faults.down = True
        paused.pause_s = PAUSE_S
        arrivals = self.watch(paused)
        returns = []
        began_at = time.monotonic()
        while time.monotonic() < began_at + PAUSE_S - 0.2:
            response = await self.fleet.send_request(router, '/view/x', 7)
            self.assertEqual(503, response.status)
            returns.append(
                time.monotonic() - began_at + float(response.retry_after)
            )
            await asyncio.sleep(0.02)
        late = [at for at in arrivals if at > began_at + PAUSE_SLACK_S]
        self.assertEqual([], late)
        self.assertGreaterEqual(min(returns), PAUSE_S - 0.1)
        self.assertGreater(max(returns) - min(returns), PAUSE_S / 4)

    async def test_bad_values_change_nothing(self) -> None:
        """Guards against a garbled value that excludes an upstream."""
        router = self.fleet.routers[0]
        for value in ('-1', 'nan', 'inf', 'Fri, 04 Dec 2026 10:00:00 GMT', ''):
            with self.subTest(value=value):
                response = await self._send_refused(value)
                self.assertIn(response, (200, 503))
                now = time.monotonic()
                for health in router.state.healths.values():
                    self.assertFalse(health.is_paused(now))

    async def _send_refused(self, value: str) -> int:
        for fake_upstream in self.orders_upstreams():
            fake_upstream.response_hook = lambda request, raw: raw.replace(
                b'HTTP/1.1 200 OK',
                b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n'
                b'Retry-After: ' + value.encode(),
            )
        response = await self.fleet.send_request(
            self.fleet.routers[0], '/order/1', body=b'{}'
        )
        return response.status


class InvalidHeaderTest(NoticeTest):
    """Headers of responses that no head may contain."""

    async def send_with(self, old: bytes, new: bytes) -> fleet.Response:
        """Send a request whose response has a changed head."""
        for fake_upstream in self.orders_upstreams():
            fake_upstream.response_hook = lambda request, raw: raw.replace(
                old, new, 1
            )
        return await self.fleet.send_request(
            self.fleet.routers[0], '/order/1', body=b'{}'
        )

    async def test_response_is_forwarded_without_it(self) -> None:
        """Guards against a closed connection in place of a response."""
        for value in (b'a\x01b', b'\x7f', b'\x0b'):
            with self.subTest(value=value):
                note = b'X-Note: ' + value + b'\r\nX-Attempt-Id'
                response = await self.send_with(b'X-Attempt-Id', note)
                self.assertEqual(200, response.status)
                self.assertTrue(response.signature)

    async def test_invalid_signature(self) -> None:
        """Guards against a success whose signature was left out."""
        response = await self.send_with(b'Signature: ', b'Signature: \x01')
        self.assertEqual(502, response.status)
