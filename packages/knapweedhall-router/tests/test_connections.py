"""Tests of the connection pool."""

from __future__ import annotations

import asyncio
import random
import time
import unittest

from knapweedhall_router import clock
from knapweedhall_router.serving import connections
from knapweedhall_routing import body_budget
from knapweedhall_routing import model

SHORT_IDLE_S = 0.05
LONG_IDLE_S = 60.0
MAX_OPEN = 3
HEAD = b'POST /x HTTP/1.1\r\n\r\n'
WRITE_BYTES = body_budget.WRITE_BYTES


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """Connections to an upstream that accepts all of them."""

    async def asyncSetUp(self) -> None:
        """Start an upstream that accepts connections and sends nothing."""
        self.server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        self.addAsyncCleanup(self._stop)
        host, port = self.server.sockets[0].getsockname()
        self.pool = connections.Pool(model.Address(host, port))

    async def _stop(self) -> None:
        for connection in self.pool.open:
            connection.close()
        self.server.close()
        await asyncio.sleep(0.01)

    async def _connect(self) -> connections.Connection:
        connection = await self.pool.connect(clock.now() + 1, MAX_OPEN, False)
        connection.expect_response(True)
        return connection

    async def test_connection_is_made_during_a_standstill(self) -> None:
        """Guards against a refusal though the upstream has accepted.

        After a standstill of the process the time limit is handled together
        with the connection. Beside load, test_fleet had a 503,
        "not-connected", for this cause.
        """
        connecting = asyncio.create_task(self._connect())
        # The kernel has set it up at the end of the first step.
        await asyncio.sleep(0)
        time.sleep(1.5 * connections.CONNECT_TIMEOUT_S)
        await connecting

    async def test_idle_limit_of_the_request_is_respected(self) -> None:
        """Guards against a non-idempotent request on a stale connection.

        The upstream may have closed a connection that was idle for longer,
        and would reset it after the request was sent.
        """
        connection = await self._connect()
        self.pool.put_back(connection)
        self.assertTrue(self.pool.has_idle(SHORT_IDLE_S, clock.now()))
        await asyncio.sleep(2 * SHORT_IDLE_S)
        self.assertFalse(self.pool.has_idle(SHORT_IDLE_S, clock.now()))
        self.assertIsNone(self.pool.take(SHORT_IDLE_S))
        self.assertTrue(self.pool.has_idle(LONG_IDLE_S, clock.now()))
        self.assertIs(connection, self.pool.take(LONG_IDLE_S))

    async def test_keep_alive_time_is_respected(self) -> None:
        """Guards against use of a connection that its upstream closes.

        The upstream states in a Keep-Alive header how long it keeps an idle
        connection open.
        """
        connection = await self._connect()
        connection.keep_alive_s = SHORT_IDLE_S
        self.pool.put_back(connection)
        await asyncio.sleep(2 * SHORT_IDLE_S)
        self.assertFalse(self.pool.has_idle(LONG_IDLE_S, clock.now()))
        self.assertIsNone(self.pool.take(LONG_IDLE_S))

    async def test_idle_connection_is_closed_at_the_limit(self) -> None:
        """Guards against new connections that an upstream resets.

        Idle connections count towards its connection limit.
        """
        idle = [await self._connect() for _ in range(MAX_OPEN)]
        for connection in idle:
            self.pool.put_back(connection)
        await self._connect()
        await asyncio.sleep(0.01)
        self.assertEqual(MAX_OPEN, len(self.pool.open))


class ConnectionLimitTest(unittest.IsolatedAsyncioTestCase):
    """An upstream that resets connections beyond its limit."""

    async def asyncSetUp(self) -> None:
        """Start an upstream with a limit of two connections."""
        self.writers: list[asyncio.StreamWriter] = []
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.addAsyncCleanup(self._stop)
        host, port = self.server.sockets[0].getsockname()
        self.pool = connections.Pool(model.Address(host, port))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        if len(self.writers) > 2:
            writer.transport.abort()

    async def _stop(self) -> None:
        for connection in self.pool.open:
            connection.close()
        for writer in self.writers:
            writer.close()
        self.server.close()
        await asyncio.sleep(0.01)

    async def test_reset_is_detected_before_a_request_is_sent(self) -> None:
        """Guards against a non-idempotent request that may have run.

        Once the request is sent over a connection that the upstream resets,
        it can't be retried.
        """
        connection = await self.pool.connect(clock.now() + 1, MAX_OPEN, True)
        connection.expect_response(True)
        self.pool.put_back(connection)
        await self.pool.connect(clock.now() + 1, MAX_OPEN, True)
        with self.assertRaises(ConnectionResetError):
            await self.pool.connect(clock.now() + 1, MAX_OPEN, True)
        self.assertFalse(self.pool.has_idle(LONG_IDLE_S, clock.now()))

    async def test_cancelled_connect_closes_the_connection(self) -> None:
        """Guards against connections that are neither used nor closed.

        A caller may leave while its new connection is watched. A connection
        that is left open counts towards the upstream's connection limit.
        """
        connecting = asyncio.create_task(
            self.pool.connect(clock.now() + 1, MAX_OPEN, True)
        )
        while not self.pool.open:
            await asyncio.sleep(0)
        connecting.cancel()
        await asyncio.wait([connecting])
        await asyncio.sleep(0.01)
        self.assertEqual(set(), self.pool.open)

    async def test_all_are_watched_after_a_reset(self) -> None:
        """Guards against retries due to resets by an upstream at its limit."""
        for _ in range(2):
            await self.pool.connect(clock.now() + 1, MAX_OPEN, False)
        connection = await self.pool.connect(clock.now() + 1, MAX_OPEN, False)
        self.assertTrue(connection.is_new())
        self.pool.record_first_use_reset(0.002)
        with self.assertRaises(ConnectionResetError):
            await self.pool.connect(clock.now() + 1, MAX_OPEN, False)


class SendTest(unittest.IsolatedAsyncioTestCase):
    """Requests with bodies that an upstream reads slowly."""

    async def asyncSetUp(self) -> None:
        """Start an upstream that reads when it is told to."""
        self.may_read = asyncio.Event()
        self.received = asyncio.get_running_loop().create_future()
        self.server = await asyncio.start_server(
            self._read, '127.0.0.1', 0, limit=1024
        )
        self.addCleanup(self.server.close)
        host, port = self.server.sockets[0].getsockname()
        pool = connections.Pool(model.Address(host, port))
        self.connection = await pool.connect(clock.now() + 1, 1, False)
        self.connection.expect_response(True)

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.may_read.wait()
        self.received.set_result(await reader.read(-1))
        writer.close()

    async def test_bodies_arrive_whole(self) -> None:
        """Guards against a body that changes on the way to its upstream."""
        for size in (0, 1, WRITE_BYTES, WRITE_BYTES + 1, 20 * 1024 * 1024):
            with self.subTest(size=size):
                await self.asyncSetUp()
                body = bytearray(random.Random(size).randbytes(size))
                self.connection.send(HEAD, body)
                await asyncio.sleep(0.05)
                self.may_read.set()
                while self.connection.unsent:
                    await asyncio.sleep(0.005)
                self.connection.close()
                self.assertEqual(HEAD + body, await self.received)

    async def test_unread_body_is_not_copied(self) -> None:
        """Guards against a second copy of a body while nobody reads it.

        In a review, bodies took three times the memory that was counted.
        """
        body = bytearray(20 * 1024 * 1024)
        self.connection.send(HEAD, body)
        await asyncio.sleep(0.05)
        assert self.connection.transport is not None
        self.assertLessEqual(
            self.connection.transport.get_write_buffer_size(),
            # The transport asks for a pause above this.
            65536 + WRITE_BYTES,
        )
        self.assertFalse(self.connection.end_sending())
        self.connection.reset()
        # Nothing refers to the body any more.
        body.clear()
