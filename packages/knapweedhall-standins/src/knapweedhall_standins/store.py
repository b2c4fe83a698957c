"""Fake of the platform's store, over HTTP on loopback."""

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
ERA_HEADER = 'Store-Era'
# Topics whose writers, the operator and the upstreams, write again what they
# wrote since the copy of which the store was restored.
REWRITTEN_TOPICS = ('keyed.op', 'keyed.servers', 'keyed.knapweedhall.records')
_LENGTH_PREFIX = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')


def _encode_record(record: store_engine.Record) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return _LENGTH_PREFIX.pack(len(content)) + content


class Store:
    """HTTP server with in-memory topics and groups, and injected faults.

    Attributes
    ----------
    partitions : dict of str to store_engine.Partition
        The only partition of each topic.
    groups : dict of str to store_engine.Group
        Groups by name.
    faults : faults.StoreFaults
        Faults that are injected at present.
    unnotified_reads : int
        Number of reads that started to wait while the fault `deaf` was set.
    calls : collections.Counter of str
        Number of calls so far, by path.
    era : int
        Number in all responses; it rises when the store is restored.
    lost : dict of str to dict of str to bytes
        What the operator and the upstreams have to write again since the
        store was restored, by topic and key; b'' for a removal.
    """

    def __init__(self) -> None:
        self.partitions: dict[str, store_engine.Partition] = {}
        self.groups: dict[str, store_engine.Group] = {}
        self.faults = faults.StoreFaults()
        self.unnotified_reads = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.era = 0
        self.lost: dict[str, dict[str, bytes]] = {}
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
        """Start to listen."""
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
        """Write a record as an operator or an upstream does.

        The value None removes the key.
        """
        raw = b'' if value is None else json.dumps(value).encode()
        self.partition(topic).append(key, raw)

    def restore(self, age_s: float) -> None:
        """Return to a copy of this age; what was written since is lost."""
        moment = time.monotonic() - age_s
        self.era += 1
        for topic, partition in self.partitions.items():
            before = {
                key: record.value for key, record in partition.newest.items()
            }
            partition.restore(moment)
            if topic not in REWRITTEN_TOPICS:
                continue
            changes = self.lost.setdefault(topic, {})
            for key in before.keys() | partition.newest.keys():
                value = before.get(key, b'')
                copied = partition.newest.get(key)
                if value != (copied.value if copied else b''):
                    changes[key] = value

    def rewrite(self) -> None:
        """Write again what the operator and the upstreams had written."""
        lost, self.lost = self.lost, {}
        for topic, changes in lost.items():
            for key, value in changes.items():
                self.partition(topic).append(key, value)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(request)
        response.headers[ERA_HEADER] = str(self.era)
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls[request.path] += 1
        active = self.faults
        if active.down or request.remote in active.refused:
            return web.Response(status=503)
        await asyncio.sleep(active.delays.get(request.path, 0.0))
        handler = self.handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        if request.path == '/log-append' and active.late_appends:
            active.late_appends -= 1
            # The body must be read before the caller closes the connection.
            await request.read()
            await asyncio.sleep(active.late_s)
            await handler(request)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        response = await handler(request)
        if request.path == '/log-append' and active.lose_answers:
            active.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return typing.cast(web.StreamResponse, response)

    async def _append(self, request: web.BaseRequest) -> web.Response:
        partition = self.partition(request.query['topic'])
        body = await request.read()
        expected_offset = request.query.get('at')
        if (
            expected_offset is not None
            and int(expected_offset) != partition.end_offset
        ):
            return web.json_response(
                {'endOffset': partition.end_offset}, status=412
            )
        key_size = body[4]
        key = body[5 : 5 + key_size].decode()
        offset = partition.append(key, body[5 + key_size :])
        return web.json_response(
            {'offset': offset, 'endOffset': partition.end_offset}
        )

    async def _read(self, request: web.BaseRequest) -> web.Response:
        partition = self.partition(request.query['topic'])
        offset = int(request.query['fromRev'])
        wait_s = min(MAX_WAIT_MS, int(request.query.get('waitMs', 0))) / 1000
        if self.faults.deaf and wait_s:
            self.unnotified_reads += 1
            await asyncio.sleep(wait_s)
        elif offset == partition.end_offset and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.changed.wait()
            except TimeoutError:
                # The response is empty then.
                pass
        records = partition.records_from(offset)
        if records is None:
            return web.json_response(
                {'firstOffset': partition.first_offset}, status=410
            )
        body = _OFFSETS.pack(partition.end_offset, partition.first_offset)
        return web.Response(body=body + b''.join(map(_encode_record, records)))

    async def _newest(self, request: web.BaseRequest) -> web.Response:
        partition = self.partition(request.query['topic'])
        listing = partition.listing_at(time.monotonic() - self.faults.past_s)
        items = [
            {
                'key': record.key,
                'value': base64.b64encode(record.value).decode(),
                'offset': record.offset,
            }
            for record in listing.newest.values()
        ]
        return web.json_response(
            {'items': items, 'hasMore': False, 'endOffset': listing.end_offset}
        )

    async def _join(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        group = self.groups.setdefault(body['group'], store_engine.Group())
        holds_partition = group.join(
            body['memberId'],
            body['ttlS_time'],
            body['generation'],
            time.monotonic(),
        )
        assigned = [[body['topics'][0], 0, None]] if holds_partition else []
        return web.json_response(
            {
                'generation': group.generation,
                'ttlS_time': body['ttlS_time'],
                'parts': assigned,
            }
        )

    async def _leave(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        group = self.groups.setdefault(body['group'], store_engine.Group())
        group.leave(body['memberId'], time.monotonic())
        return web.json_response({})

    async def _owners(self, request: web.BaseRequest) -> web.Response:
        group_name = request.query['group']
        group = self.groups.setdefault(group_name, store_engine.Group())
        group.expire(time.monotonic())
        owners = [[f'{group_name}.tenure', 0, group.holder, None]]
        return web.json_response({'rows': owners})
