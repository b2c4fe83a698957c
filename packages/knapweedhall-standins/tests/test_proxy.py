"""Tests of the proxy that harms links."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

from knapweedhall_standins import proxy

HOST = '127.0.0.1'
HELD_S = 0.1


class SilentLinkTest(unittest.IsolatedAsyncioTestCase):
    """Bytes that a link without power holds up."""

    async def asyncSetUp(self) -> None:
        """Start a target behind a link, and send a byte before the harm."""
        self.received = bytearray()
        self.target = await asyncio.start_server(self._take, HOST, 0)
        self.addCleanup(self.target.close)
        port = self.target.sockets[0].getsockname()[1]
        self.link = proxy.Link((HOST, port))
        await self.link.listen(HOST, 0)
        self.addCleanup(self.link.close)
        assert self.link.server is not None
        port = self.link.server.sockets[0].getsockname()[1]
        _, self.writer = await asyncio.open_connection(HOST, port)
        self.writer.write(b'a')
        await asyncio.sleep(HELD_S)
        self.link.set_mode(proxy.Mode.SILENT)
        self.writer.write(b'b')
        await asyncio.sleep(HELD_S)

    async def _take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(1):
                self.received += data
        except ConnectionError:
            return
        finally:
            writer.close()

    async def test_bytes_arrive_after_the_harm(self) -> None:
        """Guards against a link that loses what it should only delay."""
        self.link.set_mode(proxy.Mode.PASS)
        await asyncio.sleep(HELD_S)
        self.writer.close()
        self.assertEqual(b'ab', self.received)

    async def test_bytes_of_a_reset_connection_are_lost(self) -> None:
        """Guards against orders that no network would deliver.

        The platform loses what a partition holds up when its sender resets
        the connection; the soak saw a grant that had been given up 5 s before.
        """
        wire = self.writer.get_extra_info('socket')
        wire.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.writer.transport.abort()
        await asyncio.sleep(HELD_S)
        self.link.set_mode(proxy.Mode.PASS)
        await asyncio.sleep(HELD_S)
        self.assertEqual(b'a', self.received)
