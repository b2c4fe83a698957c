"""Tests of connections that are kept for reuse."""

from __future__ import annotations

import asyncio
import unittest

from knapweedhall_router import clock
from knapweedhall_router import connections
from knapweedhall_routing import model

IDLE_S = 0.05
LONG_S = 60.0


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
        self.pool.close()
        self.server.close()

    async def _connect(self) -> connections.Connection:
        connection = await self.pool.connect(clock.now() + 1)
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
