"""Small stand-ins for the data path's neighbours, on loopback."""

from __future__ import annotations

import asyncio
import random
import time
import typing
import unittest

from aiohttp import web
from knapweedhall_entry.gateway import factory
from knapweedhall_entry.gateway import fixed
from knapweedhall_entry.gateway import interfaces
from knapweedhall_events import trace
from knapweedhall_records import bodies
from knapweedhall_records import ids

FAR = 3600.0
TOKEN = ids.Token(7, 1)
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Headers = dict[str, str]


class Recorder(trace.TraceWriter):
    """Keeps events in memory."""

    def __init__(self) -> None:
        super().__init__('test')
        self.events: list[tuple[str, dict[str, typing.Any]]] = []

    def emit(self, name: str, **fields: trace.FieldValue) -> None:
        super().emit(name, **fields)
        self.events.append((name, fields))

    def names(self) -> list[str]:
        return [name for name, _ in self.events]


class Control(fixed.FixedControl):
    """Control side whose lookups a test sets; the service is `fixed`."""

    def __init__(self, **service: typing.Any) -> None:
        super().__init__((), 4)
        limits = bodies.Limits(4, 8)
        self.record = bodies.Service(
            **{'mode': 'divided', 'limits': limits, **service}
        )
        self.found: typing.Any = interfaces.NoRoute('no-owner')
        self.shares = interfaces.Share(4, 4, 1)

    def own(self, name: str, address: interfaces.Address) -> None:
        self.addresses[name] = address
        deadline = time.monotonic() + FAR
        self.found = interfaces.Route(3, name, TOKEN, deadline)

    def route(self, now: float, service: str, key: str) -> typing.Any:
        return self.found

    def candidates(self, now: float, service: str) -> typing.Any:
        return self.found

    def share(self, upstream: str) -> interfaces.Share:
        return self.shares


class Arrival(typing.NamedTuple):
    """One request as an upstream received it."""

    line: str
    headers: Headers
    body: bytes


Script = typing.Callable[[Arrival, Reader, Writer], typing.Awaitable[bool]]


class RawUpstream:
    """Upstream that answers from a script, byte by byte.

    The script returns whether the connection stays open. Health is answered
    without the script.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.arrivals: list[Arrival] = []
        self.writers: list[Writer] = []
        self.on_health: typing.Callable[[], None] = lambda: None

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.run, '127.0.0.1', port)
        self.address = interfaces.Address(
            *self.server.sockets[0].getsockname()
        )

    async def run(self, reader: Reader, writer: Writer) -> None:
        self.writers.append(writer)
        try:
            while await self.serve(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve(self, reader: Reader, writer: Writer) -> bool:
        line, headers = await read_head(reader)
        if line.startswith('GET /knapweedhall/health'):
            self.on_health()
            writer.write(whole(b'', 'Knapweedhall-Clock-Ms: 500'))
            return True
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        self.arrivals.append(Arrival(line, headers, body))
        return await self.script(self.arrivals[-1], reader, writer)

    async def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


def answering(
    *answers: bytes, keep: bool = True, until: asyncio.Event | None = None
) -> Script:
    """Return a script that gives these answers in turn, then the last one.

    An empty answer closes the connection. After each `until` is awaited.
    """
    rest = list(answers)

    async def script(arrival, reader, writer):  # type: ignore
        data = rest.pop(0) if len(rest) > 1 else rest[0]
        writer.write(data)
        if until is not None:
            await until.wait()
        return keep and bool(data)

    return script


def whole(body: bytes, *fields: str, status: str = '200 OK') -> bytes:
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *fields]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def not_run(reason: str) -> bytes:
    fields = 'Knapweedhall-Not-Run: 1', f'Knapweedhall-Reason: {reason}'
    return whole(b'', *fields, status='503 Service Unavailable')


class Answer(typing.NamedTuple):
    """What a caller saw; `body` is None if the answer was cut."""

    status: int
    headers: Headers
    body: bytes | None

    def outcome(self) -> tuple[int, str | None, str | None]:
        return (
            self.status,
            self.headers.get('knapweedhall-outcome'),
            self.headers.get('knapweedhall-reason'),
        )


def encode(
    method: str = 'GET',
    target: str = '/fixed/x',
    body: bytes = b'',
    key: str = 'k',
    fields: typing.Sequence[str] = (),
) -> bytes:
    lines = [f'{method} {target} HTTP/1.1', 'Host: h', *fields]
    if key:
        lines.append(f'Knapweedhall-Key: {key}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Starts data paths and upstreams and stops them after the test."""

    async def start_gateway(
        self, control: Control, **options: typing.Any
    ) -> factory.Gateway:
        self.events = Recorder()
        made = interfaces.Options('e1', **options)
        gateway = factory.build_gateway(
            control, self.events, made, random.Random(5)
        )
        self.caller = await self.listen(gateway.caller)
        self.forward = await self.listen(gateway.forward)
        self.addAsyncCleanup(gateway.finish_stop, 0.0)
        return gateway

    async def listen(self, server: web.Server) -> interfaces.Address:
        runner = web.ServerRunner(server)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0, shutdown_timeout=0.1)
        await site.start()
        return interfaces.Address(*runner.addresses[0][:2])

    async def serve(
        self, script: Script, mode: str = 'divided', **options: typing.Any
    ) -> RawUpstream:
        """Start an upstream and a data path that sends everything to it."""
        upstream = await self.start_upstream(script)
        self.control = Control(mode=mode)
        self.control.own('u1', upstream.address)
        self.gateway = await self.start_gateway(self.control, **options)
        return upstream

    async def start_upstream(self, script: Script) -> RawUpstream:
        upstream = RawUpstream(script)
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def call(self, data: bytes) -> Answer:
        """Send raw bytes on a new connection and read one answer."""
        reader, writer = await asyncio.open_connection(*self.caller)
        writer.write(data)
        try:
            return await read_answer(reader, data.startswith(b'HEAD'))
        finally:
            writer.close()


async def read_head(reader: Reader) -> tuple[str, Headers]:
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = text.strip().split('\r\n')
    fields = (field.split(': ', 1) for field in rest)
    return line, {name.lower(): value for name, value in fields}


async def read_answer(reader: Reader, head: bool = False) -> Answer:
    line, headers = await read_head(reader)
    status = int(line.split()[1])
    try:
        empty = head or status in (204, 304)
        body = b'' if empty else await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, None)
    return Answer(status, headers, body)


async def _read_body(reader: Reader, headers: Headers) -> bytes:
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body
