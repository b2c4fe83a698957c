"""Stand-in for an upstream on the users' platform, over HTTP on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import time
import typing

from aiohttp import web

from knapweedhall_standins import store as store_module

_numbers = itertools.count(1)
UPSTREAM_TOPIC = 'keyed.servers'


@dataclasses.dataclass
class Grant:
    """Keys that the upstream holds until a deadline."""

    first: int
    last: int
    fence: int
    until: float


class Run(typing.NamedTuple):
    """One request that the upstream began to work on."""

    request_id: str
    key: int | None
    at: float


class Backend:
    """Runs requests for the keys that it was granted.

    Attributes
    ----------
    runs : list of Run
        Requests that it began to work on.
    refused : int
        Requests that it refused as it did not hold the key.
    shed_next : int
        Requests that it will refuse although it has a free slot.
    answer : callable or None
        Replaces the answer of a request: takes the request and the bytes of
        the ordinary answer, returns the bytes that are sent, None for a reset.
    """

    def __init__(
        self,
        store: store_module.Store,
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
        self.seen: dict[int, int] = {}
        self.runs: list[Run] = []
        self.refused = 0
        self.shed_next = 0
        self.state = 'ready'
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.answer: (
            typing.Callable[[web.BaseRequest, bytes], bytes | None] | None
        ) = None
        self.server: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen and register."""
        loop = asyncio.get_running_loop()
        self.http = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self.server = await loop.create_server(self.http, '127.0.0.1', 0)
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
            return self._grant(json.loads(await request.read()))
        if request.path == '/release':
            return self._release(json.loads(await request.read()))
        return await self._work(request)

    def _grant(self, body: dict[str, typing.Any]) -> web.Response:
        first, last, fence = body['fromRev'], body['to'], body['fence']
        if any(
            one.fence > fence and one.first <= last and first <= one.last
            for one in self.grants
        ):
            return web.Response(status=409)
        self._cut(first, last)
        until = time.monotonic() + body['holdS']
        self.grants.append(Grant(first, last, fence, until))
        return web.Response(status=200)

    def _release(self, body: dict[str, typing.Any]) -> web.Response:
        self._cut(body['fromRev'], body['to'])
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
        request_id = request.headers.get('X-Attempt-Id', '')
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append(Run(request_id, key, time.monotonic()))
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.slots.release()
        return self._answer(request, request_id, body)

    def _answer(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        content = f'{request.method} {request.raw_path} {len(body)}'.encode()
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Attempt-Id: {request_id}\r\n'
            f'X-Response-Signature: {self.name}.{len(body)}\r\n'
            f'X-Backend-Load: {self._load()}\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        raw: bytes | None = head.encode() + content
        if self.answer is not None and raw is not None:
            raw = self.answer(request, raw)
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
        return None

    async def write_eof(self, data: bytes = b'') -> None:
        """Write nothing."""
