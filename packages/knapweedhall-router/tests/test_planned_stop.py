"""Tests of what callers get from a router's process that is being stopped."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import select
import signal
import socket
import typing

from aiohttp import web

from knapweedhall_router import application
from tests import fleet
from tests import test_process

GRACE_S = 6.0
# After the listener is closed, and with it the idle connections.
AFTER_CLOSE_S = application.ACCEPT_AFTER_STOP_S + 0.4
# Callers whose requests arrive one after the other around that time.
IDLE_CALLERS = 120
AROUND_CLOSE_S = 0.2
# Longer than the process waits for its kernel to send.
LAST_WORK_S = 1.5
# Time for which the router gets no processor time.
STANDSTILL_S = 0.4
LARGE_BODY_BYTES = 12_000_000
# Fits into the buffers of the kernel, and the pace at which it is read.
KERNEL_BODY_BYTES, KERNEL_BYTES_PER_S = 2_000_000, 600_000
WINDOW_BYTES = 65536
TIME_LIMIT_MS = 10_000
# Time that the import of a library takes on a slow machine.
SLOW_IMPORT_S = 2.0
# Delays the first import of the HTTP library.
SLOW_IMPORT = f"""
import sys
import time


class Delay:
    def find_spec(self, name, path=None, target=None):
        if name == 'aiohttp':
            time.sleep({SLOW_IMPORT_S})


sys.meta_path.insert(0, Delay())
"""
# Time after which a request that was received whole has to be answered though
# no upstream ran it: the platform's bound.
LOSS_SLACK_S = 0.2


class Answer(typing.NamedTuple):
    """What a caller received.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection ended without one.
    body_bytes : int
        Received bytes of the body.
    is_whole : bool
        Whether the body is as long as its head says.
    retry_after : str
        The header; '' if there is none.
    ended_at : float
        When the response or the connection ended, on the loop's clock.
    signature : str
        The header that only upstreams send; '' if there is none.
    keep_alive : str
        The header; '' if there is none.
    """

    status: int
    body_bytes: int
    is_whole: bool
    retry_after: str
    ended_at: float
    signature: str
    keep_alive: str


class Caller:
    """A connection of a caller that sends and reads at a pace of its own."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, host: str, port: int) -> Caller:
        """Connect with a small window, so that unread responses wait."""
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
        )
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, (host, port))
        except OSError:
            connection.close()
            raise
        return cls(
            *await asyncio.open_connection(sock=connection, limit=WINDOW_BYTES)
        )

    def send_head(self, request_id: str, body_bytes: int) -> None:
        """Send the head of a request."""
        lines = (
            'POST /order/x HTTP/1.1',
            f'Host: {fleet.HOST}',
            f'X-Attempt-Id: {request_id}',
            f'X-Deadline-Ms: {TIME_LIMIT_MS}',
            f'Content-Length: {body_bytes}',
        )
        self.writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())

    async def read_answer(self, bytes_per_s: float | None = None) -> Answer:
        """Read a response, not faster than `bytes_per_s`."""
        loop = asyncio.get_running_loop()
        status, length, received = 0, -1, 0
        retry_after = signature = keep_alive = ''
        with contextlib.suppress(OSError, EOFError):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
            first, *lines = head.strip().split('\r\n')
            fields = {
                name.lower(): value
                for name, value in (line.split(': ', 1) for line in lines)
            }
            retry_after = fields.get('retry-after', '')
            signature = fields.get('x-response-signature', '')
            keep_alive = fields.get('keep-alive', '')
            length = int(fields['content-length'])
            status = int(first.split()[1])
            while received < length:
                chunk = await self.reader.read(WINDOW_BYTES)
                if not chunk:
                    break
                received += len(chunk)
                if bytes_per_s is not None:
                    await asyncio.sleep(len(chunk) / bytes_per_s)
        return Answer(
            status,
            received,
            received == length,
            retry_after,
            loop.time(),
            signature,
            keep_alive,
        )


def enlarge(
    request: web.BaseRequest, raw: bytes, size: int = LARGE_BODY_BYTES
) -> bytes:
    """Return a response with a large body."""
    head, _, _ = raw.partition(b'Content-Length')
    return head + b'Content-Length: %d\r\n\r\n' % size + bytes(size)


class StopCase(test_process.ProcessTest):
    """A router's process, callers on connections, and a single upstream."""

    async def asyncSetUp(self) -> None:
        """Start the router with one upstream for requests that run once."""
        await super().asyncSetUp()
        self.upstream = await self.fleet.add_upstream('orders', False)
        route = self.fleet.route('order', '/order/', 'unsafe', 'orders')
        route[4] = TIME_LIMIT_MS / 1000
        self.fleet.configure([route])
        self.router.start()
        await self.wait_until_ready()
        self.first_caller = await self.connect()
        async with asyncio.timeout(10):
            while (await self.ask(self.first_caller, 'first')).status != 200:
                await asyncio.sleep(0.02)

    async def connect(self) -> Caller:
        """Return a new connection of a caller."""
        caller = await Caller.connect(self.host, self.ports[0])
        self.addCleanup(caller.writer.close)
        return caller

    async def ask_if_open(
        self, caller: Caller, request_id: str
    ) -> Answer | None:
        """Send a whole request unless the router has closed the connection."""
        poll = select.poll()
        poll.register(caller.writer.get_extra_info('socket'), select.POLLIN)
        if poll.poll(0):
            return None
        return await self.ask(caller, request_id)

    async def ask(self, caller: Caller, request_id: str) -> Answer:
        """Send a whole request and read the response."""
        caller.send_head(request_id, 4)
        caller.writer.write(b'work')
        return await caller.read_answer()

    def request_stop(self) -> float:
        """Send SIGTERM; return when, on the loop's clock."""
        self.router.send(signal.SIGTERM)
        return asyncio.get_running_loop().time()

    async def assert_ended(self, stopped_at: float) -> None:
        """Check that the process ends before the platform kills it."""
        self.assertEqual(0, await self.router.wait())
        elapsed_s = asyncio.get_running_loop().time() - stopped_at
        self.assertLess(elapsed_s, GRACE_S)

    def run_count(self, request_id: str) -> int:
        """Return how often the upstream ran a request."""
        runs = self.upstream.runs
        return sum(run.request_id == request_id for run in runs)


class PlannedStopTest(StopCase):
    """A process that gets SIGTERM while callers use it."""

    async def test_body_that_arrives_while_idle_connections_close(
        self,
    ) -> None:
        """Guards against uploads whose bytes are discarded during a stop.

        Their callers got neither a response nor a refusal.
        """
        caller, slow_caller = await self.connect(), await self.connect()
        stopped_at = self.request_stop()
        await asyncio.sleep(1.0)
        caller.send_head('two-parts', 4)
        caller.writer.write(b'wo')
        slow_caller.send_head('many-parts', 40)
        for _ in range(40):
            slow_caller.writer.write(b'w')
            await asyncio.sleep(AFTER_CLOSE_S / 40)
        caller.writer.write(b'rk')
        for each, name in ((caller, 'two-parts'), (slow_caller, 'many-parts')):
            with self.subTest(request=name):
                answer = await each.read_answer()
                self.assertEqual(200, answer.status)
                self.assertTrue(answer.is_whole)
                self.assertEqual(1, self.run_count(name))
        await self.assert_ended(stopped_at)

    async def test_response_that_is_still_being_sent(self) -> None:
        """Guards against a process that ends before its responses are sent."""
        caller = await self.connect()
        self.assertEqual(200, (await self.ask(caller, 'before')).status)
        self.upstream.response_hook = enlarge
        stopped_at = self.request_stop()
        await asyncio.sleep(1.0)
        caller.send_head('large', 4)
        caller.writer.write(b'work')
        answer = await caller.read_answer(LARGE_BODY_BYTES / 3.5)
        self.assertEqual((200, LARGE_BODY_BYTES), answer[:2])
        await self.assert_ended(stopped_at)

    async def test_response_that_the_kernel_still_sends(self) -> None:
        """Guards against a process that ends before its callers have theirs.

        The machine may be removed with it, and with that what its kernel has
        not sent.
        """
        self.upstream.response_hook = functools.partial(
            enlarge, size=KERNEL_BODY_BYTES
        )
        caller = await self.connect()
        stopped_at = self.request_stop()
        await asyncio.sleep(1.0)
        caller.send_head('large', 4)
        caller.writer.write(b'work')
        answer = await caller.read_answer(KERNEL_BYTES_PER_S)
        self.assertIsNone(self.router.status())
        self.assertEqual((200, KERNEL_BODY_BYTES), answer[:2])
        await self.assert_ended(stopped_at)

    async def test_request_that_is_sent_while_its_connection_ends(
        self,
    ) -> None:
        """Guards against a response that a reset cuts.

        The kernel drops what it has not sent when bytes arrive at a socket
        that was closed. The caller can't know that the connection ends.
        """
        self.upstream.response_hook = functools.partial(
            enlarge, size=KERNEL_BODY_BYTES
        )
        caller = await self.connect()
        stopped_at = self.request_stop()
        await asyncio.sleep(1.0)
        caller.send_head('large', 4)
        caller.writer.write(b'work')
        reading = asyncio.create_task(caller.read_answer(KERNEL_BYTES_PER_S))
        await asyncio.sleep(KERNEL_BODY_BYTES / KERNEL_BYTES_PER_S / 2)
        caller.send_head('next', 4)
        answer = await reading
        self.assertEqual((200, KERNEL_BODY_BYTES), answer[:2])
        await self.assert_ended(stopped_at)

    async def test_requests_that_do_not_end_in_time(self) -> None:
        """Guards against requests that end without a response or a refusal.

        What has not run is refused, so that the caller tries another router.
        """
        self.upstream.work_s = 2 * GRACE_S
        sent, unsent = await self.connect(), await self.connect()
        stopped_at = self.request_stop()
        await asyncio.sleep(1.5)
        sent.send_head('long-work', 4)
        sent.writer.write(b'work')
        unsent.send_head('long-body', 4)
        unsent.writer.write(b'wor')
        answer = await sent.read_answer()
        self.assertEqual(504, answer.status)
        self.assertLess(answer.ended_at - stopped_at, GRACE_S)
        answer = await unsent.read_answer()
        self.assertEqual(503, answer.status)
        self.assertLess(float(answer.retry_after), 0.5)
        self.assertEqual(0, self.run_count('long-body'))
        await self.assert_ended(stopped_at)

    async def test_requests_that_arrive_while_idle_connections_close(
        self,
    ) -> None:
        """Guards against requests that are dropped with their connection.

        Their callers had sent them while the connection was open.
        """
        callers = [await self.connect() for _ in range(IDLE_CALLERS)]
        for number, caller in enumerate(callers):
            answer = await self.ask(caller, f'first-{number}')
            self.assertEqual(200, answer.status)
        stopped_at = self.request_stop()

        async def ask_later(number: int, caller: Caller) -> Answer | None:
            step_s = 2 * AROUND_CLOSE_S / IDLE_CALLERS
            await asyncio.sleep(
                application.ACCEPT_AFTER_STOP_S
                - AROUND_CLOSE_S
                + number * step_s
            )
            return await self.ask_if_open(caller, f'second-{number}')

        answers = await asyncio.gather(
            *(ask_later(*numbered) for numbered in enumerate(callers))
        )
        statuses = [answer.status for answer in answers if answer]
        self.assertLess(0, statuses.count(200))
        self.assertLess(len(statuses), IDLE_CALLERS)
        self.assertNotIn(0, statuses)
        await self.assert_ended(stopped_at)

    async def test_callers_are_told_how_long_a_connection_is_open(
        self,
    ) -> None:
        """Guards against requests that cross the close of an idle connection.

        A stop leaves connections open for longer than callers use them.
        """
        caller = await self.connect()
        answer = await self.ask(caller, 'before')
        idle_s = int(answer.keep_alive.removeprefix('timeout='))
        stopped_at = self.request_stop()
        self.assertLess(idle_s, application.ACCEPT_AFTER_STOP_S)
        await asyncio.sleep(idle_s)
        answer = await self.ask(caller, 'in the stop')
        self.assertEqual((200, ''), (answer.status, answer.keep_alive))
        await self.assert_ended(stopped_at)

    async def test_first_request_of_a_connection_of_the_last_moment(
        self,
    ) -> None:
        """Guards against connections that close before their first request.

        The request is on its way for a round trip after the set-up.
        """
        await self.send_after_set_up(0.2)

    async def test_first_request_over_a_full_link(self) -> None:
        """Guards against the same if other requests are in front of it.

        Links of the platform count as full when packets wait for 0.5 s.
        """
        await self.send_after_set_up(0.5)

    async def send_after_set_up(self, delay_s: float) -> None:
        """Send the first request of a connection of the last moment."""
        stopped_at = self.request_stop()
        await asyncio.sleep(application.ACCEPT_AFTER_STOP_S - 0.1)
        caller = await self.connect()
        await asyncio.sleep(delay_s)
        answer = await self.ask_if_open(caller, 'first-request')
        self.assertIsNotNone(answer)
        assert answer is not None
        self.assertEqual(200, answer.status)
        await self.assert_ended(stopped_at)

    async def connect_in_the_last_cycle(self) -> Caller:
        """Send a request on a connection that the router can't accept yet.

        The process stands still until the listener has to be closed, as in a
        long cycle of its event loop.
        """
        await asyncio.sleep(application.ACCEPT_AFTER_STOP_S - 0.1)
        self.router.send(signal.SIGSTOP)
        caller = await self.connect()
        caller.send_head('last', 4)
        caller.writer.write(b'work')
        await asyncio.sleep(0.2)
        self.router.send(signal.SIGCONT)
        return caller

    async def test_connection_that_waits_when_the_listener_closes(
        self,
    ) -> None:
        """Guards against connections that are dropped with the listener.

        They had been set up, and a request had been sent.
        """
        self.upstream.work_s = LAST_WORK_S
        stopped_at = self.request_stop()
        busy = asyncio.create_task(self.ask(self.first_caller, 'busy'))
        caller = await self.connect_in_the_last_cycle()
        self.assertEqual(200, (await caller.read_answer()).status)
        self.assertEqual(200, (await busy).status)
        await self.assert_ended(stopped_at)

    async def test_connection_that_waits_when_no_other_is_open(self) -> None:
        """Guards against a process that ends while its last request runs.

        It waited for the connections that were open when the listener closed.
        """
        self.upstream.work_s = LAST_WORK_S
        self.first_caller.writer.close()
        stopped_at = self.request_stop()
        caller = await self.connect_in_the_last_cycle()
        self.assertEqual(200, (await caller.read_answer()).status)
        await self.assert_ended(stopped_at)

    async def test_connections_that_were_not_accepted_yet(self) -> None:
        """Guards against whole requests that are lost with the listener.

        A process that gets no processor time finds the end of its timer before
        it finds the connections of the meantime.
        """
        stopped_at = self.request_stop()
        await asyncio.sleep(application.ACCEPT_AFTER_STOP_S - STANDSTILL_S / 2)
        self.router.send(signal.SIGSTOP)
        callers = [await self.connect() for _ in range(3)]
        answers = [
            asyncio.create_task(self.ask(caller, f'waiting-{number}'))
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(STANDSTILL_S)
        self.router.send(signal.SIGCONT)
        for answer in answers:
            self.assertEqual(200, (await answer).status)
        await self.assert_ended(stopped_at)

    async def test_standstill_while_a_request_runs(self) -> None:
        """Guards against a process that takes its own standstill for calm.

        In the soak (seed 990095) it ended with running requests.
        """
        self.upstream.work_s = LAST_WORK_S
        stopped_at = self.request_stop()
        await asyncio.sleep(application.ACCEPT_AFTER_STOP_S - 0.2)
        answer = asyncio.create_task(self.ask(self.first_caller, 'running'))
        await asyncio.sleep(0.4)
        self.router.send(signal.SIGSTOP)
        await asyncio.sleep(application.KERNEL_SEND_S + 0.2)
        self.router.send(signal.SIGCONT)
        self.assertEqual(200, (await answer).status)
        await self.assert_ended(stopped_at)

    async def test_stop_while_the_store_does_not_answer(self) -> None:
        """Guards against a stop that is delayed by calls to the store."""
        await self.fleet.store.stop()
        caller = await self.connect()
        self.upstream.work_s = 1.0
        stopped_at = self.request_stop()
        await asyncio.sleep(application.ACCEPT_AFTER_STOP_S - 0.4)
        answer = await self.ask(caller, 'late')
        self.assertEqual(200, answer.status)
        with self.assertRaises(OSError):
            await self.connect()
        await self.assert_ended(stopped_at)


class StopDuringTheStartTest(test_process.ProcessTest):
    """A process that gets SIGTERM before it has imported its libraries."""

    async def test_requests_of_a_process_that_was_stopped_before(self) -> None:
        """Guards against requests that are cut when the platform kills it.

        The grace time runs from the signal, which the process can't handle
        until it has imported its libraries.
        """
        upstream = await self.fleet.add_upstream('orders', False)
        upstream.work_s = 2 * GRACE_S
        route = self.fleet.route('order', '/order/', 'unsafe', 'orders')
        route[4] = 2 * GRACE_S
        self.fleet.configure([route])
        folder = self.router.settings.parent
        (folder / 'sitecustomize.py').write_text(SLOW_IMPORT)
        self.router.start({'PYTHONPATH': str(folder)})
        await self.router.wait_for_event('starting')
        self.router.send(signal.SIGTERM)
        callers: list[Caller] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S):
                while self.router.status() is None:
                    with contextlib.suppress(OSError):
                        await self.send_first(callers)
                    await asyncio.sleep(0.1)
        self.router.kill()
        for caller in callers:
            self.assertNotEqual(0, (await caller.read_answer()).status)

    async def send_first(self, callers: list[Caller]) -> None:
        """Send a request over a new connection and add it to the list."""
        caller = await Caller.connect(self.host, self.ports[0])
        self.addCleanup(caller.writer.close)
        caller.send_head(f'first-{len(callers)}', 4)
        caller.writer.write(b'work')
        callers.append(caller)


class StopsUnderLoadTest(StopCase):
    """A series of stops while callers use their connections to the end."""

    rounds = 3
    callers = 12

    async def test_stops_in_series(self) -> None:
        """Guards against requests that a planned stop cuts under load."""
        self.upstream.work_s = 0.2
        for _ in range(self.rounds):
            self.cut: list[str] = []
            self.answered: list[int] = []
            tasks = [
                asyncio.create_task(self.use(number))
                for number in range(self.callers)
            ]
            await asyncio.sleep(0.5)
            stopped_at = self.request_stop()
            await self.assert_ended(stopped_at)
            await asyncio.gather(*tasks)
            self.assertEqual([], self.cut)
            self.assertGreater(self.answered.count(200), self.callers)
            self.router.log.write_text('')
            self.router.start()
            await self.wait_until_ready()

    async def use(self, number: int) -> None:
        """Send uploads over kept connections until the process is gone."""
        sequence = 0
        while self.router.status() is None:
            try:
                caller = await self.connect()
            except OSError:
                # The listener is closed.
                return
            while not caller.reader.at_eof():
                sequence += 1
                request_id = f'load-{number}-{sequence}-{id(self.cut)}'
                caller.send_head(request_id, 4)
                for part in (b'wo', b'rk'):
                    await asyncio.sleep(0.1 * (number % 3))
                    caller.writer.write(part)
                sent_at = asyncio.get_running_loop().time()
                answer = await caller.read_answer()
                self.answered.append(answer.status)
                if not answer.status or not answer.is_whole:
                    # A request that no upstream ran may have crossed the
                    # close.
                    waited_s = answer.ended_at - sent_at
                    if waited_s > LOSS_SLACK_S or self.run_count(request_id):
                        self.cut.append(request_id)
                    break
