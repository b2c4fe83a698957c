"""Tests of the fake store and its faults, and of the proxy's modes."""

from __future__ import annotations

import asyncio
import time
import unittest

import aiohttp

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store as store_client
from knapweedhall_standins import processor
from knapweedhall_standins import proxy
from knapweedhall_standins import store
from knapweedhall_standins import store_process

TOPIC = 'keyed.t'


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Faults as the client of the store meets them."""

    async def asyncSetUp(self) -> None:
        """Start a store and a client."""
        self.store = store.Store()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.client = store_client.StoreClient(
            self.session, self.store.address
        )

    async def append(self, offset: int, timeout_s: float = 2.0) -> object:
        """Append a record at an offset."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        record = store_client.encode_record('k', b'v')
        return await self.client.append(TOPIC, record, offset, deadline)

    async def test_one_append_wins_an_offset(self) -> None:
        """Guards against two appends that both succeed at one offset."""
        self.assertEqual(outcomes.Appended(0), await self.append(0))
        self.assertEqual(outcomes.Conflict(1), await self.append(0))

    async def test_late_append_keeps_its_condition(self) -> None:
        """Guards against a late append that ignores its expected offset.

        Another record was appended at that offset in the meantime.
        """
        self.store.faults.late_appends = 1
        self.store.faults.late_s = 0.2
        late = await self.append(0, 0.05)
        self.assertIsInstance(late, outcomes.Unavailable)
        self.assertEqual(outcomes.Appended(0), await self.append(0))
        await asyncio.sleep(0.3)
        self.assertEqual(1, self.store.partition(TOPIC).end_offset)

    async def test_stale_listing(self) -> None:
        """Guards against a fault `past_s` that has no effect on listings."""
        await self.append(0)
        self.store.faults.past_s = 0.2
        deadline = asyncio.get_running_loop().time() + 2.0
        page = await self.client.read_newest(TOPIC, deadline)
        self.assertEqual(outcomes.Page(0, ()), page)
        await asyncio.sleep(0.3)
        page = await self.client.read_newest(TOPIC, deadline)
        assert isinstance(page, outcomes.Page)
        self.assertEqual(1, page.next_offset)

    async def test_entry_expires(self) -> None:
        """Guards against a crashed upstream that stays listed."""
        server = store_process.StoreProcess()
        server.put('keyed.servers', 'i', {})
        server.written_at['i'] = -10.0
        task = asyncio.create_task(server.expire_entries())
        await asyncio.sleep(2 * store_process.EXPIRY_CHECK_PERIOD_S)
        task.cancel()
        self.assertEqual({}, server.partition('keyed.servers').newest)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Modes of a link, seen by a client of an echo server."""

    async def asyncSetUp(self) -> None:
        """Start an echo server behind a link, and connect to it."""

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        self.server = await asyncio.start_server(echo, '127.0.0.1', 0)
        self.addCleanup(self.server.close)
        self.link = proxy.Link(self.server.sockets[0].getsockname())
        await self.link.listen('127.0.0.1', 0)
        self.addCleanup(self.link.close)
        assert self.link.server is not None
        port = self.link.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', port
        )
        self.addCleanup(self.writer.close)

    async def is_echoed(self, timeout_s: float = 0.2) -> bool:
        """Send a byte; return whether it comes back in time.

        Time without a processor does not count.
        """
        begun_at = time.monotonic() - processor.wait_s()
        left_s = timeout_s
        self.writer.write(b'x')
        reading = asyncio.create_task(self.reader.read(1))
        while left_s > 0 and not reading.done():
            await asyncio.wait((reading,), timeout=left_s)
            spent_s = time.monotonic() - processor.wait_s() - begun_at
            left_s = timeout_s - spent_s
        reading.cancel()
        await asyncio.wait((reading,))
        return not reading.cancelled() and bool(reading.result())

    async def test_held_back_data_arrives_later(self) -> None:
        """Guards against data lost by a link that should only delay it."""
        self.assertTrue(await self.is_echoed())
        for mode in (
            proxy.Mode.SILENT,
            proxy.Mode.NO_ANSWERS,
            proxy.Mode.NO_REQUESTS,
        ):
            with self.subTest(mode=mode):
                self.link.set_mode(mode)
                self.assertFalse(await self.is_echoed(0.05))
                self.link.set_mode(proxy.Mode.PASS)
                self.assertEqual(b'x', await self.reader.read(1))

    async def test_reset(self) -> None:
        """Guards against a reset that the client sees as an orderly close."""
        self.assertTrue(await self.is_echoed())
        self.link.set_mode(proxy.Mode.RESET)
        with self.assertRaises(ConnectionResetError):
            await self.reader.read(1)
