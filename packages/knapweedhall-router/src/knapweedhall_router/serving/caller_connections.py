"""Connections of callers, with limits on heads that are not completed."""

from __future__ import annotations

import asyncio
import collections
import fcntl
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

# Limit of the bytes of a head that is not complete. The platform allows heads
# of 16 KB.
MAX_HEAD_BYTES = 65536
# Limit of bytes received until a request is passed to its handler: its head
# and, if the caller sends on at once, up to two reads (256 KB each) of its
# body.
MAX_PREAMBLE_BYTES = 1024 * 1024
END_OF_HEAD = b'\r\n\r\n'
# Time after the set-up of a connection in which its first request may still be
# on its way: a round trip, and what waits in front of it on a busy link. The
# platform's callers give up a request that is not read within this time.
FIRST_REQUEST_S = 1.0


class CallerConnection(web_protocol.RequestHandler):
    """A connection of a caller.

    Attributes
    ----------
    head_since : float
        When the first byte of an incomplete head arrived, seconds; inf if
        none is being received.
    head_bytes : int
        Bytes received since then.
    head_complete : bool
        Whether the end of a head is among them.
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
        'head_since',
        'head_bytes',
        'head_complete',
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
        self.head_since = math.inf
        self.head_bytes = 0
        self.head_complete = False
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
        super().connection_made(transport)

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
        self.head_since = math.inf
        self.head_bytes = 0
        self.head_complete = False
        self._end_malformed_body()

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
        """Parse received bytes, unless they are too many for a head.

        Those that follow a waiting request may be its body. They are limited
        like the others of a handled connection, by the parser.
        """
        is_head = not self.is_handling() and not self.has_waiting_request()
        if data and is_head:
            if self.head_since == math.inf:
                self.head_since = clock.now()
            self.head_bytes += len(data)
            if not self.head_complete:
                self.head_complete = END_OF_HEAD in self.last_bytes + data
            limit = (
                MAX_PREAMBLE_BYTES if self.head_complete else MAX_HEAD_BYTES
            )
            if self.head_bytes > limit:
                self.force_close()
                return
        if data:
            overlap = 1 - len(END_OF_HEAD)
            self.last_bytes = (self.last_bytes + data[overlap:])[overlap:]
        self._parse(data)
        self._end_malformed_body()

    def _parse(self, data: bytes) -> None:
        count = self._request_count
        super().data_received(data)
        if self._request_count > count:
            message, body = self._messages[-1]
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
    """

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        super().__init__(*arguments, **options)
        self.is_stopping = False
        self.closed: collections.deque[socket.socket] = collections.deque()

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
