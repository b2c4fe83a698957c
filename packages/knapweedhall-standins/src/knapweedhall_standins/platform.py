"""Stand-in for the platform: append-only log and instance list over HTTP."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import time
import typing

from aiohttp import web
from knapweedhall_events import trace
import msgspec

from knapweedhall_standins import listing
from knapweedhall_standins import network
from knapweedhall_standins import process
from knapweedhall_standins import stream

DEFAULT_RETENTION_S = 3600.0
DEFAULT_LIST_LAG_MS = 500
DEFAULT_LIMIT = 500
MAX_WAIT_MS = 30000

Clock = typing.Callable[[], float]
Handler = typing.Callable[[web.Request], typing.Awaitable[web.StreamResponse]]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; a PUT replaces all of them.

    Attributes
    ----------
    down : bool
        Log calls end without an answer and without effect.
    delay_ms : float
        Added to each log call, before it takes effect.
    lose_answers : int
        How many of the next appends take effect without an answer.
    cut_domains : list of int
        Failure domains whose calls hang, to the log and to the list.
    list_down : bool
        Calls to the list end without an answer.
    """

    down: bool = False
    delay_ms: float = 0
    lose_answers: int = 0
    cut_domains: list[int] = []
    list_down: bool = False


class Platform:
    """State and HTTP handlers of the platform.

    Parameters
    ----------
    retention_s, list_lag_s : float
        Retention of the log and lag of the list, in seconds.
    events : trace.TraceWriter
        Where faults are recorded.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        retention_s: float,
        list_lag_s: float,
        events: trace.TraceWriter,
        clock: Clock = time.monotonic,
    ) -> None:
        self.retention_s = retention_s
        self.streams: dict[str, stream.Stream] = {}
        self.instances = listing.InstanceList(list_lag_s)
        self.faults = Faults()
        self.events = events
        self.clock = clock
        self.appended = asyncio.Condition()
        self.faults_changed = asyncio.Condition()

    def get_stream(self, name: str) -> stream.Stream:
        """Return a stream, creating it at its first use."""
        if name not in self.streams:
            self.streams[name] = stream.Stream(self.retention_s)
        return self.streams[name]

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Store one record."""
        body = await request.read()
        if not body or len(body) > stream.MAX_RECORD_BYTES:
            return _refusal(
                413 if body else 400,
                f'the record has {len(body)} bytes; '
                f'send 1 to {stream.MAX_RECORD_BYTES}',
            )
        try:
            text = body.decode()
        except UnicodeDecodeError as error:
            return _refusal(400, f'{error}; send UTF-8')
        if await self._log_fails():
            return process.abort(request)
        log = self.get_stream(request.match_info['name'])
        offset = log.append(text, self.clock(), int(time.time() * 1000))
        async with self.appended:
            self.appended.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return process.abort(request)
        return _json({'offset': offset}, 201)

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Return records from an offset, waiting for the first one."""
        try:
            start = int(request.query.get('from', 0))
            limit = int(request.query.get('limit', DEFAULT_LIMIT))
            wait_ms = int(request.query.get('wait_ms', 0))
        except ValueError as error:
            return _refusal(400, str(error))
        if start < 0 or limit < 1 or not 0 <= wait_ms <= MAX_WAIT_MS:
            return _refusal(
                400,
                f'from, limit or wait_ms is out of range; '
                f'wait at most {MAX_WAIT_MS} ms',
            )
        if await self._log_fails():
            return process.abort(request)
        log = self.get_stream(request.match_info['name'])
        await self._wait_for(log, start, wait_ms / 1000)
        if self.faults.down:
            return process.abort(request)
        return _page(log.read(start, limit, self.clock()))

    async def _wait_for(
        self, log: stream.Stream, start: int, wait_s: float
    ) -> None:
        try:
            async with asyncio.timeout(wait_s), self.appended:
                await self.appended.wait_for(
                    lambda: log.end > start or self.faults.down
                )
        except TimeoutError:
            return

    async def _log_fails(self) -> bool:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        return self.faults.down

    async def list_instances(self, request: web.Request) -> web.StreamResponse:
        """Return the list as the caller's failure domain sees it."""
        if self.faults.list_down:
            return process.abort(request)
        domain = process.caller_domain(request)
        return _json({'instances': self.instances.read(domain, self.clock())})

    async def put_instance(self, request: web.Request) -> web.StreamResponse:
        """Register a process."""
        try:
            row = msgspec.json.decode(await request.read(), type=listing.Row)
        except msgspec.DecodeError as error:
            return _refusal(400, str(error))
        name = request.match_info['name']
        self.instances.put(name, row, self.clock())
        return _json({})

    async def delete_instance(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Remove a process."""
        self.instances.delete(request.match_info['name'], self.clock())
        return _json({})

    async def put_faults(self, request: web.Request) -> web.StreamResponse:
        """Replace the faults in force."""
        try:
            faults = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.DecodeError as error:
            return _refusal(400, str(error))
        self.faults = faults
        text = msgspec.json.encode(faults).decode()
        self.events.emit('fault_set', fault=f'platform {text}')
        for changed in (self.appended, self.faults_changed):
            async with changed:
                changed.notify_all()
        return _json(faults)

    async def get_faults(self, request: web.Request) -> web.StreamResponse:
        """Return the faults in force."""
        return _json(self.faults)

    async def pass_partition(self, domain: int) -> None:
        """Wait while a failure domain is cut from the platform."""
        async with self.faults_changed:
            await self.faults_changed.wait_for(
                lambda: domain not in self.faults.cut_domains
            )


def create_app(platform: Platform) -> web.Application:
    """Return the HTTP application of a platform."""

    @web.middleware
    async def partition(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path == '/faults':
            return await handler(request)
        domain = process.caller_domain(request)
        await platform.pass_partition(domain)
        answer = await handler(request)
        # An answer that was under way when the partition began is lost too.
        await platform.pass_partition(domain)
        return answer

    # Records above the limit are refused by the handler, with a reason.
    app = web.Application(
        middlewares=[partition],
        client_max_size=stream.MAX_RECORD_BYTES * 4,
    )
    records = '/streams/{name}/records'
    app.router.add_post(records, platform.append)
    app.router.add_get(records, platform.read)
    app.router.add_get('/instances', platform.list_instances)
    app.router.add_put('/instances/{name}', platform.put_instance)
    app.router.add_delete('/instances/{name}', platform.delete_instance)
    app.router.add_get('/faults', platform.get_faults)
    app.router.add_put('/faults', platform.put_faults)
    return app


def _page(found: stream.Page | stream.Expired) -> web.Response:
    if isinstance(found, stream.Expired):
        return _json({'first': found.first}, 410)
    records = [
        {
            'offset': entry.offset,
            'appended_ms': entry.appended_ms,
            'body': entry.body,
        }
        for entry in found.entries
    ]
    return _json(
        {'first': found.first, 'next': found.next, 'records': records}
    )


def _json(value: typing.Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )


def _refusal(status: int, reason: str) -> web.Response:
    return _json({'reason': reason}, status)


def parse_arguments(
    arguments: typing.Sequence[str],
) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--listen',
        type=network.Address.parse,
        action='append',
        required=True,
        metavar='IP:PORT',
        help='may be repeated, to listen in several failure domains',
    )
    parser.add_argument(
        '--retention-s', type=float, default=DEFAULT_RETENTION_S
    )
    parser.add_argument(
        '--list-lag-ms', type=float, default=DEFAULT_LIST_LAG_MS
    )
    parser.add_argument('--trace', type=pathlib.Path)
    return parser.parse_args(arguments)


async def run(options: argparse.Namespace) -> None:
    """Serve until a signal asks for the end."""
    events = trace.TraceWriter('platform', options.trace)
    platform = Platform(
        options.retention_s, options.list_lag_ms / 1000, events
    )
    runner = web.AppRunner(
        create_app(platform),
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=0.1,
    )
    await process.serve(runner, options.listen, events, 'platform')


def main() -> int:
    """Run the command."""
    process.limit_log()
    asyncio.run(run(parse_arguments(sys.argv[1:])))
    return 0


if __name__ == '__main__':
    sys.exit(main())
