"""Tests of requests through whole routers and stand-ins."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case


class ServingTest(fleet_case.FleetTest):
    """A quiet fleet."""

    async def test_requests_of_all_kinds(self) -> None:
        """Guards against a path that is not forwarded as it came."""
        router = self.fleet.routers[0]
        found = await self.fleet.ask(router, '/view/x?y=%20z', 7)
        self.assertEqual(200, found.status)
        self.assertEqual(b'GET /view/x?y=%20z 0', found.body)
        found = await self.fleet.ask(router, '/order/1', body=b'z' * 70000)
        self.assertEqual(b'POST /order/1 70000', found.body)
        self.assertTrue(found.signature)
        found = await self.fleet.ask(router, '/other/')
        self.assertEqual(404, found.status)
        self.assert_one_owner()

    async def test_new_configuration(self) -> None:
        """Guards against a version that is taken back or comes late."""
        found = self.fleet
        routes = [found.route('new', '/new/', 'safe', 'orders')]
        found.configure(routes)
        await found.until(
            lambda: all(
                r.state.configuration.version == 5 for r in found.routers
            ),
            2.0,
        )
        reply = await found.ask(found.routers[0], '/new/')
        self.assertEqual(200, reply.status)
        found.version = 0
        found.configure()
        await asyncio.sleep(0.3)
        reply = await found.ask(found.routers[0], '/view/', 1)
        self.assertEqual(404, reply.status)

    async def test_configuration_without_a_wake_up(self) -> None:
        """Guards against a version that waits for the end of a read.

        The platform's store was seen not to wake a read that began just
        before a change; a version is to be in force within 2 s.
        """
        found = self.fleet
        found.store.faults.deaf = True
        await found.until(lambda: found.store.unnotified_reads >= self.routers)
        found.configure()
        await found.until(
            lambda: all(
                router.state.configuration.version == found.version
                for router in found.routers
            ),
            2.0,
        )

    async def test_unreadable_records_change_nothing(self) -> None:
        """Guards against a foreign record that ends a task."""
        store = self.fleet.store
        store.partition('keyed.op').append('config', b'\xff{')
        store.partition('keyed.servers').append('i-odd', b'[]')
        replies = await self.fleet.ask_all(1.2)
        self.assertEqual({200}, set(self.statuses(replies)))


class AnswerTest(fleet_case.FleetTest):
    """Answers of upstreams that are late, extra or broken."""

    routers = 1

    async def order(self) -> fleet.Reply:
        """Send a request that must not run twice."""
        router = self.fleet.routers[0]
        return await self.fleet.ask(router, '/order/1', body=b'{}')

    def orders(self) -> list[upstream.FakeUpstream]:
        """Return the upstreams without keys."""
        return [one for one in self.fleet.backends if not one.divided]

    def spoil(self, how: object) -> None:
        """Change the answers of all upstreams without keys."""
        for one in self.orders():
            one.response_hook = how  # type: ignore[assignment]

    async def test_lost_answer_is_not_repeated(self) -> None:
        """Guards against a donation that is charged twice."""
        self.spoil(lambda request, raw: None)
        reply = await self.order()
        self.assertEqual(502, reply.status)
        self.assertEqual(1, sum(len(one.runs) for one in self.orders()))

    async def test_extra_answer_belongs_to_nobody(self) -> None:
        """Guards against a caller that gets another one's answer."""
        extra = (
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
            b'X-Response-Signature: s\r\nContent-Length: 5\r\n\r\nother'
        )
        self.spoil(lambda request, raw: extra + raw)
        reply = await self.order()
        self.assertEqual((200, b'POST /order/1 2'), reply[:2])
        self.spoil(lambda request, raw: raw + extra)
        for _ in range(4):
            reply = await self.order()
            self.assertEqual((200, b'POST /order/1 2'), reply[:2])

    async def test_cut_answer_is_no_success(self) -> None:
        """Guards against a part that looks like the whole."""

        def cut(request: web.BaseRequest, raw: bytes) -> bytes:
            assert request.transport is not None
            request.transport.write(raw[:-3])
            request.transport.close()
            return b''

        self.spoil(cut)
        reply = await self.order()
        self.assertEqual(502, reply.status)

    async def test_answer_without_length(self) -> None:
        """Guards against an answer that ends with its connection."""

        def unframed(request: web.BaseRequest, raw: bytes) -> bytes:
            head, _, body = raw.partition(b'\r\n\r\n')
            lines = head.split(b'\r\n')
            kept = [one for one in lines if b'Content-Length' not in one]
            assert request.transport is not None
            request.transport.write(b'\r\n'.join(kept) + b'\r\n\r\n' + body)
            request.transport.close()
            return b''

        self.spoil(unframed)
        reply = await self.order()
        self.assertEqual((200, b'POST /order/1 2'), reply[:2])


class RepeatTest(fleet_case.FleetTest):
    """Requests for keys whose owner does not answer them at once."""

    routers = 1

    def owner(self, key: int) -> upstream.FakeUpstream:
        """Return the upstream that owns a key."""
        return next(one for one in self.fleet.backends if one.holds(key))

    async def view(self) -> fleet.Reply:
        """Send a request that may run more than once."""
        return await self.fleet.ask(self.fleet.routers[0], '/view/x', 7)

    async def test_lost_answer_is_asked_for_again(self) -> None:
        """Guards against a repeat that waits for another owner.

        Nobody but the owner of its key can run the request again.
        """
        owner = self.owner(7)
        answers: list[bytes | None] = [None]

        def lose_first(request: web.BaseRequest, raw: bytes) -> bytes | None:
            return answers.pop() if answers else raw

        owner.response_hook = lose_first
        reply = await self.view()
        self.assertEqual(200, reply.status)
        self.assertEqual(2, len(owner.runs))

    async def test_failure_is_asked_again(self) -> None:
        """Guards against a failure of an upstream that a repeat mends."""
        owner = self.owner(7)
        failures = [b'HTTP/1.1 500 Failed']

        def fail_first(request: web.BaseRequest, raw: bytes) -> bytes:
            if not failures:
                return raw
            return raw.replace(b'HTTP/1.1 200 OK', failures.pop())

        owner.response_hook = fail_first
        reply = await self.view()
        self.assertEqual(200, reply.status)

    async def test_refusal_with_free_slots(self) -> None:
        """Guards against a refusal that is passed on though a slot is free."""
        self.owner(7).shed_next = 1
        reply = await self.view()
        self.assertEqual(200, reply.status)

    async def test_repeats_end(self) -> None:
        """Guards against repeats without end at an upstream that fails."""
        owner = self.owner(7)
        owner.response_hook = lambda request, raw: raw.replace(
            b'HTTP/1.1 200 OK', b'HTTP/1.1 500 Failed'
        )
        reply = await self.view()
        self.assertEqual(500, reply.status)
        self.assertTrue(reply.signature)
        self.assertEqual(2, len(owner.runs))


class ShutdownTest(fleet_case.FleetTest):
    """Planned stops."""

    async def test_no_request_is_cut(self) -> None:
        """Guards against a stop that cuts requests on kept connections.

        Requests arrive on connections that were idle when the listener was
        closed, up to the end of the process.
        """
        router = self.fleet.routers[0]
        statuses: list[int] = []
        router.stop.set()
        begun = time.monotonic()
        while not self.fleet.tasks[router].done():
            try:
                reply = await self.fleet.ask(router, '/view/x', 5)
                statuses.append(reply.status)
            except OSError:
                self.assertGreater(time.monotonic() - begun, 2.0)
            await asyncio.sleep(0.01)
        self.assertEqual({200}, set(statuses))
        self.assertLess(time.monotonic() - begun, 6.0)
