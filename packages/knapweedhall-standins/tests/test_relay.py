"""Tests of the link relay."""

from __future__ import annotations

import asyncio
import unittest

from knapweedhall_events import trace

from knapweedhall_standins import relay

IP = '127.0.0.1'


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Experiments rely on cuts that let nothing through."""

    async def asyncSetUp(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        server = await asyncio.start_server(self._echo, IP, 0)
        self.addCleanup(server.close)
        target = server.sockets[0].getsockname()[1]
        self.relay = relay.Relay(trace.TraceWriter('relay'))
        self.addCleanup(self.relay.close)
        await self.relay.add(
            {
                'listen': f'{IP}:0',
                'target': f'{IP}:{target}',
                'domains': (2, 1),
            }
        )
        port = self.relay.servers[0].sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(IP, port)
        self.addCleanup(self.writer.close)

    async def _echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(100):
            self.received.put_nowait(data)
            writer.write(data)
        self.received.put_nowait(b'')
        writer.close()

    async def _settle(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0.001)

    async def test_bytes_and_end_are_forwarded(self) -> None:
        """Guards against an end of stream that does not arrive."""
        self.writer.write(b'one')
        self.assertEqual(b'one', await self.reader.readexactly(3))
        self.writer.write_eof()
        self.assertEqual(b'', await self.reader.read())
        self.assertEqual(b'one', await self.received.get())
        self.assertEqual(b'', await self.received.get())

    async def test_cut_holds_bytes_and_end_until_restored(self) -> None:
        """Guards against a partition that closes or leaks connections."""
        self.relay.cut([(1, 2)])
        self.writer.write(b'one')
        self.writer.write_eof()
        await self._settle()
        self.assertTrue(self.received.empty())
        self.assertFalse(self.reader.at_eof())
        self.relay.cut([])
        self.assertEqual(b'one', await self.reader.read())

    async def test_other_pairs_stay_connected(self) -> None:
        """Guards against a cut that partitions more than it names."""
        self.relay.cut([(1, 3)])
        self.writer.write(b'one')
        self.assertEqual(b'one', await self.reader.readexactly(3))
