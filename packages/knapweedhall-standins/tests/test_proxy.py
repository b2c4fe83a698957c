"""Tests of data that the proxy holds back."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import unittest

from knapweedhall_standins import proxy

HOST = '127.0.0.1'
SETTLE_S = 0.1


class SilentLinkTest(unittest.IsolatedAsyncioTestCase):
    """Data that a link in the mode `SILENT` holds back."""

    async def asyncSetUp(self) -> None:
        """Start a target behind a link; send a byte before the silence."""
        self.received = bytearray()
        self.target = await asyncio.start_server(self._receive, HOST, 0)
        self.addCleanup(self.target.close)
        port = self.target.sockets[0].getsockname()[1]
        self.link = proxy.Link((HOST, port))
        await self.link.listen(HOST, 0)
        self.addCleanup(self.link.close)
        assert self.link.server is not None
        port = self.link.server.sockets[0].getsockname()[1]
        _, self.writer = await asyncio.open_connection(HOST, port)
        self.writer.write(b'a')
        await asyncio.sleep(SETTLE_S)
        self.link.set_mode(proxy.Mode.SILENT)
        self.writer.write(b'b')
        await asyncio.sleep(SETTLE_S)

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(1):
                self.received += data
        except ConnectionError:
            return
        finally:
            writer.close()

    async def test_data_arrives_after_the_silence(self) -> None:
        """Guards against a link that loses data it should only delay."""
        self.link.set_mode(proxy.Mode.PASS)
        await asyncio.sleep(SETTLE_S)
        self.writer.close()
        self.assertEqual(b'ab', self.received)

    async def test_data_of_a_reset_connection_is_lost(self) -> None:
        """Guards against a grant that arrives after its sender gave it up.

        On the platform, data held back by a network partition is lost when
        its sender resets the connection. A proxy that kept the data delivered
        a grant in the soak 5 s after its sender had given it up.
        """
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.writer.transport.abort()
        await asyncio.sleep(SETTLE_S)
        self.link.set_mode(proxy.Mode.PASS)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(b'a', self.received)


class FullLinkTest(unittest.IsolatedAsyncioTestCase):
    """A link that passes a limited number of bytes in a second."""

    async def test_rate_of_all_connections(self) -> None:
        """Guards against data that is lost, or passes faster than the rate.

        The target closes its connections right after the data, which the link
        still has to deliver.
        """
        size, count, rate = 200000, 2, 1e6

        async def send(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b'x' * size)
            writer.close()

        target = await asyncio.start_server(send, HOST, 0)
        self.addCleanup(target.close)
        link = proxy.Link((HOST, target.sockets[0].getsockname()[1]))
        await link.listen(HOST, 0)
        self.addCleanup(link.close)
        link.bytes_per_s = rate
        assert link.server is not None
        port = link.server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        connections = [
            await asyncio.open_connection(HOST, port) for _ in range(count)
        ]
        async with asyncio.timeout(5.0):
            received = await asyncio.gather(
                *(reader.read(-1) for reader, _ in connections)
            )
        for _, writer in connections:
            writer.close()
        self.assertEqual([size] * count, [len(data) for data in received])
        self.assertGreaterEqual(loop.time() - began_at, size * count / rate)


class UndeliveredTest(unittest.IsolatedAsyncioTestCase):
    """Data that a target did not receive before it closed."""

    async def test_data_in_the_link_at_the_close(self) -> None:
        """Guards against delivered data that counts as undelivered."""
        received = bytearray()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.extend(await reader.read(1))
            await asyncio.sleep(SETTLE_S)
            writer.close()

        target = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(target.close)
        link = proxy.Link((HOST, target.sockets[0].getsockname()[1]))
        await link.listen(HOST, 0)
        self.addCleanup(link.close)
        assert link.server is not None
        port = link.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b'a')
        await asyncio.sleep(SETTLE_S / 2)
        link.set_mode(proxy.Mode.PASS, delay_s=2 * SETTLE_S)
        writer.write(b'b')
        self.assertEqual(b'', await reader.read())
        writer.close()
        self.assertEqual(b'a', received)
        self.assertEqual([b'b'], link.undelivered)

    async def test_data_for_a_target_that_refuses(self) -> None:
        """Guards against requests to an ended process that count as cut.

        In seed 990040 they were sent by a link to a router whose listener was
        closed, and reached nobody.
        """
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            link = proxy.Link(unused.getsockname())
            await link.listen(HOST, 0)
            self.addCleanup(link.close)
            assert link.server is not None
            port = link.server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b'a')
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(b'', await reader.read())
            writer.close()
        self.assertEqual(([b'a'], []), (link.refused, link.undelivered))


class PassedResetTest(unittest.IsolatedAsyncioTestCase):
    """Resets by one side of a connection."""

    async def test_reset_reaches_the_other_side(self) -> None:
        """Guards against a reset that the other side sees as an orderly end.

        In seed 970005, responses without a length that an upstream had cut by
        a reset looked whole to the routers.
        """
        ends: asyncio.Queue[str] = asyncio.Queue()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            command = await reader.readline()
            if command == b'reset\n':
                writer.write(b'part')
                await asyncio.sleep(SETTLE_S)
                proxy.reset_connection(writer.transport)
                return
            try:
                ends.put_nowait(repr(await reader.read()))
            except ConnectionResetError:
                ends.put_nowait('reset')
            writer.close()

        target = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(target.close)
        link = proxy.Link((HOST, target.sockets[0].getsockname()[1]))
        await link.listen(HOST, 0)
        self.addCleanup(link.close)
        assert link.server is not None
        port = link.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b'reset\n')
        self.assertEqual(b'part', await reader.read(4))
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        writer.close()
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(b'wait\n')
        await asyncio.sleep(SETTLE_S)
        proxy.reset_connection(writer.transport)
        async with asyncio.timeout(1.0):
            self.assertEqual('reset', await ends.get())
