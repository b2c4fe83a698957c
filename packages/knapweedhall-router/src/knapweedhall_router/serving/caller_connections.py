"""Connections of callers, with limits on heads that are not completed."""

from __future__ import annotations

import asyncio
import collections
import fcntl
import itertools
import math
import select
import socket
import termios
import typing

from aiohttp import http
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import tasks
from knapweedhall_routing import head_budget

# Limit of the bytes of a head that is not complete, with empty lines before
# it, and of trailers or of one chunk's framing. The platform allows heads of
# 16 KB.
MAX_HEAD_BYTES = 65536
# Bytes that are read from a socket at once while a head may arrive. What
# follows a head in the same read is held before the request can be refused.
READ_BYTES = 16384
# The same while the body of a request with a handler arrives. Smaller reads
# made uploads of 30 MB exceed a time limit of 1 s.
BODY_READ_BYTES = 256 * 1024
# Share of a read that the framing of a chunked body may have for the next read
# to be as large. Chunks of a few bytes take long to parse, while other
# connections wait.
MAX_FRAMING_SHARE = 0.125
END_OF_HEAD = b'\r\n\r\n'
# Time after the set-up of a connection in which its first request may still be
# on its way: a round trip, and what waits in front of it on a busy link. The
# platform's callers give up a request that is not read within this time.
FIRST_REQUEST_S = 1.0


_numbers = itertools.count(1)


class Limits(typing.NamedTuple):
    """Limits over all connections.

    Attributes
    ----------
    connections : float
        Maximum number of open connections.
    head_memory_bytes : float
        Memory that the heads of their requests may take, bytes.
    """

    connections: float
    head_memory_bytes: float


NO_LIMITS = Limits(math.inf, math.inf)


class CallerConnection(web_protocol.RequestHandler):
    """A connection of a caller.

    Attributes
    ----------
    head_since : float
        When the first byte of an incomplete head arrived, seconds; inf if
        none is being received.
    number : int
        Number of the connection in this process.
    head_bytes : int
        Bytes received that may belong to an incomplete head, with empty lines
        before it.
    framing_bytes : int
        Bytes received of a chunked body since bytes of the body itself:
        trailers, or the extensions of a chunk.
    body : aiohttp.streams.StreamReader or None
        Body of the last request that was parsed.
    body_left : int or None
        Bytes of it that were not received; None if it is chunked.
    request_bytes : collections.deque of int
        Bytes received for each request that waits for its handler. Those that
        arrived together are counted with the last of them.
    handled_bytes : int
        Bytes of the head of the last request that got a handler. The server
        keeps it until the next one.
    last_bytes : bytes
        Last bytes received, which may be the beginning of the end of a head.
    chunked_body : aiohttp.streams.StreamReader or None
        Body of the last request that was parsed, if it is chunked and not
        complete.
    running : bool
        Whether a request is in progress.
    request_at : float
        When the last request was passed to its handler, on `clock.now`.
    content : aiohttp.streams.StreamReader or None
        Body of the last request.
    malformed : bool
        Whether the framing of the last body is not valid.
    sending : asyncio.Transport or None
        The transport until the connection is closed, also while it is closing
        and still sends.
    first_request_until : float
        Until when its first request may still be on its way, on `clock.now`;
        -inf once one has arrived.
    """

    __slots__ = (
        'number',
        'head_since',
        'head_bytes',
        'framing_bytes',
        'body',
        'body_left',
        'request_bytes',
        'handled_bytes',
        'last_bytes',
        'chunked_body',
        'running',
        'request_at',
        'content',
        'malformed',
        'sending',
        'first_request_until',
    )

    def __init__(
        self,
        manager: web.Server,
        *arguments: typing.Any,
        **options: typing.Any,
    ) -> None:
        super().__init__(manager, *arguments, **options)
        self.number = next(_numbers)
        self.head_since = math.inf
        self.head_bytes = 0
        self.framing_bytes = 0
        self.body: streams.StreamReader | None = None
        self.body_left: int | None = 0
        self.request_bytes: collections.deque[int] = collections.deque()
        self.handled_bytes = 0
        self.last_bytes = b''
        self.chunked_body: streams.StreamReader | None = None
        self.running = False
        self.request_at = -math.inf
        self.content: streams.StreamReader | None = None
        self.malformed = False
        self.sending: asyncio.Transport | None = None
        self.first_request_until = clock.now() + FIRST_REQUEST_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.sending = transport
        self._limit_reads(READ_BYTES)
        # A response counts as sent only once the kernel has taken it.
        transport.set_write_buffer_limits(0)
        super().connection_made(transport)

    def _limit_reads(self, size: int) -> None:
        """Set how many bytes are read from the socket at once."""
        if self.sending is not None:
            # asyncio's transports for sockets take it from this attribute.
            setattr(self.sending, 'max_size', size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if reading is paused.

        The library calls this for each chunk that is read from a body.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop the transport of a closed connection."""
        if exc is None and self.sending is not None:
            if isinstance(self._manager, CallerServer):
                self._manager.record_closed(
                    self.sending.get_extra_info('socket')
                )
        self.sending = None
        super().connection_lost(exc)

    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be taken by the kernel."""
        if self.sending is None:
            return 0
        return self.sending.get_write_buffer_size()

    def log_exception(self, *arguments: typing.Any, **options: object) -> None:
        """Log why a request was not parsed or a response not written."""
        error = options.get('exc_info')
        reason = str(arguments[0]) if arguments else ''
        if isinstance(error, BaseException):
            reason = tasks.describe(error)
        if isinstance(error, http.HttpProcessingError):
            # The message contains what was received, such as a caller's key.
            reason = type(error).__name__
        logs.warning('caller_fault', reason=reason)

    def record_request(self, content: streams.StreamReader) -> None:
        """Record that a request was passed to its handler.

        Parameters
        ----------
        content : aiohttp.streams.StreamReader
            Its body, which may still be arriving.
        """
        self.running = True
        self.first_request_until = -math.inf
        self.request_at = clock.now()
        self.content = content
        received = self.request_bytes.popleft() if self.request_bytes else 0
        # The body is counted by its handler.
        self.handled_bytes = max(0, received - content.total_bytes)
        self._record_held()
        if content.is_eof():
            self.record_body()
        elif content is not self.chunked_body:
            self._limit_reads(BODY_READ_BYTES)
        self._end_malformed_body()

    def record_body(self) -> None:
        """Record that the last request was received whole."""
        if isinstance(self._manager, CallerServer):
            self._manager.limit.begin_request(self.number)

    def _end_malformed_body(self) -> None:
        """End a body whose framing is not valid; the parser does not go on.

        No further request begins before the end of a body, so what waits then
        is the parser's error.
        """
        if self.content is None or self.content.is_eof():
            return
        if not self.has_waiting_request():
            return
        self.malformed = True
        if self.running:
            self.content.feed_eof()
        else:
            # The response has been sent.
            self.force_close()

    def record_response(self) -> None:
        """Record that the handler has ended."""
        self.running = False
        self._limit_reads(READ_BYTES)
        if self.head_bytes:
            # The time for a head begins when its response could follow.
            self.head_since = clock.now()
        if isinstance(self._manager, CallerServer):
            self._manager.limit.end_request(self.number)

    def has_waiting_request(self) -> bool:
        """Return whether a further request was read and awaits its turn."""
        return bool(self._messages)

    def is_handling(self) -> bool:
        """Return whether received bytes belong to a request with a handler.

        After an early response, the rest of the body is discarded.
        """
        if self.running or self._is_passing_request():
            return True
        return self.content is not None and not self.content.is_eof()

    def _is_passing_request(self) -> bool:
        """Return whether a request that waited is on its way to its handler.

        The server takes it out of the queue one cycle of the event loop before
        the handler begins.
        """
        return self._waiter is None and not self._request_in_progress

    def is_idle(self) -> bool:
        """Return whether the connection is open and its caller awaits nothing.

        A caller awaits a response as soon as it has sent a request, of which
        some bytes may not be read yet, or not have reached a handler.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.is_handling() or self.unsent_bytes():
            return False
        if self.has_waiting_request() or self.head_since < math.inf:
            # A head that is arriving ends with the response, or when it takes
            # too long.
            return False
        if clock.now() < self.first_request_until:
            return False
        return not self._has_unread_bytes()

    def has_slow_head(self, began_before: float) -> bool:
        """Return whether a head began before a time and has not arrived."""
        if self.transport is None:
            return False
        if self.is_handling() or self.has_waiting_request():
            return False
        # After a standstill of the process, what arrived was not read yet.
        return self.head_since < began_before and not self._has_unread_bytes()

    def close_now(self) -> None:
        """Close the idle connection, at once for its caller.

        The transport closes the socket in the next cycle of the event loop. A
        request that its caller sends until then would be lost.
        """
        assert self.transport is not None
        try:
            self.transport.get_extra_info('socket').shutdown(socket.SHUT_WR)
        except OSError as error:
            # The caller has reset the connection.
            logs.warning('caller_fault', reason=tasks.describe(error))
        # `close` would leave an idle connection open and unread.
        self.force_close()

    def _has_unread_bytes(self) -> bool:
        """Return whether the kernel has bytes that were not read."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info('socket'), select.POLLIN)
        return bool(poll.poll(0))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and count those that are held."""
        body = self._arriving_body()
        is_counted = not self._upgraded
        count = self._request_count
        body_bytes = body.total_bytes if body is not None else 0
        before = self.last_bytes
        if data:
            overlap = 1 - len(END_OF_HEAD)
            self.last_bytes = (before + data[overlap:])[overlap:]
        self._parse(data)
        if self.transport is None:
            return
        if self._request_count > count:
            count = self._request_count - count
            self._count_requests(before, data, count, body)
        elif body is not None:
            growth = body.total_bytes - body_bytes
            self._count_body(before, data, body, growth)
        elif is_counted:
            self._count_head(data)
        if max(self.head_bytes, self.framing_bytes) > MAX_HEAD_BYTES:
            self.evict()
            return
        self._record_held()
        if self.transport is not None:
            self._end_malformed_body()

    def _arriving_body(self) -> streams.StreamReader | None:
        """Return the body to which the next bytes belong, if any."""
        for body in (self.body, self.content):
            if body is not None and not body.is_eof():
                return body
        return None

    def _count_requests(
        self,
        before: bytes,
        data: bytes,
        count: int,
        body: streams.StreamReader | None,
    ) -> None:
        """Count bytes that completed the heads of requests.

        Parameters
        ----------
        before, data : bytes
            The last bytes of the read before, and those of this read.
        count : int
            Number of these requests.
        body : aiohttp.streams.StreamReader or None
            Body of an earlier request that was still arriving.
        """
        end = 0
        if body is not None and body is self.body and self.body_left:
            end = min(self.body_left, len(data))
        new = [self._messages[-each] for each in range(count, 0, -1)]
        for message, self.body in new:
            end = self._end_of_request(before, data, end, message)
        rest = self._rest(data, end)
        received = self.head_bytes + len(data) - rest
        self.request_bytes.extend([0] * (count - 1) + [received])
        self.framing_bytes = 0
        self.head_bytes = 0
        self.head_since = math.inf
        self._begin_head(rest)

    def _end_of_request(
        self, before: bytes, data: bytes, begin: int, message: object
    ) -> int:
        """Return where a request ends that begins or goes on in a read.

        For one with a chunked body that is followed by others, this is the
        end of its head at least.
        """
        assert self.body is not None
        self.body_left = 0
        if not isinstance(message, http.RawRequestMessage):
            return len(data)
        overlap = b''
        if begin or not self.head_bytes:
            # Empty lines before a head end like one.
            begin = len(data) - len(data[begin:].lstrip(END_OF_HEAD))
        else:
            overlap = before
        end = (overlap + data).find(END_OF_HEAD, begin)
        if end < 0:
            return len(data)
        end += len(END_OF_HEAD) - len(overlap)
        if message.chunked:
            self.body_left = None
            if not self.body.is_eof():
                return len(data)
        length = int(message.headers.get('Content-Length', 0))
        if not length:
            # What follows the last empty line is no whole head.
            end = max(end, data.rfind(END_OF_HEAD) + len(END_OF_HEAD))
        elif not self._reading_paused:
            self.body_left = length - self.body.total_bytes
        else:
            self.body_left = max(0, end + length - len(data))
        return min(end + length, len(data))

    def _count_body(
        self,
        before: bytes,
        data: bytes,
        body: streams.StreamReader,
        growth: int,
    ) -> None:
        """Count bytes that belong to a body, or follow its end."""
        if self.request_bytes:
            self.request_bytes[-1] += len(data)
        if body is not self.body:
            return
        if self.body_left is not None:
            rest = len(data) - self.body_left
            self.body_left = max(0, -rest)
            self._begin_head(self._rest(data, len(data) - max(0, rest)))
        elif not body.is_eof():
            self.framing_bytes = (
                0 if growth else (self.framing_bytes + len(data))
            )
            if self.running and data:
                framing = len(data) - growth
                is_large = framing <= len(data) * MAX_FRAMING_SHARE
                self._limit_reads(BODY_READ_BYTES if is_large else READ_BYTES)
        else:
            self.framing_bytes = 0
            end = (before + data).rfind(END_OF_HEAD)
            if end >= 0:
                end += len(END_OF_HEAD) - len(before)
                self._begin_head(self._rest(data, end))

    def _count_head(self, data: bytes) -> None:
        """Count bytes of a head that is not complete."""
        if self.is_handling() or self.has_waiting_request():
            # Some callers send an empty line after a body.
            self._begin_head(self._rest(data, 0))
        else:
            self._begin_head(len(data))

    def _begin_head(self, size: int) -> None:
        """Count bytes of a head; its time begins with the first of them."""
        if size and self.head_since == math.inf:
            self.head_since = clock.now()
        self.head_bytes += size

    @staticmethod
    def _rest(data: bytes, end: int) -> int:
        """Return how many bytes follow a request, except empty lines."""
        if not data[end:].strip(END_OF_HEAD):
            return 0
        return len(data) - end

    def _record_held(self) -> None:
        """Record how many bytes the connection holds."""
        if not isinstance(self._manager, CallerServer):
            return
        held = self.head_bytes + self.framing_bytes + self.handled_bytes
        held += len(self._message_tail)
        self._manager.record_held(self, held + sum(self.request_bytes))

    def evict(self) -> None:
        """Close the connection as its caller uses too much."""
        transport = self.transport
        self.force_close()
        # Its memory is free before other connections are read.
        self._parser = None
        if transport is not None and self.unsent_bytes():
            # A caller that does not read would keep it open.
            transport.abort()

    def _parse(self, data: bytes) -> None:
        count = self._request_count
        super().data_received(data)
        if self._request_count > count:
            message, body = self._messages[-1]
            error = getattr(message, 'exc', None)
            if error is not None:
                # It refers to the whole read, until the request is refused.
                error.__traceback__ = None
            is_chunked = isinstance(message, http.RawRequestMessage) and (
                message.chunked
            )
            self.chunked_body = body if is_chunked else None
        if self.chunked_body is not None and self.chunked_body.is_eof():
            self.chunked_body = None
            self._renew_parser()

    def _renew_parser(self) -> None:
        """Begin with a new parser, unless the last one has more to parse.

        A parser adds the last trailer field of a chunked body to the head
        that follows.
        """
        if self._reading_paused or self._upgraded or len(self._messages) > 1:
            return
        if not END_OF_HEAD.endswith(self.last_bytes):
            return
        self._parser = http.HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=self._max_msg_queue_size,
        )


class CallerServer(web.Server):
    """HTTP server for callers.

    Attributes
    ----------
    is_stopping : bool
        Whether closed connections are kept until their bytes have arrived.
    closed : collections.deque of socket.socket
        Sockets of these connections. Once they are closed, the kernel resets
        a connection on which bytes arrive, and drops what it has not sent.
    budget : head_budget.HeadBudget
        Memory of the heads of requests.
    limit : head_budget.ConnectionLimit
        The open connections.
    limits : callable
        Returns the limits in force.
    by_number : dict of int to CallerConnection
        The open connections by their number.
    evicted : int
        Number of connections that were closed for one of the limits.
    """

    def __init__(
        self,
        *arguments: typing.Any,
        limits: typing.Callable[[], Limits] = lambda: NO_LIMITS,
        **options: typing.Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self.budget = head_budget.HeadBudget()
        self.limit = head_budget.ConnectionLimit()
        self.limits = limits
        self.by_number: dict[int, CallerConnection] = {}
        self.evicted = 0
        self.is_stopping = False
        self.closed: collections.deque[socket.socket] = collections.deque()

    def connection_made(
        self,
        handler: web_protocol.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Record a connection, and close one if there are too many."""
        super().connection_made(handler, transport)
        assert isinstance(handler, CallerConnection)
        self.by_number[handler.number] = handler
        self.limit.add(handler.number)
        number = self.limit.find_excess(self.limits().connections)
        if number is not None:
            self._evict(number)

    def connection_lost(
        self,
        handler: web_protocol.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Drop a connection that is closed."""
        assert isinstance(handler, CallerConnection)
        self.by_number.pop(handler.number, None)
        self.limit.remove(handler.number)
        self.budget.hold(handler.number, 0)
        super().connection_lost(handler, exc)

    def record_held(self, connection: CallerConnection, held: int) -> None:
        """Record what a connection holds; close others if it is too much."""
        if connection.number not in self.by_number:
            return
        self.budget.hold(connection.number, held)
        while True:
            number = self.budget.find_excess(self.limits().head_memory_bytes)
            if number is None:
                return
            self._evict(number)

    def _evict(self, number: int) -> None:
        """Close a connection, and count it no longer."""
        self.evicted += 1
        self.limit.remove(number)
        self.budget.hold(number, 0)
        self.by_number.pop(number).evict()

    def record_closed(self, connection: socket.socket) -> None:
        """Keep the socket of a connection that is closed in a stop."""
        if not self.is_stopping:
            return
        # Two for each that is added, so that they do not add up.
        self._close_arrived(2)
        try:
            kept = connection.dup()
        except OSError as error:
            logs.warning('caller_fault', reason=tasks.describe(error))
            return
        try:
            kept.shutdown(socket.SHUT_WR)
        except OSError as error:
            # The caller has reset the connection.
            logs.warning('caller_fault', reason=tasks.describe(error))
            kept.close()
            return
        self.closed.append(kept)

    def is_sending(self) -> bool:
        """Return whether bytes for callers have not arrived.

        Those of a caller that does not read have not, either.
        """
        self._close_arrived(len(self.closed))
        return bool(self.connections) or bool(self.closed)

    def _close_arrived(self, count: int) -> None:
        """Check some sockets, and close those whose bytes have arrived."""
        for _ in range(min(count, len(self.closed))):
            kept = self.closed.popleft()
            if _has_arrived(kept):
                kept.close()
            else:
                self.closed.append(kept)

    def caller_connections(self) -> list[CallerConnection]:
        """Return the open connections, also those that are closing."""
        return [
            connection
            for connection in self.connections
            if isinstance(connection, CallerConnection)
        ]

    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be taken by the kernel."""
        return sum(each.unsent_bytes() for each in self.caller_connections())

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def close_idle(self) -> None:
        """Close the idle connections.

        The others are left alone: `close` would make aiohttp discard the rest
        of a body that is still arriving.
        """
        for connection in self.caller_connections():
            if connection.is_idle():
                connection.close_now()

    def close_slow(self, head_timeout_s: float) -> int:
        """Close connections whose head takes too long; return their number."""
        began_before = clock.now() - head_timeout_s
        slow = [
            connection
            for connection in self.caller_connections()
            if connection.has_slow_head(began_before)
        ]
        for connection in slow:
            connection.force_close()
        return len(slow)


def _has_arrived(connection: socket.socket) -> bool:
    """Return whether a caller's host has acknowledged all, or is gone."""
    poll = select.poll()
    poll.register(connection, 0)
    if poll.poll(0):
        return True
    # Size of the kernel's send queue (tcp(7), SIOCOUTQ).
    return not any(fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4)))


Handler = typing.Callable[
    [web.BaseRequest], typing.Awaitable[web.StreamResponse]
]


def answer_at_once(handler: Handler) -> Handler:
    """Return a handler that records its requests for their connections."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        connection.record_request(request.content)
        try:
            return await handler(request)
        finally:
            connection.record_response()

    return handle
