"""Fake of an upstream on the users' platform, over HTTP on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import socket
import struct
import time
import typing
import urllib.parse

from aiohttp import web
from aiohttp import web_protocol

from knapweedhall_standins import endless
from knapweedhall_standins import proxy

_name_numbers = itertools.count(1)
# Start of struct tcp_info (linux/tcp.h): 8 bytes and 12 numbers. The last one
# is the time since data was last received, in ms.
_TCP_INFO = struct.Struct('8x11I I')
# How much too early the time of an arrival may be, seconds. The kernel counts
# in ticks, of which it has 100 per second or more.
ARRIVAL_PRECISION_S = 0.01
# Time after which a response that is cut has reached its receiver in part.
CUT_DELAY_S = 0.02
REASON_PHRASES = {200: 'OK', 500: 'Failed', 504: 'Timeout'}
# Where tests and the soak set what is wrong with the responses.
TROUBLE_PATH = '/standin/trouble'
UPSTREAM_TOPIC = 'keyed.servers'


@dataclasses.dataclass
class Grant:
    """Keys that the upstream holds until `expires_at`, monotonic seconds."""

    first: int
    last: int
    fence: int
    expires_at: float


class Registry(typing.Protocol):
    """Store that an upstream registers in."""

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record; the value None removes the key."""


class FencingToken(typing.NamedTuple):
    """Fencing token that was received for a range of keys."""

    first: int
    last: int
    fence: int


class Run(typing.NamedTuple):
    """Request whose execution began at `started_at`, monotonic seconds."""

    request_id: str
    key: int | None
    started_at: float


def expected_body(method: str, target: str, body_bytes: int) -> bytes:
    """Return the body of the response to a request.

    The parameter `bytes` of the query is the number of bytes that follow.
    """
    body = f'{method} {target} {body_bytes}'.encode()
    return body + b'.' * int(_query(target).get('bytes', 0))


def _query(target: str) -> dict[str, str]:
    """Return the parameters of a request's query."""
    _, _, query = target.partition('?')
    return dict(urllib.parse.parse_qsl(query))


class _Connection(web_protocol.RequestHandler):
    """A connection that records when the host received its latest data.

    A paused process reads the data only after it resumes, when the sender may
    have given up. The Linux kernel keeps the time of arrival, in ms (tcp(7),
    TCP_INFO).

    Attributes
    ----------
    arrived_at : float
        Time at which the latest data arrived, monotonic seconds; up to
        `ARRIVAL_PRECISION_S` too early.
    """

    __slots__ = ('arrived_at',)

    def data_received(self, data: bytes) -> None:
        """Record when the data arrived."""
        assert self.transport is not None
        sock = self.transport.get_extra_info('socket')
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        *_, age_ms = _TCP_INFO.unpack(info)
        self.arrived_at = time.monotonic() - age_ms / 1000
        super().data_received(data)


class _Server(web.Server):
    """HTTP server whose connections record when data arrived."""

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol of a new connection."""
        return _Connection(self, loop=self._loop, **self._kwargs)


class FakeUpstream:
    """Executes requests for the keys that it was granted.

    Attributes
    ----------
    service : str
        Service that the upstream belongs to.
    divided : bool
        Whether each key of the service has one owner; it then executes only
        requests for keys that it holds.
    work_s : float
        Time that the execution of a request takes, seconds.
    max_waiting : int
        Requests that may wait for a free slot; further ones are refused.
    grants : list of Grant
        Keys that it holds.
    tokens : list of FencingToken
        Fencing tokens that it has received; grants with lower ones are
        rejected.
    running_keys : list of int
        Keys of the requests that are being executed.
    runs : list of Run
        Requests that it started to execute.
    refused_count : int
        Number of requests that it refused on arrival as it did not hold the
        key.
    shed_next : int
        Number of next requests to refuse although a slot may be free.
    on_event : callable
        Called with the name and the fields of each grant, release and run.
    endless : endless.Kind or None
        What it sends without end in place of a response; None for proper
        responses.
    leaving : bool
        Whether all its responses say that it is leaving.
    pause_s : float
        If above 0, it refuses requests and asks for a pause of this length.
    second_copy_s : float
        If above 0, it sends each response again after this time.
    early_status : int
        If above 0, the status with which it answers requests before it has
        read their bodies; 503 refuses them.
    busy : set of web_protocol.RequestHandler
        Connections with a request in progress.
    cuts, unframed : bool
        Whether it resets connections in the middle of a response, and whether
        responses have no length and end with their connection.
    response_hook : callable or None
        Replaces responses: takes the request and the bytes of the regular
        response, returns the bytes to send, or None to abort the connection.
    """

    def __init__(
        self,
        store: Registry,
        service: str,
        divided: bool,
        work_s: float = 0.01,
        slots: int = 4,
        max_waiting: int = 16,
    ) -> None:
        self.store = store
        self.name = f'i-{next(_name_numbers)}'
        self.service = service
        self.divided = divided
        self.work_s = work_s
        self.free_slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.max_waiting = max_waiting
        self.running = 0
        self.waiting = 0
        self.grants: list[Grant] = []
        self.tokens: list[FencingToken] = []
        self.running_keys: list[int] = []
        self.run_ended = asyncio.Event()
        self.runs: list[Run] = []
        self.refused_count = 0
        self.shed_next = 0
        self.state = 'ready'
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.on_event: typing.Callable[[str, dict[str, object]], None] = (
            lambda name, fields: None
        )
        self.endless: endless.Kind | None = None
        self.leaving = False
        self.pause_s = 0.0
        self.second_copy_s = 0.0
        self.early_status = 0
        self.cuts = self.unframed = False
        self.busy: set[web_protocol.RequestHandler] = set()
        self.response_hook: (
            typing.Callable[[web.BaseRequest, bytes], bytes | None] | None
        ) = None
        self.server: asyncio.Server | None = None
        self.address = ''

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen, and register in the store."""
        loop = asyncio.get_running_loop()
        self.http = _Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self.server = await loop.create_server(self.http, host, port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self.register()

    def register(self, warmup_s: float = 0.0) -> None:
        """Write the entry of the upstream to the store."""
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
        """Register as draining, ahead of a shutdown."""
        self.state = 'draining'
        self.register()

    async def crash(self) -> None:
        """Stop abruptly; the entry stays in the store."""
        assert self.server is not None
        self.server.close()
        for connection in self.http.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self.grants.clear()

    def holds(self, key: int) -> bool:
        """Return whether the upstream holds a key now."""
        now = time.monotonic()
        return any(
            grant.first <= key <= grant.last and grant.expires_at > now
            for grant in self.grants
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.busy.add(request.protocol)
        try:
            response = await self._dispatch(request)
        finally:
            self.busy.discard(request.protocol)
        request_id = request.headers.get('X-Attempt-Id')
        if request_id is not None:
            response.headers['X-Attempt-Id'] = request_id
        if self.leaving:
            response.headers['Server-Leaving'] = '1'
        return response

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == TROUBLE_PATH:
            self._set_trouble(json.loads(await request.read()))
            return web.Response()
        expected = request.headers.get('X-Expected-Instance', self.name)
        if expected != self.name:
            return self._not_executed(421)
        if request.path == '/grant':
            body = json.loads(await request.read())
            assert isinstance(request.protocol, _Connection)
            return self._grant(body, request.protocol.arrived_at)
        if request.path == '/release':
            return await self._release(json.loads(await request.read()))
        return await self._serve(request)

    def _set_trouble(self, trouble: dict[str, typing.Any]) -> None:
        """Replace what is wrong with the responses."""
        self.leaving = trouble.get('leaving', False)
        self.pause_s = trouble.get('pause_s', 0.0)
        self.second_copy_s = trouble.get('second_copy_s', 0.0)
        self.early_status = trouble.get('early_status', 0)
        self.cuts = trouble.get('cuts', False)
        self.unframed = trouble.get('unframed', False)
        if trouble.get('forgets_idle'):
            for connection in self.http.connections:
                if connection not in self.busy and connection.transport:
                    connection.transport.close()
        kind = trouble.get('endless')
        self.endless = endless.Kind(kind) if kind else None
        self.on_event('trouble', trouble)

    def _grant(
        self, body: dict[str, typing.Any], arrived_at: float
    ) -> web.Response:
        first, last, fence = body['fromRev'], body['to'], body['fence']
        if any(
            token.fence > fence and token.first <= last and first <= token.last
            for token in self.tokens
        ):
            return web.Response(status=409)
        self._record_token(FencingToken(first, last, fence))
        self._drop_keys(first, last)
        expires_at = arrived_at + body['holdS']
        if expires_at <= time.monotonic():
            # The grant expired while the process was paused.
            return web.Response(status=200)
        self.grants.append(Grant(first, last, fence, expires_at))
        self.on_event(
            'granted',
            {
                'first': first,
                'last': last,
                'fence': fence,
                'until': expires_at,
            },
        )
        return web.Response(status=200)

    def _record_token(self, token: FencingToken) -> None:
        """Record a token; it replaces those of ranges within its own."""
        self.tokens = [
            known
            for known in self.tokens
            if known.first < token.first or known.last > token.last
        ]
        self.tokens.append(token)

    async def _release(self, body: dict[str, typing.Any]) -> web.Response:
        first, last = body['fromRev'], body['to']
        self._record_token(FencingToken(first, last, body['fence']))
        self._drop_keys(first, last)
        self.on_event(
            'released', {'first': first, 'last': last, 'fence': body['fence']}
        )
        while any(first <= key <= last for key in self.running_keys):
            self.run_ended.clear()
            await self.run_ended.wait()
        return web.Response(headers={'X-Handover': f'h-{self.name}'})

    def _drop_keys(self, first: int, last: int) -> None:
        kept = []
        for grant in self.grants:
            if grant.last < first or grant.first > last:
                kept.append(grant)
                continue
            if grant.first < first:
                kept.append(dataclasses.replace(grant, last=first - 1))
            if grant.last > last:
                kept.append(dataclasses.replace(grant, first=last + 1))
        self.grants = kept

    def _not_executed(self, status: int) -> web.Response:
        return web.Response(
            status=status,
            headers={
                'X-Not-Executed': '1',
                'X-Backend-Load': self._load_report(),
            },
        )

    def _leaving_line(self) -> str:
        return 'Server-Leaving: 1\r\n' if self.leaving else ''

    def _framing(self, size: int) -> str:
        if self.unframed:
            return 'Connection: close'
        return f'Content-Length: {size}'

    def _load_report(self) -> str:
        return f'{self.running},{self.waiting},{self.slot_count},100'

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get('X-Attempt-Id', '')
        if self.early_status and request_id:
            return self._answer_early(request_id)
        body = await request.read()
        if not request_id:
            return self._not_executed(400)
        time_left_s = float(request.headers.get('X-Deadline-Ms', 60000)) / 1000
        deadline = time.monotonic() + time_left_s
        key_header = request.headers.get('X-Shard-Key')
        key = int(key_header) if key_header is not None else None
        if self.divided and (key is None or not self.holds(key)):
            self.refused_count += 1
            return self._not_executed(421)
        if self.pause_s > 0:
            self.on_event(
                'turned_away',
                {'request': request_id, 'pause_s': self.pause_s},
            )
            refusal = self._not_executed(503)
            refusal.headers['Retry-After'] = f'{self.pause_s:.3f}'
            return refusal
        if self.waiting >= self.max_waiting:
            return self._not_executed(503)
        if self.shed_next:
            self.shed_next -= 1
            return self._not_executed(503)
        self.waiting += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1
        try:
            # The key may have been reassigned while the request waited.
            if self.divided and (key is None or not self.holds(key)):
                return self._not_executed(421)
            if time.monotonic() >= deadline:
                return self._not_executed(503)
            work_s = float(_query(request.raw_path).get('work_s', self.work_s))
            status = await self._run(request_id, key, work_s, deadline)
        finally:
            self.free_slots.release()
        return await self._respond(request, request_id, body, status)

    def _answer_early(self, request_id: str) -> web.Response:
        """Answer before the body is read; the server reads it afterwards."""
        if self.early_status == 503:
            return self._not_executed(503)
        self.on_event('run', {'request': request_id, 'key': None})
        return web.Response(
            status=self.early_status,
            headers={
                'X-Response-Signature': f'{self.name}.0',
                'X-Backend-Load': self._load_report(),
            },
        )

    async def _run(
        self, request_id: str, key: int | None, work_s: float, deadline: float
    ) -> int:
        """Execute a request; return the status of its response."""
        self.running += 1
        if key is not None:
            self.running_keys.append(key)
        started_at = time.monotonic()
        self.runs.append(Run(request_id, key, started_at))
        self.on_event('run', {'request': request_id, 'key': key})
        try:
            await asyncio.sleep(min(work_s, deadline - started_at))
        finally:
            self.running -= 1
            if key is not None:
                self.running_keys.remove(key)
                self.run_ended.set()
        if started_at + work_s > deadline:
            return 504
        if self.divided and key is not None and not self.holds(key):
            # A request fails if the grant of its key ends first.
            return 500
        return 200

    async def _respond(
        self,
        request: web.BaseRequest,
        request_id: str,
        body: bytes,
        status: int,
    ) -> web.StreamResponse:
        response_body = expected_body(
            request.method, request.raw_path, len(body)
        )
        head = (
            f'HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n'
            f'X-Attempt-Id: {request_id}\r\n'
            f'X-Response-Signature: {self.name}.{len(body)}\r\n'
            f'X-Backend-Load: {self._load_report()}\r\n'
            f'{self._leaving_line()}'
            f'{self._framing(len(response_body))}\r\n\r\n'
        )
        raw: bytes | None = head.encode() + response_body
        if self.response_hook is not None and raw is not None:
            raw = self.response_hook(request, raw)
        transport = request.transport
        assert transport is not None
        if self.endless is not None:
            assert raw is not None
            await endless.send(transport, self.endless, request_id, raw)
        elif raw is None:
            transport.abort()
        elif self.cuts:
            self.on_event('cut', {'request': request_id})
            transport.write(raw[: -len(response_body) // 2])
            await asyncio.sleep(CUT_DELAY_S)
            proxy.reset_connection(transport)
        elif self.unframed:
            transport.write(raw)
            transport.close()
        else:
            transport.write(raw)
            if self.second_copy_s > 0:
                asyncio.get_running_loop().call_later(
                    self.second_copy_s, transport.write, raw
                )
        return _WrittenResponse()


class _WrittenResponse(web.Response):
    """A response that was already written to the transport."""

    async def prepare(self, request: web.BaseRequest) -> typing.Any:
        """Write nothing."""
        self._eof_sent = True
        self._keep_alive = request.keep_alive
        return None

    async def write_eof(self, data: bytes = b'') -> None:
        """Write nothing."""
