"""Stand-in for the platform's store, over HTTP on loopback."""

from __future__ import annotations

import asyncio
import base64
import collections
import json
import struct
import time
import typing

from aiohttp import web

from knapweedhall_standins import faults
from knapweedhall_standins import store_engine

MAX_WAIT_MS = 30000
_PREFIX = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')


def _framed(record: store_engine.Record) -> bytes:
    name = record.key.encode()
    content = bytes([len(name)]) + name + record.value
    return _PREFIX.pack(len(content)) + content


class Store:
    """The store and the faults that a test sets.

    Attributes
    ----------
    faults : faults.StoreFaults
        What it does wrong.
    unnotified_reads : int
        Reads that began to wait while it was deaf.
    calls : collections.Counter of str
        Calls so far, by path.
    """

    def __init__(self) -> None:
        self.partitions: dict[str, store_engine.Partition] = {}
        self.groups: dict[str, store_engine.Group] = {}
        self.faults = faults.StoreFaults()
        self.unnotified_reads = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.server: asyncio.Server | None = None
        self.address = ''
        self.handlers: dict[
            str, typing.Callable[[web.BaseRequest], typing.Any]
        ] = {
            '/log-append': self._append,
            '/log-read': self._read,
            '/log-newest': self._newest,
            '/log-join': self._join,
            '/log-leave': self._leave,
            '/log-owners': self._owners,
        }

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            web.Server(self._handle, access_log=None), host, port
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening."""
        assert self.server is not None
        self.server.close()

    def partition(self, topic: str) -> store_engine.Partition:
        """Return the only partition of a topic."""
        return self.partitions.setdefault(topic, store_engine.Partition())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or an upstream does."""
        raw = b'' if value is None else json.dumps(value).encode()
        self.partition(topic).append(key, raw)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls[request.path] += 1
        wrong = self.faults
        if wrong.down or request.remote in wrong.refused:
            return web.Response(status=503)
        await asyncio.sleep(wrong.delays.get(request.path, 0.0))
        handler = self.handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        if request.path == '/log-append' and wrong.late_appends:
            wrong.late_appends -= 1
            # Read before the caller gives up.
            await request.read()
            await asyncio.sleep(wrong.late_s)
            await handler(request)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        answer = await handler(request)
        if request.path == '/log-append' and wrong.lose_answers:
            wrong.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return typing.cast(web.StreamResponse, answer)

    async def _append(self, request: web.BaseRequest) -> web.Response:
        partition = self.partition(request.query['topic'])
        raw = await request.read()
        at = request.query.get('at')
        if at is not None and int(at) != partition.end:
            return web.json_response({'endOffset': partition.end}, status=412)
        size = raw[4]
        key = raw[5 : 5 + size].decode()
        offset = partition.append(key, raw[5 + size :])
        return web.json_response(
            {'offset': offset, 'endOffset': partition.end}
        )

    async def _read(self, request: web.BaseRequest) -> web.Response:
        partition = self.partition(request.query['topic'])
        offset = int(request.query['fromRev'])
        wait_s = min(MAX_WAIT_MS, int(request.query.get('waitMs', 0))) / 1000
        if self.faults.deaf and wait_s:
            self.unnotified_reads += 1
            await asyncio.sleep(wait_s)
        elif offset == partition.end and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.changed.wait()
            except TimeoutError:
                # The answer is empty then.
                pass
        records = partition.since(offset)
        if records is None:
            return web.json_response(
                {'firstOffset': partition.first}, status=410
            )
        body = _OFFSETS.pack(partition.end, partition.first)
        return web.Response(body=body + b''.join(map(_framed, records)))

    async def _newest(self, request: web.BaseRequest) -> web.Response:
        partition = self.partition(request.query['topic'])
        found = partition.listing(time.monotonic() - self.faults.past_s)
        items = [
            {
                'key': record.key,
                'value': base64.b64encode(record.value).decode(),
                'offset': record.offset,
            }
            for record in found.newest.values()
        ]
        return web.json_response(
            {'items': items, 'hasMore': False, 'endOffset': found.end}
        )

    async def _join(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        group = self.groups.setdefault(body['group'], store_engine.Group())
        held = group.join(
            body['memberId'],
            body['ttlS_time'],
            body['generation'],
            time.monotonic(),
        )
        parts = [[body['topics'][0], 0, None]] if held else []
        return web.json_response(
            {
                'generation': group.generation,
                'ttlS_time': body['ttlS_time'],
                'parts': parts,
            }
        )

    async def _leave(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        group = self.groups.setdefault(body['group'], store_engine.Group())
        group.leave(body['memberId'], time.monotonic())
        return web.json_response({})

    async def _owners(self, request: web.BaseRequest) -> web.Response:
        name = request.query['group']
        group = self.groups.setdefault(name, store_engine.Group())
        group.expire(time.monotonic())
        rows = [[f'{name}.tenure', 0, group.holder, None]]
        return web.json_response({'rows': rows})
