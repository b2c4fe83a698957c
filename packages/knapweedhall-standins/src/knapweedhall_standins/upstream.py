"""Stand-in for an upstream on the users' platform, over HTTP on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import socket
import struct
import time
import typing

from aiohttp import web
from aiohttp import web_protocol

_numbers = itertools.count(1)
# Head of struct tcp_info (linux/tcp.h): 8 bytes and 12 numbers, of which the
# last is the age of the data that came last.
_TCP_INFO = struct.Struct('8x11I I')
REASONS = {200: 'OK', 500: 'Failed', 504: 'Timeout'}
UPSTREAM_TOPIC = 'keyed.servers'


@dataclasses.dataclass
class Grant:
    """Keys that the upstream holds until a deadline."""

    first: int
    last: int
    fence: int
    until: float


class Registry(typing.Protocol):
    """Where an upstream writes its entry."""

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record; None drops its key."""


class Token(typing.NamedTuple):
    """Highest fencing token that was seen on some keys."""

    first: int
    last: int
    fence: int


class Run(typing.NamedTuple):
    """One request that the upstream began to work on."""

    request_id: str
    key: int | None
    started_at: float


def expected_body(method: str, target: str, body_bytes: int) -> bytes:
    """Return the body of the answer to a request."""
    return f'{method} {target} {body_bytes}'.encode()


class _Connection(web_protocol.RequestHandler):
    """A connection that knows when its last bytes came.

    A process that was paused reads them later, and its sender may have left
    by then; the kernel of Linux keeps the time, in ms (tcp(7), TCP_INFO).

    Attributes
    ----------
    arrived_at : float
        Time of the last bytes, on the monotonic clock.
    """

    __slots__ = ('arrived_at',)

    def data_received(self, data: bytes) -> None:
        """Keep the time of what arrived."""
        assert self.transport is not None
        wire = self.transport.get_extra_info('socket')
        raw = wire.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        *_, age_ms = _TCP_INFO.unpack(raw)
        self.arrived_at = time.monotonic() - age_ms / 1000
        super().data_received(data)


class _Server(web.Server):
    """Makes such connections."""

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol of a new connection."""
        return _Connection(self, loop=self._loop, **self._kwargs)


class FakeUpstream:
    """Runs requests for the keys that it was granted.

    Attributes
    ----------
    runs : list of Run
        Requests that it began to work on.
    refused : int
        Requests that it refused as it did not hold the key.
    shed_next : int
        Requests that it will refuse although it has a free slot.
    response_hook : callable or None
        Replaces the answer of a request: takes the request and the bytes of
        the ordinary answer, returns the bytes that are sent, None for a reset.
    """

    def __init__(
        self,
        store: Registry,
        service: str,
        divided: bool,
        work_s: float = 0.01,
        slots: int = 4,
        queue: int = 16,
    ) -> None:
        self.store = store
        self.name = f'i-{next(_numbers)}'
        self.service = service
        self.divided = divided
        self.work_s = work_s
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.grants: list[Grant] = []
        self.seen: list[Token] = []
        self.active: list[int] = []
        self.idle = asyncio.Event()
        self.runs: list[Run] = []
        self.refused = 0
        self.shed_next = 0
        self.state = 'ready'
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.on_event: typing.Callable[[str, dict[str, object]], None] = (
            lambda name, fields: None
        )
        self.response_hook: (
            typing.Callable[[web.BaseRequest, bytes], bytes | None] | None
        ) = None
        self.server: asyncio.Server | None = None
        self.address = ''

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen and register."""
        loop = asyncio.get_running_loop()
        self.http = _Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self.server = await loop.create_server(self.http, host, port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self.register()

    def register(self, warmup_s: float = 0.0) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        self.store.put(
            UPSTREAM_TOPIC,
            self.name,
            {
                'address': self.address,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': 'a',
                    'slots': self.slot_count,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'warmupLeftS': warmup_s,
                },
                'born': self.born_ms,
            },
        )

    def drain(self) -> None:
        """Announce that the upstream leaves."""
        self.state = 'draining'
        self.register()

    async def crash(self) -> None:
        """Stop without a word; the entry stays."""
        assert self.server is not None
        self.server.close()
        for connection in self.http.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self.grants.clear()

    def holds(self, key: int) -> bool:
        """Return whether a key is held now."""
        now = time.monotonic()
        return any(
            one.first <= key <= one.last and one.until > now
            for one in self.grants
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get('X-Expected-Instance', self.name)
        if expected != self.name:
            return self._not_run(421)
        if request.path == '/grant':
            body = json.loads(await request.read())
            assert isinstance(request.protocol, _Connection)
            return self._grant(body, request.protocol.arrived_at)
        if request.path == '/release':
            return await self._release(json.loads(await request.read()))
        return await self._work(request)

    def _grant(
        self, body: dict[str, typing.Any], arrived_at: float
    ) -> web.Response:
        first, last, fence = body['fromRev'], body['to'], body['fence']
        if any(
            one.fence > fence and one.first <= last and first <= one.last
            for one in self.seen
        ):
            return web.Response(status=409)
        self._note(Token(first, last, fence))
        self._cut(first, last)
        until = arrived_at + body['holdS']
        if until <= time.monotonic():
            # It ended while the process was paused.
            return web.Response(status=200)
        self.grants.append(Grant(first, last, fence, until))
        self.on_event(
            'granted',
            {'first': first, 'last': last, 'fence': fence, 'until': until},
        )
        return web.Response(status=200)

    def _note(self, token: Token) -> None:
        """Keep the highest token of each key that was seen."""
        self.seen = [
            one
            for one in self.seen
            if one.first < token.first or one.last > token.last
        ]
        self.seen.append(token)

    async def _release(self, body: dict[str, typing.Any]) -> web.Response:
        first, last = body['fromRev'], body['to']
        self._note(Token(first, last, body['fence']))
        self._cut(first, last)
        self.on_event('released', {'first': first, 'last': last})
        while any(first <= key <= last for key in self.active):
            self.idle.clear()
            await self.idle.wait()
        return web.Response(headers={'X-Handover': f'h-{self.name}'})

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for one in self.grants:
            if one.last < first or one.first > last:
                kept.append(one)
                continue
            if one.first < first:
                kept.append(dataclasses.replace(one, last=first - 1))
            if one.last > last:
                kept.append(dataclasses.replace(one, first=last + 1))
        self.grants = kept

    def _not_run(self, status: int) -> web.Response:
        return web.Response(
            status=status,
            headers={'X-Not-Executed': '1', 'X-Backend-Load': self._load()},
        )

    def _load(self) -> str:
        return f'{self.running},{self.waiting},{self.slot_count},100'

    async def _work(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get('X-Attempt-Id', '')
        if not request_id:
            return self._not_run(400)
        left_s = float(request.headers.get('X-Deadline-Ms', 60000)) / 1000
        stop_at = time.monotonic() + left_s
        header = request.headers.get('X-Shard-Key')
        key = int(header) if header is not None else None
        if self.divided and (key is None or not self.holds(key)):
            self.refused += 1
            return self._not_run(421)
        if self.waiting >= self.queue:
            return self._not_run(503)
        if self.shed_next:
            self.shed_next -= 1
            return self._not_run(503)
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            # The keys may have gone while the request was in the queue.
            if self.divided and (key is None or not self.holds(key)):
                return self._not_run(421)
            if time.monotonic() >= stop_at:
                return self._not_run(503)
            status = await self._run(request_id, key, stop_at)
        finally:
            self.slots.release()
        return self._answer(request, request_id, body, status)

    async def _run(
        self, request_id: str, key: int | None, stop_at: float
    ) -> int:
        """Work on a request; return the status of its answer."""
        self.running += 1
        if key is not None:
            self.active.append(key)
        begun = time.monotonic()
        self.runs.append(Run(request_id, key, begun))
        self.on_event('run', {'request': request_id, 'key': key})
        try:
            await asyncio.sleep(min(self.work_s, stop_at - begun))
        finally:
            self.running -= 1
            if key is not None:
                self.active.remove(key)
                self.idle.set()
        if begun + self.work_s > stop_at:
            return 504
        if self.divided and key is not None and not self.holds(key):
            # Work that outlasts its grant fails.
            return 500
        return 200

    def _answer(
        self,
        request: web.BaseRequest,
        request_id: str,
        body: bytes,
        status: int,
    ) -> web.StreamResponse:
        content = expected_body(request.method, request.raw_path, len(body))
        head = (
            f'HTTP/1.1 {status} {REASONS[status]}\r\n'
            f'X-Attempt-Id: {request_id}\r\n'
            f'X-Response-Signature: {self.name}.{len(body)}\r\n'
            f'X-Backend-Load: {self._load()}\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        raw: bytes | None = head.encode() + content
        if self.response_hook is not None and raw is not None:
            raw = self.response_hook(request, raw)
        transport = request.transport
        assert transport is not None
        if raw is None:
            transport.abort()
        else:
            transport.write(raw)
        return _Written()


class _Written(web.Response):
    """An answer whose bytes were written to the transport already."""

    async def prepare(self, request: web.BaseRequest) -> typing.Any:
        """Write nothing."""
        self._eof_sent = True
        self._keep_alive = request.keep_alive
        return None

    async def write_eof(self, data: bytes = b'') -> None:
        """Write nothing."""
