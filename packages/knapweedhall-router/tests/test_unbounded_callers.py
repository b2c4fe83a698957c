"""Tests of a router's process beside callers that send without bounds.

Each test checks what does not depend on the speed of the machine: the process
lives, its memory and its open descriptors stay within its settings, and an
ordinary request is answered while the callers are still connected.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import resource
import struct
import typing

from tests import fleet
from tests import test_planned_stop
from tests import test_process

# Limits of the process in its settings. Without callers it has about 50 MB
# and fewer than 30 descriptors.
MEMORY_MB = 90
DESCRIPTORS = 160
# Callers, for limits on what each of them sends.
CROWD = 60
# Callers, for limits on what all of them send.
LARGE_CROWD = 400
# More than `DESCRIPTORS`.
SILENT_CROWD = 300
# What each caller sends, unless the router closes the connection: more than
# its parser, its queues and the buffers of the kernel take.
SENT_BYTES = 16 * 1024 * 1024
WRITE_BYTES = 65536
# Time without progress after which a caller sends no more, but stays.
STALL_S = 2.0
# Pace of callers that send slowly.
TRICKLE_BYTES, TRICKLE_PERIOD_S, TRICKLE_COUNT = 1200, 0.01, 800
# For the request of an ordinary caller.
ANSWER_TIMEOUT_S = 30.0
SAMPLE_PERIOD_S = 0.02

REQUEST = b'POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 5000\r\n' % (
    fleet.HOST.encode()
)
CHUNKED = REQUEST + b'Transfer-Encoding: chunked\r\n\r\n4\r\nwork\r\n'
EMPTY_LINE = b'\r\n'
# A field that the parser accepts, as long as it may be.
LARGE_FIELD = b'X-Field: %s\r\n' % (65000 * b'a')
# Fields of a head that stays below a limit of 1 MB, and is not complete.
PART_FIELDS = 14
# A field that the library's parser accepts without further settings.
SMALL_FIELD = b'X-Field: %s\r\n' % (8000 * b'a')
# Heads of 60,000 bytes are below the limit of a connection.
FIELDS = b''.join(b'X-%02d: %s\r\n' % (each, 594 * b'a') for each in range(98))


def endless(part: bytes) -> bytes:
    """Return a write of at least `WRITE_BYTES` that repeats a part."""
    return part * (1 + WRITE_BYTES // len(part))


class UnboundedCase(test_process.ProcessTest):
    """A router's process with low limits, and a crowd of callers."""

    descriptors = 4100

    async def asyncSetUp(self) -> None:
        """Start the router, and watch its memory and its descriptors."""
        await super().asyncSetUp()
        limits = {
            'maxFds': self.descriptors,
            'memoryMb': MEMORY_MB,
            'cpuShare': 0.86,
            'cores': 1,
            'linkMbps': 1000.0,
        }
        self.write_settings(limits=limits)
        route = self.fleet.route('order', '/order/', 'unsafe', 'orders')
        route[4] = test_planned_stop.TIME_LIMIT_MS / 1000
        await self.fleet.add_upstream('orders', False)
        self.fleet.configure([route])
        self.router.start()
        assert self.router.process is not None
        self.pid = self.router.process.pid
        resource.prlimit(
            self.pid,
            resource.RLIMIT_NOFILE,
            (self.descriptors, self.descriptors),
        )
        await self.wait_until_ready()
        await self.assert_ordinary_request()
        self.peak_descriptors = 0
        self.writers: list[asyncio.StreamWriter] = []
        sampling = asyncio.create_task(self.sample())
        self.addCleanup(sampling.cancel)
        self.addCleanup(self.leave)

    async def sample(self) -> None:
        """Record how many descriptors are open."""
        while True:
            self.peak_descriptors = max(
                self.peak_descriptors, self.descriptor_count()
            )
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def descriptor_count(self) -> int:
        """Return how many descriptors the process has open."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f'/proc/{self.pid}/fd'))
        return 0

    def peak_mb(self) -> float:
        """Return the largest memory that the process has had, MB."""
        path = pathlib.Path(f'/proc/{self.pid}/status')
        for line in path.read_text().splitlines():
            if line.startswith('VmHWM'):
                return int(line.split()[1]) * 1024 / 1e6
        raise AssertionError('no VmHWM')

    def leave(self) -> None:
        """Close the connections of the crowd."""
        for writer in self.writers:
            writer.transport.abort()

    async def connect(self, port: int) -> asyncio.StreamWriter | None:
        """Return a connection of a caller; None if it is refused."""
        try:
            async with asyncio.timeout(STALL_S):
                _, writer = await asyncio.open_connection(self.host, port)
        except (OSError, TimeoutError):
            return None
        self.writers.append(writer)
        return writer

    async def flood(self, port: int, first: bytes, then: bytes) -> None:
        """Send bytes, and then others until the router takes no more."""
        writer = await self.connect(port)
        if writer is None:
            return
        writer.transport.set_write_buffer_limits(0)
        with contextlib.suppress(OSError, TimeoutError):
            writer.write(first)
            for _ in range(SENT_BYTES // len(then) if then else 1):
                async with asyncio.timeout(STALL_S):
                    await writer.drain()
                writer.write(then)

    async def trickle(self, port: int, first: bytes, then: bytes) -> None:
        """Send bytes, and then others in small parts."""
        writer = await self.connect(port)
        if writer is None:
            return
        raw = first
        with contextlib.suppress(OSError):
            for _ in range(TRICKLE_COUNT):
                if writer.transport.is_closing():
                    return
                writer.write(raw)
                raw = then
                await asyncio.sleep(TRICKLE_PERIOD_S)

    async def run_crowd(
        self, count: int, send: typing.Callable[[], collections.abc.Coroutine]
    ) -> None:
        """Let callers send, and check the process meanwhile and after."""
        await asyncio.gather(*(send() for _ in range(count)))
        self.assertIsNone(self.router.status())
        with self.subTest(bound='memory'):
            self.assertLess(self.peak_mb(), MEMORY_MB)
        with self.subTest(bound='descriptors'):
            self.assertLess(self.peak_descriptors, self.descriptors)
        with self.subTest(bound='service'):
            await self.assert_ordinary_request()
        self.assertIsNone(self.router.status())
        with self.subTest(bound='memory afterwards'):
            self.assertLess(self.peak_mb(), MEMORY_MB)

    async def assert_ordinary_request(self) -> None:
        """Check that a caller gets its response on a new connection."""
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while status != 200:
                    status = await self.ask()
                    await asyncio.sleep(SAMPLE_PERIOD_S)
        self.assertEqual(200, status)

    async def ask(self) -> int:
        """Send a request; return its status, 0 without a response."""
        try:
            caller = await test_planned_stop.Caller.connect(
                self.host, self.ports[0]
            )
        except OSError:
            return 0
        try:
            caller.send_head('ordinary', 4)
            caller.writer.write(b'work')
            async with asyncio.timeout(STALL_S):
                return (await caller.read_answer()).status
        except (OSError, TimeoutError):
            return 0
        finally:
            caller.writer.close()


class HeadTest(UnboundedCase):
    """Heads that are not complete."""

    async def flood_front(self, count: int, first: bytes, then: bytes) -> None:
        """Let callers send to the listener for callers."""
        await self.run_crowd(
            count, lambda: self.flood(self.ports[0], first, then)
        )

    async def test_head_without_end(self) -> None:
        """Guards against heads that are held without a limit."""
        await self.flood_front(CROWD, REQUEST, LARGE_FIELD)

    async def test_line_without_end(self) -> None:
        """Guards against a first line that is held without a limit."""
        await self.flood_front(CROWD, b'GET /', endless(b'a'))

    async def test_heads_below_the_limit(self) -> None:
        """Guards against heads that only together take the memory."""
        await self.flood_front(LARGE_CROWD, REQUEST + FIELDS, b'')

    async def test_heads_over_the_limit(self) -> None:
        """Guards against large heads in many fields."""
        await self.flood_front(LARGE_CROWD, REQUEST + FIELDS, FIELDS)

    async def test_head_after_an_empty_line(self) -> None:
        """Guards against an empty line that counts as the end of a head.

        It raised the limit of the connection from 64 KB to 1 MB.
        """
        first = 2 * EMPTY_LINE + REQUEST + PART_FIELDS * LARGE_FIELD
        await self.flood_front(CROWD, first, b'')

    async def test_empty_lines_without_end(self) -> None:
        """Guards against empty lines that are read without a limit."""
        await self.flood_front(CROWD, b'', endless(EMPTY_LINE))

    async def test_head_that_trickles_after_an_empty_line(self) -> None:
        """Guards against a limit that only counts large reads."""
        field = b'X-Field: %s\r\n' % (TRICKLE_BYTES * 8 * b'a')
        await self.run_crowd(
            CROWD,
            lambda: self.trickle(
                self.ports[0], 2 * EMPTY_LINE + REQUEST, field
            ),
        )

    async def test_empty_lines_that_trickle(self) -> None:
        """Guards against connections that never begin a request."""
        await self.run_crowd(
            CROWD, lambda: self.trickle(self.ports[0], b'', EMPTY_LINE)
        )

    async def test_part_of_a_head_behind_a_request(self) -> None:
        """Guards against a head that is not counted behind a request."""
        first = REQUEST + b'Content-Length: 4\r\n\r\nwork' + REQUEST + FIELDS
        await self.flood_front(LARGE_CROWD, first, b'')


class BodyTest(UnboundedCase):
    """What surrounds the bodies of requests."""

    async def test_trailers_without_end(self) -> None:
        """Guards against trailer fields that are held without a limit."""
        await self.run_crowd(
            CROWD,
            lambda: self.flood(self.ports[0], CHUNKED + b'0\r\n', LARGE_FIELD),
        )

    async def test_trailers_that_stop(self) -> None:
        """Guards against trailer fields that only together take the memory."""
        first = CHUNKED + b'0\r\n' + PART_FIELDS * LARGE_FIELD
        await self.run_crowd(
            CROWD, lambda: self.flood(self.ports[0], first, b'')
        )

    async def test_chunk_extensions_without_end(self) -> None:
        """Guards against a chunk size line that is held or never ends."""
        await self.run_crowd(
            CROWD,
            lambda: self.flood(self.ports[0], CHUNKED + b'4;', endless(b'a')),
        )

    async def test_responses_that_are_not_read(self) -> None:
        """Guards against requests that wait for their turn without a limit."""
        request = REQUEST + FIELDS + b'Content-Length: 0\r\n\r\n'
        await self.run_crowd(
            CROWD, lambda: self.flood(self.ports[0], b'', request)
        )


class OtherListenersTest(UnboundedCase):
    """Listeners for the load balancer, other instances and metrics."""

    async def test_heads_for_the_readiness_check(self) -> None:
        """Guards against a listener without limits."""
        head = REQUEST + 100 * SMALL_FIELD
        await self.run_crowd(
            CROWD, lambda: self.flood(self.ports[1], head, b'')
        )

    async def test_heads_for_metrics(self) -> None:
        """Guards against a listener without limits."""
        head = REQUEST + 100 * SMALL_FIELD
        await self.run_crowd(
            CROWD, lambda: self.flood(self.ports[3], head, b'')
        )

    async def test_first_messages(self) -> None:
        """Guards against messages of strangers that are held."""
        frame = struct.pack('>I', 16000) + 15000 * b'\x91'
        await self.run_crowd(
            LARGE_CROWD, lambda: self.flood(self.ports[2], frame, b'')
        )


class SilentTest(UnboundedCase):
    """Connections on which nothing is sent."""

    descriptors = DESCRIPTORS

    async def connect_silently(self, number: int) -> None:
        """Open more connections than the process may have descriptors."""
        await self.run_crowd(
            SILENT_CROWD, lambda: self.flood(self.ports[number], b'', b'')
        )

    async def test_listener_for_callers(self) -> None:
        """Guards against connections that take all descriptors."""
        await self.connect_silently(0)

    async def test_listener_for_readiness_checks(self) -> None:
        """Guards against connections that take all descriptors."""
        await self.connect_silently(1)

    async def test_listener_for_other_instances(self) -> None:
        """Guards against connections that take all descriptors."""
        await self.connect_silently(2)

    async def test_listener_for_metrics(self) -> None:
        """Guards against connections that take all descriptors."""
        await self.connect_silently(3)
