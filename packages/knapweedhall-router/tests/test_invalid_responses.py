"""Tests of responses that are cut, early, or have no valid status."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import itertools
import re
import select
import socket
import struct
import time
import typing
import unittest

from knapweedhall_adapter import orders
from knapweedhall_adapter import outcomes
from knapweedhall_router.serving import connections
from knapweedhall_routing import model
from knapweedhall_standins import upstream
from tests import fleet
from tests import test_process

ZERO_LINGER = struct.pack('ii', 1, 0)
WINDOW_BYTES = 65536
TIME_LIMIT_MS = 6000
# A response that can't be used ends its request at once, long before the time
# limit. The bound allows for a busy machine.
MAX_WAIT_S = 2.0
# More than the send buffer of a socket on loopback takes.
LONG_BODY_BYTES = 24_000_000
# More than a window, but the sender's kernel takes all of it.
MEDIUM_BODY_BYTES = 400_000
PART = b'part of the body'
# Reads before a connection is closed; together less than a long body.
MAX_READS = 100


class End(enum.Enum):
    """What an upstream does after it has sent its bytes."""

    KEEP = 'keep'
    FIN = 'fin'
    RST = 'rst'
    # Ends its stream, neither reads nor closes.
    HALF_CLOSE = 'half-close'
    # Closes after it has read what has arrived, while more is sent.
    CLOSE = 'close'
    # Neither reads nor closes until the connection is reset.
    HOLD = 'hold'


class Script(typing.NamedTuple):
    """How an upstream responds to one request.

    Attributes
    ----------
    response : bytes
        What is sent; `@ID` stands for the ID of the request.
    end : End
        What follows.
    is_early : bool
        Whether it responds before it reads the body of the request.
    pause_s : float
        Time between the response and the end, seconds.
    late_bytes : int
        How many bytes of the response are sent after a pause; 0 for none.
    """

    response: bytes
    end: End = End.KEEP
    is_early: bool = False
    pause_s: float = 0.02
    late_bytes: int = 0


def response(
    *fields: str,
    status: str = '200 OK',
    body: bytes = b'',
    signed: bool = True,
) -> bytes:
    """Return the bytes of a response."""
    lines = [f'HTTP/1.1 {status}']
    if signed:
        lines += ['X-Attempt-Id: @ID', 'X-Response-Signature: s.1']
    lines += fields
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


SOUND = response('Content-Length: 5', body=b'sound')


class ScriptedUpstream:
    """An upstream that sends the bytes that it is told to send.

    Attributes
    ----------
    script : Script or None
        How it responds to the next request; None for sound responses.
    kept : bool
        Whether the last request came over a connection that was used before.
    open : int
        Number of open connections.
    heads : list of str
        Heads of the requests.
    """

    def __init__(self, registry: upstream.Registry) -> None:
        self.registry = registry
        self.script: Script | None = None
        self.kept = False
        self.open = 0
        self.heads: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = socket.socket()

    def start(self) -> None:
        """Listen, and register in the store."""
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
        )
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.registry.put(
            upstream.UPSTREAM_TOPIC,
            'i-scripted',
            {
                'address': f'{host}:{port}',
                'info': {
                    'service': 'orders',
                    'version': 'v1',
                    'zone': 'a',
                    'slots': 8,
                },
                'status': {
                    'state': 'ready',
                    'sequence': 1,
                    'warmupLeftS': 0.0,
                },
                'born': int(time.time() * 1000),
            },
        )
        self._run(self._accept())

    async def stop(self) -> None:
        """Close everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.listener.close()

    def _run(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            connection.setblocking(False)
            self._run(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self.open += 1
        try:
            with contextlib.suppress(OSError):
                for number in itertools.count():
                    received = b''
                    while b'\r\n\r\n' not in received:
                        data = await loop.sock_recv(connection, 16384)
                        if not data:
                            return
                        received += data
                    self.kept = number > 0
                    await self._respond(connection, received)
        finally:
            self.open -= 1
            connection.close()

    async def _discard(self, connection: socket.socket, size: int) -> None:
        loop = asyncio.get_running_loop()
        while size > 0:
            data = await loop.sock_recv(connection, min(size, 65536))
            if not data:
                raise ConnectionError('ended')
            size -= len(data)

    async def _respond(
        self, connection: socket.socket, received: bytes
    ) -> None:
        loop = asyncio.get_running_loop()
        script, self.script = self.script or Script(SOUND), None
        head, _, body = received.partition(b'\r\n\r\n')
        self.heads.append(head.decode())
        fields = dict(
            line.lower().split(': ', 1)
            for line in head.decode().split('\r\n')[1:]
        )
        left = int(fields.get('content-length', 0)) - len(body)
        if not script.is_early:
            await self._discard(connection, left)
        request_id = fields['x-attempt-id'].encode()
        raw = script.response.replace(b'@ID', request_id)
        first = len(raw) - script.late_bytes
        await loop.sock_sendall(connection, raw[:first])
        if script.late_bytes:
            await asyncio.sleep(script.pause_s)
            await loop.sock_sendall(connection, raw[first:])
        if script.end is End.KEEP:
            if script.is_early:
                await self._discard(connection, left)
            return
        await asyncio.sleep(script.pause_s)
        if script.end is End.HALF_CLOSE:
            connection.shutdown(socket.SHUT_WR)
            await asyncio.sleep(TIME_LIMIT_MS / 1000 + 1)
        if script.end is End.HOLD:
            poll = select.poll()
            poll.register(connection, select.POLLHUP)
            while not poll.poll(0):
                await asyncio.sleep(0.01)
        if script.end is End.CLOSE:
            with contextlib.suppress(BlockingIOError):
                for _ in range(MAX_READS):
                    connection.recv(65536)
        if script.end is End.RST:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER
            )
        connection.close()
        raise ConnectionError('ended')


class Answer(typing.NamedTuple):
    """What a caller received; status 0 if the connection ended without one."""

    status: int
    body: bytes
    waited_s: float


class InvalidResponseTest(test_process.ProcessTest):
    """A router's process beside an upstream with scripted responses."""

    async def asyncSetUp(self) -> None:
        """Start the router with one upstream."""
        await super().asyncSetUp()
        self.numbers = itertools.count(1)
        self.upstream = ScriptedUpstream(self.fleet.store)
        self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        routes = [
            self.fleet.route('order', '/order/', 'unsafe', 'orders'),
            self.fleet.route('read', '/read/', 'safe', 'orders'),
        ]
        for route in routes:
            route[4] = TIME_LIMIT_MS / 1000
        self.fleet.configure(routes)
        self.router.start()
        await self.wait_until_ready()
        async with asyncio.timeout(10):
            while (await self.ask('GET')).status != 200:
                await asyncio.sleep(0.02)

    async def ask(self, method: str, body_bytes: int = 0) -> Answer:
        """Send a request over a new connection; return what comes back."""
        reader, writer = await asyncio.open_connection(
            self.host, self.ports[0]
        )
        path = '/order/x' if method == 'POST' else '/read/x'
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {fleet.HOST}',
            f'X-Attempt-Id: a{next(self.numbers)}',
            f'X-Deadline-Ms: {TIME_LIMIT_MS}',
        ]
        if method == 'POST':
            lines.append(f'Content-Length: {body_bytes}')
        loop = asyncio.get_running_loop()
        status, body = 0, b''
        try:
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
            writer.write(bytes(body_bytes if method == 'POST' else 0))
            await writer.drain()
            started_at = loop.time()
            with contextlib.suppress(OSError, EOFError):
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                if method != 'HEAD':
                    _, _, length = head.lower().partition('content-length: ')
                    # 204 and 304 state none.
                    size = int((length.split() or ['0'])[0])
                    body = await reader.readexactly(size)
                status = int(head.split()[1])
        finally:
            writer.transport.abort()
        return Answer(status, body, loop.time() - started_at)

    async def play(
        self, script: Script, method: str, body_bytes: int, kept: bool
    ) -> Answer:
        """Let the upstream respond as scripted to one request.

        Parameters
        ----------
        script : Script
            The response.
        method, body_bytes : str, int
            Request.
        kept : bool
            Whether it is sent over a connection that was used before.
        """
        await asyncio.sleep(0.05)
        if kept:
            # Without an idle connection that was used just before, the
            # request would be sent over a new one.
            sound = await self.ask('GET')
            self.assertEqual((200, b'sound'), sound[:2])
        else:
            await self.drop_connections()
        self.upstream.script = script
        answer = await self.ask(method, body_bytes)
        script_left, self.upstream.script = self.upstream.script, None
        self.assertIsNone(script_left, answer)
        return answer

    async def drop_connections(self) -> None:
        """Let the router close its idle connection to the upstream."""
        self.upstream.script = Script(
            response('Content-Length: 5', 'Connection: close', body=b'sound')
        )
        self.assertEqual(200, (await self.ask('GET')).status)

    async def assert_unusable(
        self, script: Script, method: str, body_bytes: int, kept: bool
    ) -> None:
        """Check that a response ends its request at once, not as an answer.

        The request may have run, also if it may run again: a 503 would state
        that it has not.
        """
        answer = await self.play(script, method, body_bytes, kept)
        self.assertEqual(502, answer.status)
        self.assertLess(answer.waited_s, MAX_WAIT_S)
        self.assertNotIn(PART, answer.body)


class StatusTest(InvalidResponseTest):
    """Responses whose status is none."""

    async def test_statuses_that_are_none(self) -> None:
        """Guards against answers with a status that HTTP does not have.

        Callers got 600 and above as an answer. Those below 100 counted as
        interim, so that the caller waited until the time limit.
        """
        for status in (
            '000 None',
            '001 Low',
            '099 Low',
            '600 High',
            '999 High',
            '1000 Long',
            '20 Short',
            '2xx Letters',
            '-20 Negative',
            '-200 Negative',
            '',
        ):
            for fields, body in (
                (('Content-Length: 16',), PART),
                (('X-Not-Executed: 1', 'Content-Length: 16'), PART),
                (
                    ('Transfer-Encoding: chunked',),
                    b'10\r\n' + PART + b'\r\n0\r\n\r\n',
                ),
                ((), PART),
            ):
                for method, kept in (
                    ('GET', False),
                    ('HEAD', True),
                    ('POST', True),
                ):
                    raw = response(
                        *fields,
                        status=status,
                        body=b'' if method == 'HEAD' else body,
                    )
                    end = End.KEEP if fields else End.FIN
                    with self.subTest(
                        status=status, fields=fields, method=method
                    ):
                        await self.assert_unusable(
                            Script(raw, end), method, 4, kept
                        )

    async def test_early_status_that_is_none(self) -> None:
        """Guards against such a response before the request is received."""
        for status in ('000 None', '600 High'):
            for end in (End.KEEP, End.FIN, End.RST):
                raw = response('Content-Length: 16', status=status, body=PART)
                with self.subTest(status=status, end=end):
                    await self.assert_unusable(
                        Script(raw, end, True), 'POST', LONG_BODY_BYTES, True
                    )


class RetryTest(InvalidResponseTest):
    """Requests that may run again, at the only upstream of their service."""

    async def test_error_response_without_another_upstream(self) -> None:
        """Guards against an answer that is dropped for a refusal.

        After a response with an error, callers got 503, as there was no other
        upstream, though their request had run.
        """
        for status, end, kept in itertools.product(
            ('500 Failed', '503 Failed', '504 Late'),
            (End.KEEP, End.FIN),
            (False, True),
        ):
            raw = response('Content-Length: 16', status=status, body=PART)
            with self.subTest(status=status, end=end, kept=kept):
                answer = await self.play(Script(raw, end), 'GET', 0, kept)
                self.assertEqual((int(status[:3]), PART), answer[:2])


LENGTH_CUT = response('Content-Length: 99', body=PART)
CHUNK_CUT = response('Transfer-Encoding: chunked', body=b'20\r\n' + PART)
NO_LAST_CHUNK = response(
    'Transfer-Encoding: chunked', body=b'10\r\n' + PART + b'\r\n'
)
UNFRAMED = response(body=PART)
HEAD_CUT = response('Content-Length: 16')[:-2]
CUT_RESPONSES = (LENGTH_CUT, CHUNK_CUT, NO_LAST_CHUNK, HEAD_CUT, b'')


class CutTest(InvalidResponseTest):
    """Responses that end before they are complete."""

    async def test_cut_after_the_request(self) -> None:
        """Guards against a part of a response that counts as the whole."""
        cases = itertools.product(CUT_RESPONSES, (End.FIN, End.RST))
        for raw, end in (*cases, (UNFRAMED, End.RST), (response(), End.RST)):
            for method, kept in itertools.product(
                ('GET', 'POST'), (False, True)
            ):
                with self.subTest(raw=raw, end=end, method=method, kept=kept):
                    await self.assert_unusable(
                        Script(raw, end), method, 4, kept
                    )

    async def test_cut_head(self) -> None:
        """Guards against a part of a head that answers HEAD."""
        for raw, end, kept in itertools.product(
            (HEAD_CUT, response()[:-2], b''), (End.FIN, End.RST), (False, True)
        ):
            with self.subTest(raw=raw, end=end, kept=kept):
                await self.assert_unusable(Script(raw, end), 'HEAD', 0, kept)

    async def test_cut_during_the_upload(self) -> None:
        """Guards against a part that counts as the whole after an early end.

        An upstream responded at once without a length, sent a part of the
        body and closed while the upload was still being sent; the caller got
        the part as the whole answer. Where the upstream neither closed nor
        read on, the caller waited until its time limit.
        """
        endings = (
            (End.FIN, 0.02, MEDIUM_BODY_BYTES),
            (End.FIN, 0.02, LONG_BODY_BYTES),
            (End.RST, 0.02, MEDIUM_BODY_BYTES),
            (End.RST, 0.0, LONG_BODY_BYTES),
            (End.RST, 0.02, LONG_BODY_BYTES),
            (End.CLOSE, 0.0, LONG_BODY_BYTES),
            (End.CLOSE, 0.02, LONG_BODY_BYTES),
            (End.HALF_CLOSE, 0.02, MEDIUM_BODY_BYTES),
            (End.HALF_CLOSE, 0.02, LONG_BODY_BYTES),
        )
        for raw, (end, pause_s, size), kept in itertools.product(
            (*CUT_RESPONSES, UNFRAMED, response()), endings, (False, True)
        ):
            with self.subTest(
                raw=raw, end=end, pause=pause_s, size=size, kept=kept
            ):
                await self.assert_unusable(
                    Script(raw, end, True, pause_s), 'POST', size, kept
                )

    async def test_whole_responses(self) -> None:
        """Guards against a whole response that counts as cut."""
        chunked = b'10\r\n' + PART + b'\r\n0\r\n\r\n'
        length = response('Content-Length: 16', body=PART)
        chunks = response('Transfer-Encoding: chunked', body=chunked)
        cases = itertools.product(
            (length, chunks), (End.KEEP, End.FIN, End.RST), (False, True)
        )
        unframed = itertools.product(
            (UNFRAMED,), (End.FIN, End.HALF_CLOSE), (False,)
        )
        for (raw, end, is_early), kept in itertools.product(
            (*cases, *unframed), (False, True)
        ):
            methods = ('POST',) if is_early else ('GET', 'HEAD', 'POST')
            for method in methods:
                head, separator, _ = raw.partition(b'\r\n\r\n')
                sent = head + separator if method == 'HEAD' else raw
                size = LONG_BODY_BYTES if is_early else MEDIUM_BODY_BYTES
                with self.subTest(
                    raw=raw, end=end, method=method, early=is_early, kept=kept
                ):
                    answer = await self.play(
                        Script(sent, end, is_early), method, size, kept
                    )
                    body = b'' if method == 'HEAD' else PART
                    self.assertEqual((200, body), answer[:2])
                    self.assertLess(answer.waited_s, MAX_WAIT_S)

    async def test_whole_responses_before_a_reset(self) -> None:
        """Guards against a whole response that a failed write discards.

        The upstream refused the upload and closed; the router, which still
        wrote, noticed the reset before it read the response.
        """
        chunked = b'10\r\n' + PART + b'\r\n0\r\n\r\n'
        for raw, number in itertools.product(
            (
                response('Content-Length: 16', body=PART),
                response('Transfer-Encoding: chunked', body=chunked),
                response('Content-Length: 16', status='413 No', body=PART),
            ),
            range(4),
        ):
            with self.subTest(raw=raw, number=number):
                answer = await self.play(
                    Script(raw, End.CLOSE, True, 0.0),
                    'POST',
                    LONG_BODY_BYTES,
                    bool(number % 2),
                )
                self.assertEqual(PART, answer.body)

    async def test_early_response_ends_the_connection(self) -> None:
        """Guards against connections that stay open for an unread upload.

        They count towards the upstream's connection limit, and each held
        about 4 MB of unsent data. If the kernel had taken the whole upload, a
        further request waited behind it until its time limit.
        """
        whole = response('Content-Length: 16', body=PART)
        refusal = response('Content-Length: 0', status='400 No')
        for raw, size, kept in itertools.product(
            (whole, refusal),
            (MEDIUM_BODY_BYTES, LONG_BODY_BYTES),
            (False, True),
        ):
            with self.subTest(raw=raw, size=size, kept=kept):
                answer = await self.play(
                    Script(raw, End.HOLD, True), 'POST', size, kept
                )
                self.assertIn(answer.status, (200, 400))
                async with asyncio.timeout(MAX_WAIT_S):
                    while self.upstream.open:
                        await asyncio.sleep(0.02)


class FramingTest(InvalidResponseTest):
    """Responses whose framing is not valid, or not offered."""

    async def test_other_transfer_codings(self) -> None:
        """Guards against encoded bytes that are forwarded as the body.

        The header that names the coding applies to one connection only. With
        a space that HTTP does not have, callers got the chunks as the body.
        """
        chunked = b'10\r\n' + PART + b'\r\n0\r\n\r\n'
        for value, body in (
            ('gzip', PART),
            ('gzip, chunked', chunked),
            ('chunked, gzip', chunked),
            ('xchunked', chunked),
            ('chunked, chunked', chunked),
            ('chunked\r\nTransfer-Encoding: chunked', chunked),
            ('\x0bchunked', chunked),
            ('chunked\x0c', chunked),
            ('chunked\xa0', chunked),
            # Its lower case is the one of the letter K.
            ('chun\u212aed', chunked),
        ):
            raw = response(f'Transfer-Encoding: {value}', body=body)
            for method, end in (
                ('GET', End.FIN),
                ('POST', End.FIN),
                ('POST', End.RST),
            ):
                with self.subTest(value=value, method=method, end=end):
                    await self.assert_unusable(
                        Script(raw, end), method, 4, True
                    )

    async def test_space_after_a_field_name(self) -> None:
        """Guards against framing that a caller applies to another body.

        Callers got 'Transfer-Encoding : chunked' beside the length of a body
        without chunks, or the encoded bytes as the body.
        """
        for field, body, end in (
            (
                'Transfer-Encoding : chunked',
                b'10\r\n' + PART + b'\r\n0\r\n\r\n',
                End.KEEP,
            ),
            ('Transfer-Encoding : gzip', PART, End.FIN),
            ('Content-Length : 16', PART, End.KEEP),
            ('Content-Length : 16', PART, End.FIN),
        ):
            raw = response(field, body=body)
            for method, kept in (('GET', False), ('POST', True)):
                with self.subTest(field=field, method=method, end=end):
                    await self.assert_unusable(
                        Script(raw, end), method, 4, kept
                    )

    async def test_other_protocols(self) -> None:
        """Guards against answers that are no responses of HTTP/1."""
        whole = response('Content-Length: 16', body=PART)
        for version in (
            b'HTTP/0.9',
            b'HTTP/1.2',
            b'HTTP/2',
            b'HTTP/2.0',
            b'RTSP/1.0',
            b'\r\n\r\nRTSP/1.0',
            b'ICE/1.0',
            b'http/1.1',
        ):
            raw = whole.replace(b'HTTP/1.1', version)
            for kept, late in ((False, 0), (True, len(raw) - 1)):
                with self.subTest(version=version, late=late):
                    await self.assert_unusable(
                        Script(raw, late_bytes=late), 'POST', 4, kept
                    )
        for start, late in itertools.product((b'', b'\r\n'), range(0, 9, 4)):
            raw = start + whole
            with self.subTest(start=start, late=late):
                answer = await self.play(
                    Script(raw, late_bytes=len(raw) - late), 'POST', 4, True
                )
                self.assertEqual((200, PART), answer[:2])

    async def test_signature_that_is_not_passed_on(self) -> None:
        """Guards against a 200 without the signature of the upstream.

        A field that Connection lists is left out, and so are bytes that are
        not UTF-8.
        """
        length = 'Content-Length: 16'
        for raw in (
            response(length, 'Connection: X-Response-Signature', body=PART),
            response(length, 'Connection: a,x-attempt-id ,b', body=PART),
            response(length, body=PART).replace(b's.1', b's.\xff1'),
            response(length, body=PART).replace(b's.1', b's.\x011'),
        ):
            for method, kept in (('GET', False), ('POST', True)):
                with self.subTest(raw=raw, method=method):
                    await self.assert_unusable(Script(raw), method, 4, kept)

    async def test_invalid_lengths(self) -> None:
        """Guards against a body whose length is a guess."""
        for value in (
            '',
            '-16',
            '+16',
            '16, 16',
            '0x10',
            '16\r\nX: y',
            '9' * 30,
        ):
            fields = (
                f'Content-Length: {value}',
                'Content-Length: 15' if 'X' in value else 'X-Other: 1',
            )
            raw = response(*fields, body=PART)
            for method, end in itertools.product(
                ('GET', 'POST'), (End.KEEP, End.FIN)
            ):
                with self.subTest(value=value, method=method, end=end):
                    await self.assert_unusable(
                        Script(raw, end), method, 4, True
                    )
        both = response(
            'Content-Length: 16', 'Transfer-Encoding: chunked', body=PART
        )
        await self.assert_unusable(Script(both), 'POST', 4, True)

    async def test_invalid_chunks(self) -> None:
        """Guards against a caller that waits for the rest of a broken body.

        The response was known to be unusable, but the caller got 504 at its
        time limit.
        """
        whole = b'10\r\n' + PART + b'\r\n'
        for body in (
            b'0x10\r\n' + PART,
            b'-10\r\n' + PART,
            b' 10\r\n' + PART,
            b'\r\n' + PART,
            b'10\r' + PART,
            b'10000000000000010\r\n' + PART,
            b'0f\r\n' + PART + b'\r\n0\r\n\r\n',
            whole + PART,
            whole + b'0\r\nContent-Length: 16\r\n\r\n',
            whole + b'0\r\nno field\r\n\r\n',
        ):
            raw = response('Transfer-Encoding: chunked', body=body)
            for method, kept, late in (('GET', False, 5), ('POST', True, 0)):
                with self.subTest(body=body, method=method, late=late):
                    await self.assert_unusable(
                        Script(raw, late_bytes=late), method, 4, kept
                    )

    async def test_trailers_of_a_late_response(self) -> None:
        """Guards against a response with the fields of another one.

        A trailer field of a late response to an earlier request counted as a
        field of the response to the current one: a request that had run got
        503, which states that it has not.
        """
        chunks = b'10\r\n' + PART + b'\r\n4\r\n\r\n\r\n\r\n0\r\n'
        final = response('Content-Length: 5', body=b'final')
        for field in (
            b'X-Not-Executed: 1',
            b'X-Attempt-Id: another',
            b'Connection: X-Response-Signature',
        ):
            late = response(
                'Transfer-Encoding: chunked',
                body=chunks + field + b'\r\n\r\n',
            ).replace(b'@ID', b'earlier')
            for count, late_bytes, kept in (
                (1, 0, True),
                (3, 0, True),
                (1, len(final), False),
                (1, len(final) + 2, True),
                (1, len(final) + 9, True),
                (1, len(final) - 5, True),
            ):
                raw = late * count + final
                with self.subTest(field=field, count=count, late=late_bytes):
                    answer = await self.play(
                        Script(raw, late_bytes=late_bytes), 'POST', 4, kept
                    )
                    self.assertEqual((200, b'final'), answer[:2])

    async def test_invalid_keep_alive(self) -> None:
        """Guards against a whole response that is dropped for its hints.

        Callers got 502 after a number that Python does not convert, and the
        connection stayed open outside the pool.
        """
        for value in (
            'timeout=\u00b2',
            'timeout=\u0663',
            'timeout=' + '5' * 5000,
            'timeout=' + '0' * 5000,
            'timeout=-5',
            'timeout=',
            'timeout',
            'timeout=5, timeout=\u2460, max=1',
        ):
            raw = response(
                'Content-Length: 16', f'Keep-Alive: {value}', body=PART
            )
            for method, kept in itertools.product(
                ('GET', 'POST'), (False, True)
            ):
                with self.subTest(value=value[:20], method=method, kept=kept):
                    answer = await self.play(Script(raw), method, 4, kept)
                    self.assertEqual((200, PART), answer[:2])
                    sound = await self.ask('POST', 4)
                    self.assertEqual((200, b'sound'), sound[:2])
                    # The connections are in the pool, or closed.
                    await self.drop_connections()
                    async with asyncio.timeout(MAX_WAIT_S):
                        while self.upstream.open:
                            await asyncio.sleep(0.02)

    async def test_bytes_after_a_response(self) -> None:
        """Guards against a whole response that is dropped for what follows.

        Callers got 502 if bytes that are no response arrived with it.
        """
        whole = response('Content-Length: 16', body=PART)
        chunked = response(
            'Transfer-Encoding: chunked',
            body=b'10\r\n' + PART + b'\r\n0\r\n\r\n',
        )
        for raw, surplus, kept in itertools.product(
            (whole, chunked),
            (b'x', b'no response\r\n\r\n', bytes(100), b'y' * 200_000, whole),
            (False, True),
        ):
            with self.subTest(raw=raw, surplus=surplus[:20], kept=kept):
                answer = await self.play(
                    Script(raw + surplus), 'POST', 4, kept
                )
                self.assertEqual((200, PART), answer[:2])
                # None of the bytes is taken for the next response.
                sound = await self.ask('POST', 4)
                self.assertEqual((200, b'sound'), sound[:2])

    async def test_begin_of_a_further_response(self) -> None:
        """Guards against a request whose response follows a part of another.

        The upstream sends the rest once it has received the next request.
        """
        whole = response('Content-Length: 16', body=PART)
        for begin in (b'H', b'HTTP/1.1 20', b'HTTP/1.1 200 OK\r\nX-A'):
            with self.subTest(begin=begin):
                answer = await self.play(
                    Script(whole + begin), 'POST', 4, True
                )
                self.assertEqual((200, PART), answer[:2])
                sound = await self.ask('POST', 4)
                self.assertEqual((200, b'sound'), sound[:2])
                self.assertFalse(self.upstream.kept)

    async def test_bytes_after_a_response_that_follows_a_late_one(
        self,
    ) -> None:
        """Guards against a whole response that is dropped for what follows.

        A late second response to an earlier request precedes it.
        """
        late = response('Content-Length: 16', body=PART).replace(
            b'@ID', b'earlier'
        )
        whole = response('Content-Length: 16', body=PART)
        for surplus, kept in itertools.product(
            (b'x', b'no response\r\n\r\n', bytes(100), b'y' * 200_000),
            (False, True),
        ):
            with self.subTest(surplus=surplus[:20], kept=kept):
                answer = await self.play(
                    Script(late + whole + surplus), 'POST', 4, kept
                )
                self.assertEqual((200, PART), answer[:2])

    async def test_bytes_after_a_response_in_two_parts(self) -> None:
        """Guards against the same where the head arrives in two parts."""
        surplus = b'no response\r\n\r\n'
        short = response('Content-Length: 16', body=PART) + surplus
        field = 'X-Long: ' + 'x' * connections.PARSE_BYTES
        long = response(field, 'Content-Length: 16', body=PART) + surplus
        after_head = len(PART + surplus)
        for raw, late, kept in itertools.product(
            (short, long), range(-1, 6), (False, True)
        ):
            with self.subTest(size=len(raw), late=late, kept=kept):
                answer = await self.play(
                    Script(raw, late_bytes=after_head + late), 'POST', 4, kept
                )
                self.assertEqual((200, PART), answer[:2])
        # The end of the head is where the router divides what it parses.
        for shift in range(-200, 5):
            size = connections.PARSE_BYTES + shift
            field = 'X-Long: ' + 'x' * size
            raw = response(field, 'Content-Length: 16', body=PART) + surplus
            head_size = raw.index(b'\r\n\r\n')
            if abs(head_size - connections.PARSE_BYTES) > 8:
                continue
            with self.subTest(head=head_size):
                answer = await self.play(Script(raw), 'POST', 4, True)
                self.assertEqual((200, PART), answer[:2])


class InterimTest(InvalidResponseTest):
    """Interim responses, with and without a final one."""

    async def test_interim_responses(self) -> None:
        """Guards against an interim response that counts as the answer."""
        final = response('Content-Length: 5', body=b'final')
        for status in ('100 Continue', '102 Processing', '103 Early Hints'):
            interim = response('Link: x', status=status, signed=False)
            for kept in (False, True):
                with self.subTest(status=status, kept=kept):
                    answer = await self.play(
                        Script(interim * 2 + final), 'POST', 4, kept
                    )
                    self.assertEqual((200, b'final'), answer[:2])
                    for end, is_early in itertools.product(
                        (End.FIN, End.RST), (False, True)
                    ):
                        size = LONG_BODY_BYTES if is_early else 4
                        await self.assert_unusable(
                            Script(interim, end, is_early), 'POST', size, kept
                        )

    async def test_many_interim_responses(self) -> None:
        """Guards against a valid response that is dropped for interim ones.

        Callers got 502 after four interim responses.
        """
        final = response('Content-Length: 5', body=b'final')
        interim = response(status='100 Continue', signed=False)
        hint = response('Link: x', status='103 Early Hints', signed=False)
        for raw in (interim * 4, interim * 12, hint * 200, interim * 2000):
            for kept, late_bytes, is_early in (
                (True, 0, False),
                (False, len(final), False),
                (True, len(raw) // 2 + 3, True),
            ):
                size = LONG_BODY_BYTES if is_early else 4
                with self.subTest(size=len(raw), late=late_bytes):
                    answer = await self.play(
                        Script(
                            raw + final,
                            is_early=is_early,
                            late_bytes=late_bytes,
                        ),
                        'POST',
                        size,
                        kept,
                    )
                    self.assertEqual((200, b'final'), answer[:2])
        # More than any upstream sends, and without end.
        await self.assert_unusable(
            Script(interim * 8000, End.HOLD), 'POST', 4, True
        )

    async def test_interim_response_after_the_final_one(self) -> None:
        """Guards against bytes of no request on a connection in use."""
        final = response('Content-Length: 5', body=b'final')
        interim = response(status='100 Continue', signed=False)
        answer = await self.play(Script(final + interim), 'POST', 4, True)
        self.assertEqual((200, b'final'), answer[:2])
        self.assertEqual((200, b'sound'), (await self.ask('POST', 4))[:2])
        self.assertFalse(self.upstream.kept)

    async def test_upgrade(self) -> None:
        """Guards against a caller that waits for an upgraded connection."""
        for fields in ((), ('Connection: Upgrade', 'Upgrade: websocket')):
            raw = response(*fields, status='101 Switching Protocols')
            for method, is_early in (
                ('GET', False),
                ('POST', False),
                ('POST', True),
            ):
                size = LONG_BODY_BYTES if is_early else 4
                with self.subTest(fields=fields, method=method):
                    await self.assert_unusable(
                        Script(raw + SOUND, End.KEEP, is_early),
                        method,
                        size,
                        True,
                    )


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """Responses to orders that are none, or cut."""

    async def order(self, raw: bytes, reset: bool) -> list[object]:
        """Return the outcomes of a grant and a release.

        Parameters
        ----------
        raw : bytes
            What the upstream sends.
        reset : bool
            Whether it then resets the connection instead of closing it.
        """

        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'}')
            writer.write(raw)
            await asyncio.sleep(0.02)
            if reset:
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER
                )
            writer.close()

        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        keys = model.KeyRange(0, 9)
        deadline = asyncio.get_running_loop().time() + MAX_WAIT_S
        async with server:
            address = model.Address(*server.sockets[0].getsockname())
            async with orders.open_session() as session:
                granted = await orders.OrderClient(session).grant(
                    address, 'u', keys, 7, 3.0, '', deadline
                )
            async with orders.open_session() as session:
                released = await orders.OrderClient(session).release(
                    address, 'u', keys, 8, deadline
                )
        return [granted, released]

    async def test_responses_that_confirm_nothing(self) -> None:
        """Guards against keys with two owners after an invalid response."""
        statuses = ('000 None', '099 Low', '600 High', '999 High', '2xx No')
        cases = [
            (response('Content-Length: 0', status=status), False)
            for status in (*statuses, '20 Short', '1000 Long', '', '101 Up')
        ]
        cases += [
            (response('Content-Length: 9', body=b'part'), False),
            (response('Content-Length: 9', body=b'part'), True),
            (
                response('Transfer-Encoding: chunked', body=b'4\r\npart\r\n'),
                False,
            ),
            (response(body=b'part'), True),
            (response(), True),
            (response('Content-Length: 0')[:-2], False),
            (response(status='100 Continue'), False),
            (b'', False),
            (b'', True),
        ]
        for raw, reset in cases:
            with self.subTest(raw=raw, reset=reset):
                started_at = time.monotonic()
                for outcome in await self.order(raw, reset):
                    assert isinstance(outcome, outcomes.Unconfirmed), outcome
                    self.assertTrue(outcome.in_doubt)
                self.assertLess(time.monotonic() - started_at, MAX_WAIT_S)

    async def test_whole_responses(self) -> None:
        """Guards against an accepted order that counts as unanswered."""
        for raw in (
            response('Content-Length: 0', 'X-Handover: h'),
            response('Transfer-Encoding: chunked', 'X-Handover: h')
            + b'0\r\n\r\n',
            response('X-Handover: h'),
        ):
            with self.subTest(raw=raw):
                self.assertEqual(
                    [outcomes.Granted(), outcomes.Released('h')],
                    await self.order(raw, False),
                )


class CallerTest(InvalidResponseTest):
    """Answers that end early on the way to the caller."""

    async def start_answer(
        self, version: str, raw: bytes, end: End
    ) -> tuple[bytes, asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request; return the head of its answer.

        Parameters
        ----------
        version : str
            HTTP version of the caller.
        raw, end : bytes, End
            What the upstream sends and does.
        """
        self.upstream.script = Script(raw, end)
        reader, writer = await asyncio.open_connection(
            self.host, self.ports[0], limit=WINDOW_BYTES
        )
        self.addCleanup(writer.transport.abort)
        lines = (
            f'GET /read/x HTTP/{version}',
            f'Host: {fleet.HOST}',
            f'X-Attempt-Id: c{next(self.numbers)}',
            f'X-Deadline-Ms: {TIME_LIMIT_MS}',
        )
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        return await reader.readuntil(b'\r\n\r\n'), reader, writer

    async def test_answer_states_its_length(self) -> None:
        """Guards against an answer whose early end looks like its end."""
        chunked = response(
            'Transfer-Encoding: chunked',
            body=b'10\r\n' + PART + b'\r\n0\r\n\r\n',
        )
        length = response('Content-Length: 16', body=PART)
        for version, (raw, end) in itertools.product(
            ('1.0', '1.1'),
            ((length, End.KEEP), (chunked, End.KEEP), (UNFRAMED, End.FIN)),
        ):
            with self.subTest(version=version, raw=raw):
                head, reader, _ = await self.start_answer(version, raw, end)
                self.assertIn(b'\r\nContent-Length: 16\r\n', head)
                self.assertNotIn(b'Transfer-Encoding', head)
                self.assertEqual(PART, await reader.readexactly(16))

    async def test_router_that_is_killed(self) -> None:
        """Guards against a part that a killed router leaves as the whole."""
        size = 8_000_000
        raw = response(f'Content-Length: {size}', body=bytes(size))
        head, reader, _ = await self.start_answer('1.1', raw, End.KEEP)
        self.assertIn(b'\r\nContent-Length: %d\r\n' % size, head)
        self.router.kill()
        with self.assertRaises((asyncio.IncompleteReadError, OSError)):
            await reader.readexactly(size)


class TrailerTest(InvalidResponseTest):
    """Trailers in the requests of a caller."""

    def request(self, number: int, *fields: str, body: bytes) -> bytes:
        """Return the bytes of a request."""
        lines = (
            f'POST /order/{number} HTTP/1.1',
            f'Host: {fleet.HOST}',
            f'X-Attempt-Id: t{number}',
            f'X-Deadline-Ms: {TIME_LIMIT_MS}',
            *fields,
        )
        return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body

    def with_trailer(self, number: int, field: str, chunks: bytes) -> bytes:
        """Return the bytes of a request with a trailer field."""
        end = f'0\r\nX: y\r\n{field}\r\n\r\n'.encode()
        return self.request(
            number, 'Transfer-Encoding: chunked', body=chunks + end
        )

    async def read_status(self, reader: asyncio.StreamReader) -> str:
        """Return the status of the next answer."""
        async with asyncio.timeout(MAX_WAIT_S):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            _, _, length = head.lower().partition('content-length: ')
            await reader.readexactly(int(length.split()[0]))
        return head.split()[1]

    def assert_unchanged(self, numbers: typing.Sequence[int]) -> None:
        """Check that each request had its own ID only."""
        ids = [
            re.findall(r'(?i)x-attempt-id: (\w+)', head)
            for head in self.upstream.heads
        ]
        self.assertEqual([[f't{number}'] for number in numbers], ids)

    async def test_trailers_of_an_earlier_request(self) -> None:
        """Guards against a request with the fields of another one.

        A trailer field counted as a field of the next request on the
        connection, such as its ID or its time limit.
        """
        long = b'7fff\r\n' + bytes(0x7FFF) + b'\r\n'
        for field, chunks, cut in itertools.product(
            ('X-Attempt-Id: other', 'X-Deadline-Ms: 1', 'Host: other'),
            (b'6\r\na\r\n\r\nb\r\n', long * 40),
            (1, 2, 4, 30),
        ):
            first = self.with_trailer(1, field, chunks)
            second = self.request(2, 'Content-Length: 4', body=b'\r\n\r\n')
            self.upstream.heads.clear()
            reader, writer = await asyncio.open_connection(
                self.host, self.ports[0]
            )
            with self.subTest(field=field, size=len(first), cut=cut):
                for whole in (first, second, first, second):
                    writer.write(whole[:-cut])
                    await asyncio.sleep(0.03)
                    writer.write(whole[-cut:])
                    self.assertEqual('200', await self.read_status(reader))
                self.assert_unchanged((1, 2, 1, 2))
            writer.transport.abort()

    async def test_trailers_of_a_pipelined_request(self) -> None:
        """Guards against the same if the requests are sent together."""
        first = self.with_trailer(1, 'X-Attempt-Id: other', b'1\r\na\r\n')
        second = self.request(2, 'Content-Length: 4', body=b'work')
        reader, writer = await asyncio.open_connection(
            self.host, self.ports[0]
        )
        self.addCleanup(writer.transport.abort)
        writer.write(first + second)
        for _ in range(2):
            self.assertEqual('200', await self.read_status(reader))
        self.assert_unchanged((1, 2))
