"""Tests of connections that are kept for reuse."""

from __future__ import annotations

import asyncio
import unittest

from knapweedhall_router import clock
from knapweedhall_router import connections
from knapweedhall_routing import model

IDLE_S = 0.05
LONG_S = 60.0
MOST = 3


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """Connections to one upstream."""

    async def asyncSetUp(self) -> None:
        """Start an upstream that only accepts connections."""
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
        connection = await self.pool.connect(clock.now() + 1, MOST, False)
        connection.expect_answer(True)
        return connection

    async def test_connection_is_taken_while_it_is_trusted(self) -> None:
        """Guards against an unsafe request on a forgotten connection."""
        kept = await self._connect()
        self.pool.put_back(kept)
        self.assertTrue(self.pool.has_idle(IDLE_S, clock.now()))
        await asyncio.sleep(2 * IDLE_S)
        self.assertFalse(self.pool.has_idle(IDLE_S, clock.now()))
        self.assertIsNone(self.pool.take(IDLE_S))
        self.assertTrue(self.pool.has_idle(LONG_S, clock.now()))
        self.assertIs(kept, self.pool.take(LONG_S))

    async def test_stated_timeout_is_kept(self) -> None:
        """Guards against use of a connection that its upstream closes."""
        kept = await self._connect()
        kept.keep_alive_s = IDLE_S
        self.pool.put_back(kept)
        await asyncio.sleep(2 * IDLE_S)
        self.assertFalse(self.pool.has_idle(LONG_S, clock.now()))
        self.assertIsNone(self.pool.take(LONG_S))

    async def test_idle_connections_make_room(self) -> None:
        """Guards against new connections that an upstream resets.

        Idle ones count towards the number that it accepts.
        """
        found = [await self._connect() for _ in range(MOST)]
        for one in found:
            self.pool.put_back(one)
        await self._connect()
        await asyncio.sleep(0.01)
        self.assertEqual(MOST, len(self.pool.open))


class FullUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """An upstream that resets what exceeds its connections."""

    async def asyncSetUp(self) -> None:
        """Start an upstream that accepts two connections."""
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

    async def test_reset_is_known_before_a_request_is_sent(self) -> None:
        """Guards against an unsafe request whose fate nobody knows."""
        kept = await self.pool.connect(clock.now() + 1, MOST, True)
        kept.expect_answer(True)
        self.pool.put_back(kept)
        await self.pool.connect(clock.now() + 1, MOST, True)
        with self.assertRaises(ConnectionResetError):
            await self.pool.connect(clock.now() + 1, MOST, True)
        self.assertFalse(self.pool.has_idle(LONG_S, clock.now()))

    async def test_caller_that_leaves_meanwhile_leaves_no_connection(
        self,
    ) -> None:
        """Guards against connections that nobody uses and nobody closes.

        They count towards the number that the upstream accepts.
        """
        watching = asyncio.create_task(
            self.pool.connect(clock.now() + 1, MOST, True)
        )
        while not self.pool.open:
            await asyncio.sleep(0)
        watching.cancel()
        await asyncio.wait([watching])
        await asyncio.sleep(0.01)
        self.assertEqual(set(), self.pool.open)

    async def test_all_are_watched_after_a_reset(self) -> None:
        """Guards against repeats at an upstream that is full."""
        for _ in range(2):
            await self.pool.connect(clock.now() + 1, MOST, False)
        fresh = await self.pool.connect(clock.now() + 1, MOST, False)
        self.assertTrue(fresh.is_new())
        self.pool.broke_at_once(0.002)
        with self.assertRaises(ConnectionResetError):
            await self.pool.connect(clock.now() + 1, MOST, False)
