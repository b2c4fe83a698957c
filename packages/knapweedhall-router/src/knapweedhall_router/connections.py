"""Connections to one upstream, kept for reuse.

aiohttp's client session is not used for requests of callers: it repeats an
idempotent request by itself on a stale connection, and does not tell whether
a byte was handed to the transport. Its protocol and parser are used.
"""

from __future__ import annotations

import asyncio
import collections
import math
import select
import socket
import struct
import typing

from aiohttp import client_proto

from knapweedhall_router import clock
from knapweedhall_routing import model

READ_BUFFER_BYTES = 65536
# Longest head of an answer that is accepted, bytes.
MAX_HEAD_BYTES = 32768
# A connection takes one or two round trips; a machine without power does not
# answer at all.
CONNECT_TIMEOUT_S = 0.4
# Idle time after which a connection is not used again; half of the shortest
# timeout of the sites (10 s). Idle connections count towards the number that
# an upstream accepts: with 8 s, 500 new ones were reset on one day.
IDLE_S = 5.0
# Time for which a new connection is watched before it carries a request: an
# upstream with too many connections accepts one and resets it, about a round
# trip later (1 ms to 6 ms on the sites).
SETTLE_S = 0.004
# Time after such a reset for which all new connections are watched, seconds.
FULL_S = 3.0
# What breaks later after the first request was sent is no such reset.
FULL_WITHIN_S = 0.015
# Part of a stated Keep-Alive timeout for which a connection is reused.
KEEP_ALIVE_SHARE = 0.8
# Closes with a reset: what is still in the buffers is not delivered.
_LINGER_NONE = struct.pack('ii', 1, 0)


class Connection(client_proto.ResponseHandler):
    """One connection; carries one exchange at a time.

    Attributes
    ----------
    idle_since : float
        When its last exchange ended, seconds; inf for a new one.
    usable_until : float
        When it is too long idle to be used again, seconds.
    was_reset : bool
        Whether it ended by a reset instead of an end of stream.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.idle_since = math.inf
        self.usable_until = 0.0
        self.keep_alive_s = IDLE_S
        self.was_reset = False
        self.lost: typing.Callable[[Connection], None] | None = None

    def expect_answer(self, with_body: bool) -> None:
        """Prepare for the next answer."""
        self.set_response_params(
            skip_payload=not with_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tell the pool that the connection is gone."""
        self.was_reset = exc is not None
        super().connection_lost(exc)
        if self.lost is not None:
            self.lost(self)

    def reset(self) -> None:
        """Close at once; the upstream stops its work."""
        transport = self.transport
        if transport is not None:
            wire = transport.get_extra_info('socket')
            if wire is not None and wire.fileno() >= 0:
                wire.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE
                )
        self.abort()

    def is_new(self) -> bool:
        """Return whether it has carried no exchange yet."""
        return self.idle_since == math.inf

    def is_reusable(self, now: float) -> bool:
        """Return whether the idle connection can take another request.

        Bytes that arrived while it was idle belong to no request.
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
    """Connections to one address."""

    def __init__(self, address: model.Address) -> None:
        self.address = address
        self.open: set[Connection] = set()
        self.idle: collections.deque[Connection] = collections.deque()
        self.used_at = clock.now()
        self.full_until = -math.inf

    def has_idle(self, longest_idle_s: float, now: float) -> bool:
        """Return whether `take` will most likely return a connection."""
        if not self.idle:
            return False
        last = self.idle[-1]
        recent = now - last.idle_since <= longest_idle_s
        return recent and now <= last.usable_until

    def take(self, longest_idle_s: float) -> Connection | None:
        """Return the idle connection that was used last, or None.

        Parameters
        ----------
        longest_idle_s : float
            Time for which it may have been idle.
        """
        self.used_at = now = clock.now()
        while self.idle:
            if now - self.idle[-1].idle_since > longest_idle_s:
                return None
            connection = self.idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        return None

    async def connect(
        self, deadline: float, most: int, watched: bool
    ) -> Connection:
        """Open a connection.

        Parameters
        ----------
        deadline : float
            When to give up, on `clock.now`.
        most : int
            Connections that may be open; idle ones make room.
        watched : bool
            Whether a reset by an upstream that has too many must be known
            before a request is sent.

        Raises
        ------
        OSError
            If the upstream refuses it, does not accept it in time, or resets
            it while it is watched.
        """
        surplus = len(self.open) + 1 - most
        for _ in range(min(surplus, len(self.idle))):
            self.idle.popleft().close()
        connection = await self._open(deadline)
        if watched or clock.now() < self.full_until:
            await self._watch(connection)
        return connection

    async def _watch(self, connection: Connection) -> None:
        try:
            await asyncio.sleep(SETTLE_S)
        except asyncio.CancelledError:
            connection.close()
            raise
        if not connection.is_connected():
            self.refused()
            raise ConnectionResetError('reset before use')

    def refused(self) -> None:
        """Take note that the upstream has too many connections."""
        self.full_until = clock.now() + FULL_S
        self.close()

    def broke_at_once(self, after_s: float) -> None:
        """Take note of a new connection that broke on its first request."""
        if after_s < FULL_WITHIN_S:
            self.refused()

    async def _open(self, deadline: float) -> Connection:
        loop = asyncio.get_running_loop()
        seconds = min(CONNECT_TIMEOUT_S, deadline - clock.now())
        async with asyncio.timeout(max(0.0, seconds)):
            _, connection = await loop.create_connection(
                lambda: Connection(loop), *self.address
            )
        connection.lost = self._forget
        self.open.add(connection)
        return connection

    def put_back(self, connection: Connection) -> None:
        """Keep a connection whose exchange has ended."""
        if connection.should_close or not connection.is_connected():
            connection.close()
            return
        now = clock.now()
        connection.idle_since = now
        connection.usable_until = now + connection.keep_alive_s
        self.idle.append(connection)
        self.close_expired(now)

    def close_expired(self, now: float) -> None:
        """Close connections that were idle for too long."""
        while self.idle and self.idle[0].usable_until < now:
            self.idle.popleft().close()

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.popleft().close()

    def _forget(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)


class Pools:
    """Pools by address."""

    def __init__(self) -> None:
        self.pools: dict[model.Address, Pool] = {}

    def get(self, address: model.Address) -> Pool:
        """Return the pool of an address."""
        found = self.pools.get(address)
        if found is None:
            found = self.pools[address] = Pool(address)
        return found

    def find(self, address: model.Address) -> Pool | None:
        """Return the pool of an address that was connected to, or None."""
        return self.pools.get(address)

    def close_expired(self) -> None:
        """Close what was idle for too long and drop empty pools."""
        now = clock.now()
        for address, pool in list(self.pools.items()):
            pool.close_expired(now)
            if not pool.open and now - pool.used_at > 2 * IDLE_S:
                del self.pools[address]
