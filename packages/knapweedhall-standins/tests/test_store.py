"""Tests of the stand-in store and its faults."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store as client
from knapweedhall_standins import proxy
from knapweedhall_standins import store
from knapweedhall_standins import store_process

TOPIC = 'keyed.t'


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Faults as the product's client sees them."""

    async def asyncSetUp(self) -> None:
        """Start a store and a client."""
        self.store = store.Store()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.client = client.StoreClient(self.session, self.store.address)

    async def append(self, at: int, seconds: float = 2.0) -> object:
        """Append a record at an offset."""
        deadline = asyncio.get_running_loop().time() + seconds
        record = client.encode_record('k', b'v')
        return await self.client.append(TOPIC, record, at, deadline)

    async def test_one_append_wins_an_offset(self) -> None:
        """Guards against two writers who are both told yes."""
        self.assertEqual(outcomes.Appended(0), await self.append(0))
        self.assertEqual(outcomes.Conflict(1), await self.append(0))

    async def test_late_append_keeps_its_condition(self) -> None:
        """Guards against a late append that lands behind another one."""
        self.store.faults.late_appends = 1
        self.store.faults.late_s = 0.2
        late = await self.append(0, 0.05)
        self.assertIsInstance(late, outcomes.Unavailable)
        self.assertEqual(outcomes.Appended(0), await self.append(0))
        await asyncio.sleep(0.3)
        self.assertEqual(1, self.store.partition(TOPIC).end)

    async def test_listing_of_the_past(self) -> None:
        """Guards against a stand-in that is always up to date."""
        await self.append(0)
        self.store.faults.past_s = 0.2
        deadline = asyncio.get_running_loop().time() + 2.0
        page = await self.client.read_newest(TOPIC, deadline)
        self.assertEqual(outcomes.Page(0, ()), page)
        await asyncio.sleep(0.3)
        page = await self.client.read_newest(TOPIC, deadline)
        assert isinstance(page, outcomes.Page)
        self.assertEqual(1, page.next_offset)

    async def test_silent_entry_is_dropped(self) -> None:
        """Guards against a crashed upstream that stays listed."""
        found = store_process.StoreProcess()
        found.put('keyed.servers', 'i', {})
        found.written_at['i'] = -10.0
        task = asyncio.create_task(found.expire())
        await asyncio.sleep(2 * store_process.EXPIRY_CHECK_S)
        task.cancel()
        self.assertEqual({}, found.partition('keyed.servers').newest)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Links that are harmed."""

    async def asyncSetUp(self) -> None:
        """Start an echo behind a link."""

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

    async def answers(self, seconds: float = 0.2) -> bool:
        """Return whether an answer comes in time."""
        self.writer.write(b'x')
        try:
            async with asyncio.timeout(seconds):
                return bool(await self.reader.read(1))
        except TimeoutError:
            return False

    async def test_silence_ends(self) -> None:
        """Guards against bytes that a healed link has lost."""
        self.assertTrue(await self.answers())
        for mode in (
            proxy.Mode.SILENT,
            proxy.Mode.NO_ANSWERS,
            proxy.Mode.NO_REQUESTS,
        ):
            with self.subTest(mode=mode):
                self.link.set_mode(mode)
                self.assertFalse(await self.answers(0.05))
                self.link.set_mode(proxy.Mode.PASS)
                self.assertEqual(b'x', await self.reader.read(1))

    async def test_reset(self) -> None:
        """Guards against a reset that looks like an orderly end."""
        self.assertTrue(await self.answers())
        self.link.set_mode(proxy.Mode.RESET)
        with self.assertRaises(ConnectionResetError):
            await self.reader.read(1)
