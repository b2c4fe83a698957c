"""Tests of the connections of callers alone."""

from __future__ import annotations

import asyncio
import math
import random
import unittest
from unittest import mock

from aiohttp import web

from knapweedhall_router.serving import caller_connections

HOST = '127.0.9.250'
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
HEAD_CHUNKED = (
    b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
)
UPLOAD_BYTES = 1024 * 1024
HANDLER_S = 0.1
# More than a head may have.
BODY_BYTES = 2 * caller_connections.MAX_HEAD_BYTES
TIMEOUT_S = 5.0
CLOSED_CONNECTIONS = 100
# Checked and not yet acknowledged.
MAX_KEPT = 10


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """A connection whose first request is handled."""

    async def asyncSetUp(self) -> None:
        """Start a server and send it the first request."""
        self.count = 0
        self.server = caller_connections.CallerServer(
            self.handle, access_log=None, handler_cancellation=True
        )
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self.server, HOST, 0)
        self.addCleanup(listener.close)
        address = listener.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.addCleanup(self.writer.close)
        self.writer.write(HEAD % 0)
        await asyncio.sleep(HANDLER_S / 4)
        (self.connection,) = self.server.caller_connections()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond with the length of the body."""
        connection = request.protocol
        assert isinstance(connection, caller_connections.CallerConnection)
        connection.record_request(request.content)
        self.count += 1
        try:
            await asyncio.sleep(HANDLER_S)
            return web.Response(text=str(len(await request.read())))
        finally:
            connection.record_response()

    async def read_response(self) -> bytes:
        """Return the body of the next response."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            length = head.lower().split(b'content-length: ')[1].split()[0]
            return await self.reader.readexactly(int(length))


class WaitingRequestTest(ConnectionCase):
    """A request that waits while the one before it is handled.

    The server takes it out of its queue one cycle of the event loop before
    its handler begins.
    """

    async def test_idle_connections_are_closed(self) -> None:
        """Guards against whole requests that a stop leaves unanswered."""
        self.writer.write(HEAD % 0)

        async def close_idle() -> None:
            while self.count < 2:
                self.server.close_idle()
                await asyncio.sleep(0)

        closing = asyncio.create_task(close_idle())
        self.addCleanup(closing.cancel)
        for _ in range(2):
            self.assertEqual(b'0', await self.read_response())

    async def test_body_arrives(self) -> None:
        """Guards against a body that counts as a head that is too large."""
        self.writer.write(HEAD % BODY_BYTES)
        await asyncio.sleep(HANDLER_S / 4)
        body = bytes(BODY_BYTES)
        while self.count < 2:
            is_taken = not self.connection.has_waiting_request()
            if is_taken and not self.connection.running and body:
                self.connection.data_received(body)
                body = b''
            await asyncio.sleep(0)
        self.assertEqual(b'', body)
        self.assertEqual(b'0', await self.read_response())
        self.assertEqual(str(BODY_BYTES).encode(), await self.read_response())


class CountTest(ConnectionCase):
    """Bytes that count as a part of a head."""

    seeds = range(40)
    parts = (
        (HEAD % 0, b''),
        (HEAD % 9, b'\r\n\r\nwork.'),
        (HEAD % 3, b'abc\r\n'),
        (HEAD % BODY_BYTES, bytes(BODY_BYTES)),
        (
            HEAD.replace(b'Content-Length: %d', b'Transfer-Encoding: chunked'),
            b'6\r\na\r\n\r\nb\r\n0\r\n\r\n',
        ),
    )

    async def test_requests_in_random_parts(self) -> None:
        """Guards against bytes of bodies that count as a head.

        The connection would be closed: for its bytes, or as its head takes
        too long.
        """
        for seed in self.seeds:
            rng = random.Random(seed)
            with self.subTest(seed=seed):
                head, body = rng.choice(self.parts)
                raw = head + body
                cuts = {len(head) - rng.randrange(5), rng.randrange(len(raw))}
                begin = 0
                for end in (*sorted(cuts), len(raw)):
                    self.writer.write(raw[begin:end])
                    begin = end
                    await asyncio.sleep(0.005)
                await self.read_response()
                while self.connection.running:
                    await asyncio.sleep(0)
                self.assertEqual(0, self.connection.head_bytes)
                self.assertEqual(math.inf, self.connection.head_since)
                self.assertEqual(0, sum(self.connection.request_bytes))

    async def asyncSetUp(self) -> None:
        """Read the response of the first request."""
        await super().asyncSetUp()
        await self.read_response()

    async def test_part_of_a_head_behind_a_request(self) -> None:
        """Guards against a head without a limit of its time."""
        part = (HEAD % 0)[:20]
        for head, body in self.parts:
            with self.subTest(head=head):
                await self.asyncSetUp()
                self.writer.write(head + body + part)
                await self.read_response()
                while self.connection.running:
                    await asyncio.sleep(0)
                self.assertFalse(self.connection.is_idle())
                self.assertEqual(0, self.server.close_slow(TIMEOUT_S))
                self.assertEqual(1, self.server.close_slow(-1))


class ChunkedBodyTest(ConnectionCase):
    """Uploads whose length is not known."""

    async def upload(self, chunk: bytes) -> list[int]:
        """Upload chunks without end; return the sizes of the reads."""
        await self.read_response()
        sizes: list[int] = []
        receive = self.connection.data_received

        def record(data: bytes) -> None:
            sizes.append(len(data))
            receive(data)

        with mock.patch.object(
            caller_connections.CallerConnection,
            'data_received',
            lambda connection, data: record(data),
        ):
            self.writer.write(HEAD_CHUNKED)
            await asyncio.sleep(HANDLER_S / 4)
            for _ in range(8):
                self.writer.write(chunk * (UPLOAD_BYTES // 8 // len(chunk)))
                await self.writer.drain()
            async with asyncio.timeout(TIMEOUT_S):
                while sum(sizes) < UPLOAD_BYTES // 2:
                    await asyncio.sleep(0.01)
        return sizes

    async def test_tiny_chunks_are_read_in_small_parts(self) -> None:
        """Guards against others that wait while one upload is parsed.

        One read of 256 KB of chunks of one byte took 139 ms.
        """
        sizes = await self.upload(b'1\r\nx\r\n')
        self.assertLessEqual(max(sizes), caller_connections.READ_BYTES)

    async def test_large_chunks_are_read_in_large_parts(self) -> None:
        """Guards against uploads that are slower for their framing."""
        sizes = await self.upload(b'4000\r\n' + bytes(0x4000) + b'\r\n')
        self.assertGreater(max(sizes), caller_connections.READ_BYTES)


class UnreadResponseTest(ConnectionCase):
    """A caller that sends requests and does not read the responses."""

    body = bytes(60000)
    # More than the buffers of the kernel take.
    request_count = 400

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond at once."""
        self.count += 1
        return web.Response(body=self.body)

    async def test_responses_are_not_added_up(self) -> None:
        """Guards against responses that are held and no longer counted.

        Up to 64 KB of them were kept besides the one being sent.
        """
        self.writer.transport.pause_reading()
        self.writer.write(HEAD % 0 * self.request_count)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.connection.unsent_bytes():
                await asyncio.sleep(0)
        known = 0
        while known < self.count:
            known = self.count
            await asyncio.sleep(HANDLER_S)
        self.assertLess(known, self.request_count)
        size = len(self.body) + 1000
        self.assertLess(self.connection.unsent_bytes(), size)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Connections that are closed in a stop."""

    async def test_many_connections_are_closed(self) -> None:
        """Guards against sockets that are kept although all has arrived."""

        async def handle(request: web.BaseRequest) -> web.Response:
            response = web.Response()
            response.force_close()
            return response

        server = caller_connections.CallerServer(handle, access_log=None)
        server.is_stopping = True
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, HOST, 0)
        self.addCleanup(listener.close)
        address = listener.sockets[0].getsockname()
        for _ in range(CLOSED_CONNECTIONS):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD % 0)
            self.assertIn(b' 200 ', await reader.read())
            writer.close()
            self.assertLess(len(server.closed), MAX_KEPT)
        async with asyncio.timeout(TIMEOUT_S):
            while server.is_sending():
                await asyncio.sleep(0.01)
        self.assertFalse(server.closed)
