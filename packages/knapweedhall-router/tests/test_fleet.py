"""Tests of requests through whole routers and test doubles."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case


class ServingTest(fleet_case.FleetTest):
    """Requests and records while no process fails."""

    async def test_requests_of_all_kinds(self) -> None:
        """Guards against requests that are changed or routed wrongly."""
        router = self.fleet.routers[0]
        response = await self.fleet.send_request(router, '/view/x?y=%20z', 7)
        self.assertEqual(200, response.status)
        self.assertEqual(b'GET /view/x?y=%20z 0', response.body)
        response = await self.fleet.send_request(
            router, '/order/1', body=b'z' * 70000
        )
        self.assertEqual(b'POST /order/1 70000', response.body)
        self.assertTrue(response.signature)
        response = await self.fleet.send_request(router, '/other/')
        self.assertEqual(404, response.status)
        self.assert_one_owner()

    async def test_new_configuration(self) -> None:
        """Guards against a late version and a return to an older one."""
        running = self.fleet
        routes = [running.route('new', '/new/', 'safe', 'orders')]
        running.configure(routes)
        await running.wait_until(
            lambda: all(
                router.state.configuration.version == 5
                for router in running.routers
            ),
            2.0,
        )
        response = await running.send_request(running.routers[0], '/new/')
        self.assertEqual(200, response.status)
        running.version = 0
        running.configure()
        await asyncio.sleep(0.3)
        response = await running.send_request(running.routers[0], '/view/', 1)
        self.assertEqual(404, response.status)

    async def test_configuration_without_a_notification(self) -> None:
        """Guards against a version that is noticed only after a long read.

        The platform's store did not always wake a read that began just
        before a change. A version must be in force within 2 s.
        """
        running = self.fleet
        running.store.faults.deaf = True
        await running.wait_until(
            lambda: running.store.unnotified_reads >= self.routers
        )
        running.configure()
        await running.wait_until(
            lambda: all(
                router.state.configuration.version == running.version
                for router in running.routers
            ),
            2.0,
        )

    async def test_unreadable_records_change_nothing(self) -> None:
        """Guards against an unreadable record that ends a task."""
        store = self.fleet.store
        store.partition('keyed.op').append('config', b'\xff{')
        store.partition('keyed.servers').append('i-odd', b'[]')
        responses = await self.fleet.send_random_requests(1.2)
        self.assertEqual({200}, set(self.statuses(responses)))


class ResponseTest(fleet_case.FleetTest):
    """Responses of upstreams that are lost, extra or incomplete."""

    routers = 1

    async def send_order(self) -> fleet.Response:
        """Send a request that is not idempotent."""
        router = self.fleet.routers[0]
        return await self.fleet.send_request(router, '/order/1', body=b'{}')

    def orders_upstreams(self) -> list[upstream.FakeUpstream]:
        """Return the upstreams of the service without owned keys."""
        return [
            fake_upstream
            for fake_upstream in self.fleet.upstreams
            if not fake_upstream.divided
        ]

    def set_response_hook(self, hook: object) -> None:
        """Replace the responses of these upstreams."""
        for fake_upstream in self.orders_upstreams():
            fake_upstream.response_hook = hook  # type: ignore[assignment]

    async def test_request_with_lost_response_is_not_retried(self) -> None:
        """Guards against a request that is not idempotent and runs twice."""
        self.set_response_hook(lambda request, raw: None)
        response = await self.send_order()
        self.assertEqual(502, response.status)
        self.assertEqual(
            1,
            sum(
                len(fake_upstream.runs)
                for fake_upstream in self.orders_upstreams()
            ),
        )

    async def test_extra_response_is_given_to_no_caller(self) -> None:
        """Guards against a caller that gets the response for another one."""
        extra = (
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
            b'X-Response-Signature: s\r\nContent-Length: 5\r\n\r\nother'
        )
        self.set_response_hook(lambda request, raw: extra + raw)
        response = await self.send_order()
        self.assertEqual((200, b'POST /order/1 2'), response[:2])
        self.set_response_hook(lambda request, raw: raw + extra)
        for _ in range(4):
            response = await self.send_order()
            self.assertEqual((200, b'POST /order/1 2'), response[:2])

    async def test_incomplete_response_is_no_success(self) -> None:
        """Guards against an incomplete response that looks complete."""

        def truncate(request: web.BaseRequest, raw: bytes) -> bytes:
            assert request.transport is not None
            request.transport.write(raw[:-3])
            request.transport.close()
            return b''

        self.set_response_hook(truncate)
        response = await self.send_order()
        self.assertEqual(502, response.status)

    async def test_response_without_length(self) -> None:
        """Guards against the loss of a response without a content length.

        Its end is the end of its connection.
        """

        def remove_length(request: web.BaseRequest, raw: bytes) -> bytes:
            head, _, body = raw.partition(b'\r\n\r\n')
            lines = head.split(b'\r\n')
            kept = [line for line in lines if b'Content-Length' not in line]
            assert request.transport is not None
            request.transport.write(b'\r\n'.join(kept) + b'\r\n\r\n' + body)
            request.transport.close()
            return b''

        self.set_response_hook(remove_length)
        response = await self.send_order()
        self.assertEqual((200, b'POST /order/1 2'), response[:2])


class RetryTest(fleet_case.FleetTest):
    """Requests that the owner of the key fails at the first attempt."""

    routers = 1

    def owner(self, key: int) -> upstream.FakeUpstream:
        """Return the upstream that owns a key."""
        return next(
            fake_upstream
            for fake_upstream in self.fleet.upstreams
            if fake_upstream.holds(key)
        )

    async def send_view(self) -> fleet.Response:
        """Send an idempotent request."""
        return await self.fleet.send_request(
            self.fleet.routers[0], '/view/x', 7
        )

    async def test_request_with_lost_response_is_retried(self) -> None:
        """Guards against a retry that waits for another owner.

        Only the owner of its key can execute the request again.
        """
        owner = self.owner(7)
        lost_responses: list[bytes | None] = [None]

        def lose_first(request: web.BaseRequest, raw: bytes) -> bytes | None:
            return lost_responses.pop() if lost_responses else raw

        owner.response_hook = lose_first
        response = await self.send_view()
        self.assertEqual(200, response.status)
        self.assertEqual(2, len(owner.runs))

    async def test_failed_request_is_retried(self) -> None:
        """Guards against an error response that a retry would avoid."""
        owner = self.owner(7)
        failures = [b'HTTP/1.1 500 Failed']

        def fail_first(request: web.BaseRequest, raw: bytes) -> bytes:
            if not failures:
                return raw
            return raw.replace(b'HTTP/1.1 200 OK', failures.pop())

        owner.response_hook = fail_first
        response = await self.send_view()
        self.assertEqual(200, response.status)

    async def test_refused_request_is_retried(self) -> None:
        """Guards against a refusal that is returned though a slot is free."""
        self.owner(7).shed_next = 1
        response = await self.send_view()
        self.assertEqual(200, response.status)

    async def test_retries_are_limited(self) -> None:
        """Guards against unlimited retries at an upstream that fails."""
        owner = self.owner(7)
        owner.response_hook = lambda request, raw: raw.replace(
            b'HTTP/1.1 200 OK', b'HTTP/1.1 500 Failed'
        )
        response = await self.send_view()
        self.assertEqual(500, response.status)
        self.assertTrue(response.signature)
        self.assertEqual(2, len(owner.runs))


class ShutdownTest(fleet_case.FleetTest):
    """Planned stops."""

    async def test_no_request_is_cut(self) -> None:
        """Guards against a stop that cuts requests on kept connections.

        Until the process ends, requests may arrive on connections that were
        idle when the listener was closed.
        """
        router = self.fleet.routers[0]
        statuses: list[int] = []
        router.stop.set()
        started_at = time.monotonic()
        while not self.fleet.tasks[router].done():
            try:
                response = await self.fleet.send_request(router, '/view/x', 5)
                statuses.append(response.status)
            except OSError:
                self.assertGreater(time.monotonic() - started_at, 2.0)
            await asyncio.sleep(0.01)
        self.assertEqual({200}, set(statuses))
        self.assertLess(time.monotonic() - started_at, 6.0)
