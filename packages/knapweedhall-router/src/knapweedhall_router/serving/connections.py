"""Connection pools for the upstreams.

Requests of callers do not use aiohttp's client session, because it retries an
idempotent request on its own after a stale connection failed, and does not
report whether any byte was handed to the transport. They use aiohttp's client
protocol and parser.
"""

from __future__ import annotations

import asyncio
import collections
import fcntl
import math
import os
import re
import select
import socket
import struct
import termios
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import http
from aiohttp import streams

from knapweedhall_adapter import names
from knapweedhall_router import clock
from knapweedhall_routing import body_budget
from knapweedhall_routing import model
from knapweedhall_routing import parse_budget

READ_BUFFER_BYTES = 65536
# Limit of a line and of a field in the head of a response.
MAX_RESPONSE_FIELD_BYTES = 32768
# Connecting takes one or two round trips; a machine without power does not
# respond at all.
CONNECT_TIMEOUT_S = 0.4
# Time for which connections that were set up are taken before the limit above
# ends them. After a standstill of the process the limit may be handled before
# the connections that were set up in the meantime.
SET_UP_CHECK_S = 0.02
# Idle time after which a connection is closed: half of the upstreams' shortest
# idle timeout (10 s). Idle connections count towards an upstream's connection
# limit; with 8 s, 500 new connections were reset in one day.
MAX_IDLE_S = 5.0
# Time that a new connection must stay open before a request is sent over it.
# An upstream at its connection limit accepts a connection and resets it about
# one round trip (1 ms to 6 ms) later.
WATCH_S = 0.004
# Time after such a reset during which all new connections are watched.
WATCH_ALL_S = 3.0
# A reset that follows the first request of a connection within this time is
# attributed to the connection limit; a later one has another cause.
MAX_FIRST_USE_RESET_DELAY_S = 0.015
# Share of the timeout in a Keep-Alive header for which a connection is reused.
KEEP_ALIVE_SHARE = 0.8
# Bytes that are read from a socket at once; other connections wait while they
# are parsed.
READ_BYTES = 65536
# Bytes that are parsed at once, so that a few KB of small responses do not
# become thousands of objects before they are counted.
PARSE_BYTES = 16384
# Limit of responses that are parsed and not yet read.
MAX_UNREAD_RESPONSES = 8
# Statuses of interim responses (RFC 9110, 15.2). 101 ends an exchange.
INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
# Begin of the head of a response. The parser also takes the versions 0.9 and
# 2.0 of HTTP, and other protocols (RTSP).
HEAD_BEGIN = b'HTTP/1.'
# End of the head of a response.
HEAD_END = b'\r\n\r\n'
EMPTY_LINES = re.compile(rb'[\r\n]+')
# Bytes of the end of a head that may arrive before the rest of it.
HEAD_OVERLAP = len(HEAD_END) - 1
# Makes `close` send a reset and discard the data that is not yet sent.
_ZERO_LINGER = struct.pack('ii', 1, 0)


class ResponseLimitError(aiohttp.ClientError):
    """An upstream exceeded a limit; the message names it for the log."""


class Connection(client_proto.ResponseHandler):
    """A connection to an upstream with one exchange at a time.

    Attributes
    ----------
    exchanging : bool
        Whether a response is expected. Bytes that arrive at other times
        belong to no request.
    request_id : str
        ID of the last request that was sent; '' before the first.
    budget : parse_budget.ParseBudget
        What was received in the current exchange.
    stream : aiohttp.StreamReader or None
        Body that is being read.
    last_stream : aiohttp.StreamReader or None
        Body of the last response that was parsed.
    last_length : int or None
        Its length in bytes; None if its head does not state it.
    last_is_late : bool
        Whether it is a chunked response to another request.
    last_bytes : bytes
        Last bytes received, which may be the beginning of the end of a head.
    head_begin : bytes
        First bytes of a head that is not complete.
    idle_since : float
        When its last exchange ended, on `clock.now`; inf before the first
        exchange.
    usable_until : float
        When it will have been idle for `keep_alive_s`, on `clock.now`.
    keep_alive_s : float
        Maximum idle time before it is used again, seconds.
    unsent : memoryview
        Part of a request's body that is not yet handed to the transport.
    ended_cleanly : bool
        Whether the upstream ended its stream after it had received the whole
        request, and no error followed. Otherwise a body that ends with the
        connection may be truncated.
    on_lost : callable or None
        Called with the connection once it is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.exchanging = False
        self.request_id = ''
        self.budget = parse_budget.ParseBudget()
        self.stream: streams.StreamReader | None = None
        self.last_stream: streams.StreamReader | None = None
        self.last_length: int | None = None
        self.last_is_late = False
        self.last_bytes = b''
        self.head_begin = b''
        self.idle_since = math.inf
        self.usable_until = 0.0
        self.keep_alive_s = MAX_IDLE_S
        self.ended_cleanly = False
        self.unsent = memoryview(b'')
        self.on_lost: typing.Callable[[Connection], None] | None = None

    def expect_response(self, with_body: bool, request_id: str = '') -> None:
        """Prepare for the response to the next request.

        Parameters
        ----------
        with_body : bool
            False if the response has no body whatever its headers say, as
            for HEAD.
        request_id : str
            ID of the request.
        """
        self.exchanging = True
        self.request_id = request_id
        self.budget = parse_budget.ParseBudget()
        self.stream = None
        self.last_stream = None
        self.last_bytes = b''
        self.head_begin = b''
        self._renew_parser(with_body)

    def _renew_parser(self, with_body: bool) -> None:
        self.set_response_params(
            skip_payload=not with_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_RESPONSE_FIELD_BYTES,
            max_field_size=MAX_RESPONSE_FIELD_BYTES,
        )

    def send(self, head: bytes, body: bytes | bytearray) -> None:
        """Send a request.

        The transport copies what it can't send at once, so a large body is
        handed to it in parts, as the upstream reads.
        """
        assert self.transport is not None
        if len(body) <= body_budget.WRITE_BYTES:
            self.transport.write(head + body)
            return
        self.transport.write(head)
        self.unsent = memoryview(body)
        self._send_more()

    def _send_more(self) -> None:
        while self.unsent and self.transport and not self.writing_paused:
            if self.transport.is_closing():
                # It drops what it is given.
                return
            part = self.unsent[: body_budget.WRITE_BYTES]
            self.unsent = self.unsent[body_budget.WRITE_BYTES :]
            self.transport.write(part)

    def resume_writing(self) -> None:
        """Send more of the body, as the upstream has read."""
        super().resume_writing()
        self._send_more()

    def end_sending(self) -> bool:
        """Drop what is not yet sent; return whether all of it was received."""
        is_received = self._is_request_received()
        self.unsent = memoryview(b'')
        return is_received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of reads."""
        # asyncio's transports for sockets take it from this attribute.
        setattr(transport, 'max_size', READ_BYTES)
        super().connection_made(transport)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if reading is paused.

        The library calls this for each chunk that is read from a body.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes within the limits of the exchange."""
        if not data:
            # The parser continues with bytes that it has received before.
            self._feed(data)
            self._end_excessive_response()
            return
        if not self.exchanging:
            # Nobody would read them, and they could go on without end.
            self.reset()
            return
        begin = 0
        while begin < len(data):
            if not self.head_begin and not self._is_body_due():
                begin = self._skip_empty_lines(data, begin)
            part = data[begin : self._end_of_part(data, begin)]
            if part and not self._parse_part(part):
                return
            begin += len(part)
            if self._end_excessive_response():
                return
        self.last_bytes = (self.last_bytes + data[-HEAD_OVERLAP:])[
            -HEAD_OVERLAP:
        ]

    def _end_excessive_response(self) -> bool:
        """Fail the exchange if a limit is exceeded; return whether it is."""
        body_bytes = 0 if self.stream is None else self.stream.total_bytes
        # While its reader is behind, the parser holds bytes of a body that
        # the stream does not count.
        excess = self.budget.find_excess(body_bytes, self._reading_paused)
        if excess:
            self.fail(excess)
        return bool(excess)

    def _skip_empty_lines(self, data: bytes, begin: int) -> int:
        """Return where the next head may begin.

        The parser would skip empty lines too, but as each of them could end a
        head, it would get them one by one.
        """
        match = EMPTY_LINES.match(data, begin)
        if match is None:
            return begin
        self.budget.add_empty_lines(match.end() - begin)
        return match.end()

    def _parse_part(self, part: bytes) -> bool:
        """Parse a part; return whether the exchange goes on."""
        if not self._is_body_due() and not self._is_head(part):
            self.fail('no-http')
            return False
        self.budget.add_part(len(part))
        self._feed(part)
        if self.transport is None:
            return False
        if self.last_is_late and not self._is_body_due():
            # The parser adds a trailer field to the head that follows.
            self.last_is_late = False
            self._renew_parser(True)
        return True

    def _feed(self, part: bytes) -> None:
        """Hand bytes to the parser, and count those that frame a body."""
        body = self.last_stream if self._is_body_due() else None
        before = body.total_bytes if body is not None else 0
        super().data_received(part)
        if body is not None:
            body_bytes = body.total_bytes - before
            self.budget.add_framing(len(part) - body_bytes)

    def _is_head(self, data: bytes) -> bool:
        """Return whether bytes may be a part of the head of a response."""
        if len(self.head_begin) < len(HEAD_BEGIN):
            self.head_begin = (self.head_begin + data)[: len(HEAD_BEGIN)]
        return HEAD_BEGIN.startswith(self.head_begin)

    def _end_of_part(self, data: bytes, begin: int) -> int:
        """Return up to where to parse at once.

        A head is parsed on its own, and so is a body of known length: the
        parser drops the responses that it found in a part if bytes after them
        are not valid. So are the chunks of a late response, which end like a
        head.
        """
        end = begin + PARSE_BYTES
        if self._is_body_due() and not self.last_is_late:
            if self.last_length is None:
                return end
            assert self.last_stream is not None
            missing = self.last_length - self.last_stream.total_bytes
            return min(end, begin + max(1, missing))
        if not begin:
            head_end = (self.last_bytes + data[:HEAD_OVERLAP]).find(HEAD_END)
            if head_end >= 0:
                return head_end + len(HEAD_END) - len(self.last_bytes)
        head_end = data.find(HEAD_END, max(0, begin - HEAD_OVERLAP), end)
        if head_end >= 0:
            return head_end + len(HEAD_END)
        return end

    def _is_body_due(self) -> bool:
        """Return whether the last body that was parsed is not complete."""
        return self.last_stream is not None and not self.last_stream.is_eof()

    def feed_data(
        self,
        data: tuple[http.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Queue a parsed response, unless too many were not read.

        Interim responses are dropped, so that only the limit of bytes and the
        time limit of the caller bound their number.
        """
        self.head_begin = b''
        if data[0].code in INTERIM_STATUSES:
            if self.last_stream is not None:
                # If it follows the final response, it belongs to no request.
                self.force_close()
            return
        if len(self) >= MAX_UNREAD_RESPONSES:
            self.fail('too-many-responses')
            return
        if not len(self):
            self.stream = data[1]
        self.last_stream = data[1]
        headers = data[0].headers
        response_id = headers.get(names.REQUEST_ID_HEADER, self.request_id)
        self.last_is_late = data[0].chunked and response_id != self.request_id
        length = headers.get('Content-Length', '')
        is_stated = length.isascii() and length.isdigit()
        self.last_length = int(length[:18]) if is_stated else None
        super().feed_data(data, size)

    async def read_response(
        self,
    ) -> tuple[http.RawResponseMessage, streams.StreamReader]:
        """Return the next head of a response, and its body to be read.

        Raises
        ------
        ResponseLimitError
            If the upstream exceeded a limit.
        aiohttp.ClientError, aiohttp.http.HttpProcessingError
            If the connection ended, or the upstream sent bytes that are no
            response.
        aiohttp.streams.EofStream
            If the connection had ended before.
        """
        message, stream = await self.read()
        self.stream = stream
        return message, stream

    def fail(self, reason: str) -> None:
        """Reset the connection; its exchange fails for the given reason."""
        self.reset()
        self.set_exception(ResponseLimitError(reason))

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        """End the exchange with an error, also the body that is received.

        The parser tells nobody that the framing of a body is not valid.
        """
        super().set_exception(exc, exc if exc_cause is None else exc_cause)
        if self._is_body_due():
            assert self.last_stream is not None
            if self.last_stream.exception() is None:
                self.last_stream.set_exception(exc)

    def eof_received(self) -> None:
        """Handle the end of the upstream's stream.

        An upstream that has not received the whole request by then may have
        failed; a reset may follow, which asyncio does not always report: a
        write that fails while a closing transport sends its last bytes ends
        the connection without an error. No other response can follow, so the
        rest is not sent; an upstream that does not read would delay the end.
        """
        super().eof_received()
        self.ended_cleanly = self._is_request_received()
        if not self.ended_cleanly and self.transport is not None:
            self._discard_unsent()
            self.transport.abort()

    def _is_request_received(self) -> bool:
        """Return whether the upstream's host acknowledged all that was sent.

        What the transport has handed to the kernel may not have arrived.
        """
        if self.unsent or self.transport is None:
            return False
        if self.transport.get_write_buffer_size():
            return False
        sock = self.transport.get_extra_info('socket')
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return False
        # Size of the kernel's send queue (tcp(7), SIOCOUTQ).
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return not any(queued)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection and notify `on_lost`."""
        if exc is not None:
            self.ended_cleanly = False
            self._read_rest()
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost(self)

    def _read_rest(self) -> None:
        """Parse what the kernel has received before the connection failed.

        A write that fails ends the transport before it has read on.
        """
        while self.exchanging and self.transport is not None:
            sock = self.transport.get_extra_info('socket')
            try:
                data = os.read(sock.fileno(), READ_BYTES)
            except OSError:
                # Nothing is left; the caller handles the failure.
                return
            if not data:
                return
            self.data_received(data)

    def reset(self) -> None:
        """Abort the connection with a TCP reset.

        The upstream notices at once and stops its work on the request.
        """
        self._discard_unsent()
        self.abort()

    def _discard_unsent(self) -> None:
        """Let the end of the connection be a TCP reset."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info('socket')
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)

    def is_new(self) -> bool:
        """Return whether the connection had no exchange yet."""
        return self.idle_since == math.inf

    def is_reusable(self, now: float) -> bool:
        """Return whether the idle connection can be used for a request.

        It can't if data arrived while it was idle, as that data belongs to no
        request.
        """
        if now > self.usable_until or self.should_close:
            return False
        if not self.is_connected():
            return False
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info('socket'), select.POLLIN)
        return not poll.poll(0)


class Pool:
    """Connections to one address.

    Attributes
    ----------
    open : set of Connection
        All open connections, idle or in use.
    idle : collections.deque of Connection
        Idle connections; the most recently used one is last.
    used_at : float
        When a connection was last requested, on `clock.now`.
    watch_all_until : float
        Until when all new connections are watched, on `clock.now`.
    """

    def __init__(self, address: model.Address) -> None:
        self.address = address
        self.open: set[Connection] = set()
        self.idle: collections.deque[Connection] = collections.deque()
        self.used_at = clock.now()
        self.watch_all_until = -math.inf

    def has_idle(self, max_idle_s: float, now: float) -> bool:
        """Return whether `take` is expected to return a connection.

        Unlike `take` it does not check the state of the connection.
        """
        if not self.idle:
            return False
        last = self.idle[-1]
        recent = now - last.idle_since <= max_idle_s
        return recent and now <= last.usable_until

    def take(
        self, max_idle_s: float, request_id: str = ''
    ) -> Connection | None:
        """Remove and return the most recently used idle connection.

        Parameters
        ----------
        max_idle_s : float
            How long the connection may have been idle.
        request_id : str
            ID of the request. A connection over which it was sent before is
            closed: a late second copy of the response to that attempt would
            be taken for the response to this one.

        Returns
        -------
        Connection or None
            None if no connection is usable.
        """
        self.used_at = now = clock.now()
        while self.idle:
            if now - self.idle[-1].idle_since > max_idle_s:
                return None
            connection = self.idle.pop()
            is_repeat = bool(request_id) and (
                connection.request_id == request_id
            )
            if not is_repeat and connection.is_reusable(now):
                return connection
            connection.close()
        return None

    async def connect(
        self, deadline: float, max_open: int, watch: bool
    ) -> Connection:
        """Open a connection.

        Parameters
        ----------
        deadline : float
            When to give up, on `clock.now`.
        max_open : int
            Maximum number of open connections; idle ones are closed to stay
            within it.
        watch : bool
            Whether to watch the new connection before it is returned, so that
            a reset by an upstream at its connection limit is detected before
            a request is sent.

        Raises
        ------
        OSError
            If the upstream refuses the connection, does not accept it in
            time, or resets it while it is watched.
        """
        surplus = len(self.open) + 1 - max_open
        for _ in range(min(surplus, len(self.idle))):
            self.idle.popleft().close()
        connection = await self._open(deadline)
        if watch or clock.now() < self.watch_all_until:
            await self._watch(connection)
        return connection

    async def _watch(self, connection: Connection) -> None:
        try:
            await asyncio.sleep(WATCH_S)
        except asyncio.CancelledError:
            connection.close()
            raise
        if not connection.is_connected():
            self.record_limit_reached()
            raise ConnectionResetError('reset before use')

    def record_limit_reached(self) -> None:
        """Record that the upstream has reached its connection limit.

        Idle connections count towards the limit, so they are closed.
        """
        self.watch_all_until = clock.now() + WATCH_ALL_S
        self.close_idle()

    def record_first_use_reset(self, after_s: float) -> None:
        """Record that a new connection failed during its first request.

        Parameters
        ----------
        after_s : float
            Time from sending the request to the failure, seconds.
        """
        if after_s < MAX_FIRST_USE_RESET_DELAY_S:
            self.record_limit_reached()

    async def _open(self, deadline: float) -> Connection:
        loop = asyncio.get_running_loop()
        timeout_s = min(CONNECT_TIMEOUT_S, deadline - clock.now())
        limit = asyncio.timeout(None)
        ending = loop.call_later(
            max(0.0, timeout_s - SET_UP_CHECK_S),
            lambda: limit.reschedule(loop.time() + SET_UP_CHECK_S),
        )
        try:
            async with limit:
                _, connection = await loop.create_connection(
                    lambda: Connection(loop), *self.address
                )
        finally:
            ending.cancel()
        connection.on_lost = self._remove
        self.open.add(connection)
        return connection

    def put_back(self, connection: Connection) -> None:
        """Return a connection to the pool after its exchange has ended.

        It is closed if the begin of a further response has arrived, as the
        rest would precede the next response.
        """
        if (
            connection.should_close
            or connection.head_begin
            or not connection.is_connected()
        ):
            connection.close()
            return
        now = clock.now()
        connection.exchanging = False
        connection.idle_since = now
        connection.usable_until = now + connection.keep_alive_s
        self.idle.append(connection)
        self.close_expired(now)

    def close_expired(self, now: float) -> None:
        """Close the connections whose idle time is exceeded."""
        while self.idle and self.idle[0].usable_until < now:
            self.idle.popleft().close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle.popleft().close()

    def _remove(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)


class Pools:
    """Pools by address."""

    def __init__(self) -> None:
        self.pools: dict[model.Address, Pool] = {}

    def get(self, address: model.Address) -> Pool:
        """Return the pool of an address; create it if there is none."""
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = Pool(address)
        return pool

    def find(self, address: model.Address) -> Pool | None:
        """Return the pool of an address, or None if there is none."""
        return self.pools.get(address)

    def close_expired(self) -> None:
        """Close expired idle connections and remove unused empty pools."""
        now = clock.now()
        for address, pool in list(self.pools.items()):
            pool.close_expired(now)
            if not pool.open and now - pool.used_at > 2 * MAX_IDLE_S:
                del self.pools[address]
