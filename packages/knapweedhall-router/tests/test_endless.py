"""Tests of upstreams and callers that send without end."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import resource
import time
import typing

from aiohttp import web

from knapweedhall_standins import endless
from knapweedhall_standins import processor
from knapweedhall_standins import upstream
from tests import fleet_case

# An instance has 200 MB at least, of which it needs about 50 for itself; the
# rest is shared by requests and responses.
MAX_GROWTH_BYTES = 100_000_000
# Other requests take about 20 ms. The process of the test also runs the sender
# and stops for each of its blocks.
MAX_OTHER_S = 0.5


def resident_bytes() -> int:
    """Return the memory of this process (proc(5), statm), bytes."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


class MemoryWatch:
    """Measures by how much the memory of the process grows.

    Attributes
    ----------
    growth_bytes : int
        Largest growth since the start.
    """

    def __init__(self) -> None:
        self.begin_bytes = resident_bytes()
        self.growth_bytes = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            growth_bytes = resident_bytes() - self.begin_bytes
            self.growth_bytes = max(self.growth_bytes, growth_bytes)
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def watch_memory() -> typing.AsyncIterator[MemoryWatch]:
    """Measure the growth of memory during the context."""
    watch = MemoryWatch()
    task = asyncio.create_task(watch.run())
    try:
        yield watch
    finally:
        task.cancel()


class EndlessResponseTest(fleet_case.FleetTest):
    """Upstreams that send bytes until the connection is closed."""

    routers = 1

    def orders_upstreams(self) -> list[upstream.FakeUpstream]:
        """Return the upstreams of the service without owned keys."""
        return [
            fake_upstream
            for fake_upstream in self.fleet.upstreams
            if not fake_upstream.divided
        ]

    async def send_others(self, ended: asyncio.Event) -> list[float]:
        """Send requests to other upstreams; return how long they took.

        Times without a processor do not count: on a machine with four times
        as many busy processes as processors they were 80% of the total.
        """
        router, durations = self.fleet.routers[0], []
        while not ended.is_set():
            started_at = time.monotonic() - processor.wait_s()
            response = await self.fleet.send_request(
                router, '/view/x', 7, timeout_ms=20000
            )
            self.assertEqual(200, response.status)
            durations.append(
                time.monotonic() - processor.wait_s() - started_at
            )
            await asyncio.sleep(0.02)
        return durations

    async def test_endless_responses_end(self) -> None:
        """Guards against one upstream that ends every instance by memory.

        An endless body took 670 to 1,200 MB within 2 s, where an instance has
        200 MB. Each request gets its own right response: 502 or, if its time
        ends first, 504, since it may have run; or its whole response if only
        bytes after it go on.
        """
        router = self.fleet.routers[0]
        # The time limit of the other requests is not what is tested.
        view = self.fleet.route('view', '/view/', 'safe', 'views')
        view[4] = 20.0
        order = self.fleet.route('order', '/order/', 'unsafe', 'orders')
        self.fleet.configure([view, order])
        await self.fleet.wait_until(
            lambda: router.state.configuration.version == self.fleet.version
        )
        for kind in endless.Kind:
            with self.subTest(kind=kind):
                for fake_upstream in self.orders_upstreams():
                    fake_upstream.endless = kind
                ended = asyncio.Event()
                async with watch_memory() as watch:
                    others = asyncio.create_task(self.send_others(ended))
                    responses = await asyncio.gather(
                        *(
                            self.fleet.send_request(
                                router, '/order/1', body=b'{}'
                            )
                            for _ in range(4)
                        )
                    )
                    ended.set()
                    durations = await others
                for response in responses:
                    if kind is endless.Kind.SURPLUS:
                        self.assertEqual(200, response.status)
                        self.assertEqual(b'POST /order/1 2', response.body)
                    else:
                        self.assertIn(response.status, (502, 504))
                self.assertLess(watch.growth_bytes, MAX_GROWTH_BYTES)
                self.assertLess(max(durations), MAX_OTHER_S)

    async def test_request_runs_at_a_sound_upstream(self) -> None:
        """Guards against a failure that a retry would avoid."""
        running = self.fleet
        running.configure(
            [running.route('order', '/order/', 'safe', 'orders')]
        )
        router = running.routers[0]
        await running.wait_until(
            lambda: router.state.configuration.version == running.version
        )
        self.orders_upstreams()[0].endless = endless.Kind.CHUNKS
        for _ in range(6):
            response = await running.send_request(router, '/order/1')
            self.assertEqual(
                (200, b'GET /order/1 0'), (response.status, response.body)
            )

    async def test_endless_upstream_is_avoided(self) -> None:
        """Guards against first attempts that keep going to such an upstream.

        The metric tells the failures from those of other causes.
        """
        running = self.fleet
        running.configure(
            [running.route('order', '/order/', 'safe', 'orders')]
        )
        router = running.routers[0]
        await running.wait_until(
            lambda: router.state.configuration.version == running.version
        )
        self.orders_upstreams()[0].endless = endless.Kind.EMPTY_LINES
        for _ in range(20):
            response = await running.send_request(router, '/order/1')
            self.assertEqual(200, response.status)
        counts = router.dispatcher.broken_counts
        self.assertEqual(['too-many-empty-lines'], list(counts))
        self.assertLessEqual(sum(counts.values()), 5)

    async def test_large_response_is_passed_on(self) -> None:
        """Guards against limits that cut proper responses."""
        body = bytes(range(256)) * 32768
        router = self.fleet.routers[0]

        def enlarge(request: web.BaseRequest, raw: bytes) -> bytes:
            head, _, old_body = raw.partition(b'\r\n\r\n')
            length = f'Content-Length: {len(body)}'.encode()
            head = head.replace(
                f'Content-Length: {len(old_body)}'.encode(), length
            )
            return head + b'\r\n\r\n' + body

        for fake_upstream in self.orders_upstreams():
            fake_upstream.response_hook = enlarge
        for _ in range(8):
            response = await self.fleet.send_request(
                router, '/order/1', body=b'{}', timeout_ms=5000
            )
            self.assertEqual(200, response.status)
            self.assertEqual(body, response.body)
        # The connection of the caller is still open.
        self.assertEqual(0, router.dispatcher.buffers.budget.total)

    async def test_large_response_in_small_chunks(self) -> None:
        """Guards against a limit of framing that cuts a proper response."""
        body = bytes(range(100)) * 20000
        chunks = b''.join(
            b'64\r\n' + body[begin : begin + 100] + b'\r\n'
            for begin in range(0, len(body), 100)
        )

        def divide(request: web.BaseRequest, raw: bytes) -> bytes:
            head, _, old_body = raw.partition(b'\r\n\r\n')
            length = f'Content-Length: {len(old_body)}'.encode()
            head = head.replace(length, b'Transfer-Encoding: chunked')
            return head + b'\r\n\r\n' + chunks + b'0\r\n\r\n'

        for fake_upstream in self.orders_upstreams():
            fake_upstream.response_hook = divide
        response = await self.fleet.send_request(
            self.fleet.routers[0], '/order/1', body=b'{}', timeout_ms=5000
        )
        self.assertEqual(200, response.status)
        self.assertEqual(body, response.body)

    async def test_length_of_a_response_to_head(self) -> None:
        """Guards against a limit for a body that is not sent."""

        def respond(request: web.BaseRequest, raw: bytes) -> bytes:
            head, _, body = raw.partition(b'\r\n\r\n')
            length = f'Content-Length: {len(body)}'.encode()
            return (
                head.replace(length, b'Content-Length: 90000000') + b'\r\n\r\n'
            )

        for fake_upstream in self.orders_upstreams():
            fake_upstream.response_hook = respond
        router = self.fleet.routers[0]
        async with self.fleet.session.head(
            f'http://{router.settings.front}/order/1',
            headers={'Host': 'shop.example', 'X-Attempt-Id': 'h1'},
        ) as response:
            self.assertEqual(200, response.status)


class EndlessCallerTest(fleet_case.FleetTest):
    """Callers that never end the head or the body of a request."""

    routers = 1

    async def send_raw(
        self, begin: bytes, repeated: bytes, pause_s: float
    ) -> bytes:
        """Send until the router closes; return what it sent."""
        router = self.fleet.routers[0]
        reader, writer = await asyncio.open_connection(*router.settings.front)
        received = asyncio.create_task(reader.read(4096))
        writer.write(begin)
        try:
            async with asyncio.timeout(8.0):
                while not writer.is_closing() and not received.done():
                    writer.write(repeated)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
            return await received
        except ConnectionError:
            return b''
        finally:
            received.cancel()
            writer.transport.abort()

    async def test_endless_callers_are_cut(self) -> None:
        """Guards against callers that use up memory or connections."""
        head = b'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n'
        chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
        for begin, repeated, pause_s in (
            (head + b'X-Field: ', b'x' * 16384, 0.0),
            (head, b'X-Field: 1\r\n' * 1000, 0.0),
            (head, b'X-Field: 1\r\n', 0.2),
            (chunked, b'5\r\nhello\r\n' * 3000, 0.0),
            (chunked, b'5\r\nhello\r\n', 0.1),
            (chunked + b'5;x=', b'x' * 16384, 0.0),
        ):
            with self.subTest(begin=begin[-20:], repeated=repeated[:12]):
                async with watch_memory() as watch:
                    answer = await self.send_raw(begin, repeated, pause_s)
                self.assertNotIn(b' 200 ', answer)
                self.assertLess(watch.growth_bytes, MAX_GROWTH_BYTES)
        response = await self.fleet.send_request(
            self.fleet.routers[0], '/order/1', body=b'{}'
        )
        self.assertEqual(200, response.status)

    async def test_refusal_of_a_large_body_arrives(self) -> None:
        """Guards against a reset that destroys the response on its way.

        The caller sends the rest of the body while the router closes.
        """
        router = self.fleet.routers[0]
        reader, writer = await asyncio.open_connection(*router.settings.front)
        self.addCleanup(writer.transport.abort)
        writer.write(
            b'POST /other/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Content-Length: 8000000\r\n\r\n'
        )
        for _ in range(8):
            writer.write(b'x' * 1_000_000)
            await writer.drain()
            await asyncio.sleep(0.02)
        answer = await asyncio.wait_for(reader.read(4096), 2.0)
        self.assertIn(b' 404 ', answer)
