"""Tests of what the parsing of a response without end takes."""

from __future__ import annotations

import asyncio
import typing
import unittest
from unittest import mock

from aiohttp import client_proto
from aiohttp import streams

from knapweedhall_router.serving import connections

READ_BYTES = 65536
# More than any limit lets pass without a body.
MAX_READS = 100
# Bounds for one response; counts do not depend on the speed of the machine. A
# chunk takes the parser a fraction of the time of a call.
MAX_CALLS = 3000
MAX_CHUNKS = 12000
HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: current\r\n'
    b'X-Response-Signature: s.1\r\n'
)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
EMPTY = HEAD + b'Content-Length: 0\r\n\r\n'
EARLIER = HEAD.replace(b'current', b'earlier')


class FakeTransport(asyncio.Transport):
    """A transport that sends nothing and can be closed."""

    def __init__(self) -> None:
        super().__init__()
        self.closed = False

    def is_closing(self) -> bool:
        """Return whether it was closed."""
        return self.closed

    def abort(self) -> None:
        """Close it."""
        self.closed = True

    close = abort

    def pause_reading(self) -> None:
        """Ignore the request; the test sends on only after reads."""

    resume_reading = pause_reading


class Work(typing.NamedTuple):
    """What a response took.

    Attributes
    ----------
    calls : int
        Number of calls of the parser.
    chunks : int
        Number of chunks that it found.
    reads : int
        Number of reads from the socket.
    ended : bool
        Whether the connection was given up.
    """

    calls: int
    chunks: int
    reads: int
    ended: bool


class ParseWorkTest(unittest.IsolatedAsyncioTestCase):
    """Bytes that take far longer to parse than to transfer."""

    async def receive(
        self, begin: bytes, unit: bytes, read_bytes: int, max_reads: int
    ) -> Work:
        """Let a connection receive bytes until it is given up.

        Parameters
        ----------
        begin, unit : bytes
            What the upstream sends first, and then without end.
        read_bytes : int
            Size of each read.
        max_reads : int
            Number of reads after which the test ends.
        """
        connection = connections.Connection(asyncio.get_running_loop())
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.expect_response(True, 'current')
        reading = asyncio.create_task(self.read(connection))
        block = unit * (read_bytes // len(unit) + 1)
        reads = 0
        with (
            mock.patch.object(
                client_proto.ResponseHandler,
                'data_received',
                autospec=True,
                side_effect=client_proto.ResponseHandler.data_received,
            ) as parse,
            mock.patch.object(
                streams.StreamReader,
                'end_http_chunk_receiving',
                autospec=True,
                side_effect=streams.StreamReader.end_http_chunk_receiving,
            ) as end_chunk,
        ):
            if begin:
                connection.data_received(begin)
            while not transport.closed and reads < max_reads:
                reads += 1
                size = max(len(unit), read_bytes - read_bytes % len(unit))
                connection.data_received(block[:size])
                await asyncio.sleep(0)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        return Work(
            parse.call_count, end_chunk.call_count, reads, transport.closed
        )

    async def read(self, connection: connections.Connection) -> None:
        """Read all responses and their bodies, as an exchange does."""
        while True:
            _, stream = await connection.read_response()
            while await stream.readany():
                pass

    async def test_bytes_without_end(self) -> None:
        """Guards against a few responses that take a whole processor.

        Routers answered hardly a request of any service while a tenth of the
        responses of one were empty lines without end: each four bytes were
        parsed alone, 16,384 times for one read.
        """
        for name, begin, unit in (
            ('empty lines', b'', b'\r\n'),
            ('bare line feeds', b'', b'\n'),
            ('empty lines after a response', EMPTY, b'\r\n'),
            ('interim responses', b'', b'HTTP/1.1 100\r\n\r\n'),
            ('empty lines between', b'', b'\r\n\r\nHTTP/1.1 100\r\n\r\n'),
            ('chunks of a byte', HEAD + CHUNKED, b'1\r\nx\r\n'),
            ('late response', EARLIER + CHUNKED, b'2\r\n\r\n\r\n'),
            ('longer chunks', EARLIER + CHUNKED, b'4\r\n\r\n\r\n\r\n'),
        ):
            with self.subTest(name):
                work = await self.receive(begin, unit, READ_BYTES, MAX_READS)
                self.assertTrue(work.ended)
                self.assertLessEqual(work.calls, MAX_CALLS)
                self.assertLessEqual(work.chunks, MAX_CHUNKS)

    async def test_packets_of_one_byte(self) -> None:
        """Guards against an upstream that wakes the process for each byte."""
        for name, begin, unit in (
            ('body until the end', HEAD + b'\r\n', b'x'),
            ('long field', HEAD + b'X-Field: ', b'x'),
        ):
            with self.subTest(name):
                work = await self.receive(begin, unit, 1, 100_000)
                self.assertTrue(work.ended)
                self.assertLessEqual(work.reads, MAX_CALLS)

    async def test_empty_lines_of_a_whole_response(self) -> None:
        """Guards against a response that is dropped for a few empty lines."""
        whole = HEAD + b'Content-Length: 5\r\n\r\nsound'
        for lines in (b'\r\n', b'\n', b'\r\n' * 100):
            for parts in (
                (lines + whole,),
                (lines, whole),
                (lines[:-1], lines[-1:] + whole),
                (lines + b'H', whole[1:]),
                (whole + lines,),
            ):
                with self.subTest(lines=lines[:4], parts=len(parts)):
                    connection = connections.Connection(
                        asyncio.get_running_loop()
                    )
                    connection.connection_made(FakeTransport())
                    connection.expect_response(True, 'current')
                    for part in parts:
                        connection.data_received(part)
                    message, stream = await connection.read_response()
                    self.assertEqual(200, message.code)
                    self.assertEqual(b'sound', await stream.read())
