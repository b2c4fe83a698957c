"""Stand-in for the links between failure domains: TCP relays with cuts."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import typing

from aiohttp import web
from knapweedhall_events import trace
import msgspec

from knapweedhall_standins import network
from knapweedhall_standins import process

CHUNK_BYTES = 65536

Pair = tuple[int, int]


class LinkFields(typing.TypedDict):
    """One relayed address, between two failure domains."""

    listen: str
    target: str
    domains: Pair


class Cuts(typing.TypedDict):
    """All pairs of failure domains that are cut."""

    pairs: list[Pair]


def pair_of(first: int, second: int) -> Pair:
    """Return the two failure domains in order."""
    return min(first, second), max(first, second)


class Relay:
    """Forwards connections and holds back their bytes during a cut.

    Nothing is closed by a cut and nothing is lost: as with a partition that
    heals, TCP delivers the bytes later.
    """

    def __init__(self, events: trace.TraceWriter) -> None:
        self.events = events
        self.servers: list[asyncio.Server] = []
        self.passages: dict[Pair, asyncio.Event] = {}
        self.connections: set[asyncio.Task[None]] = set()

    def passage(self, pair: Pair) -> asyncio.Event:
        """Return the event that is set while a pair is connected."""
        if pair not in self.passages:
            self.passages[pair] = asyncio.Event()
            self.passages[pair].set()
        return self.passages[pair]

    async def add(self, link: LinkFields) -> None:
        """Start to forward one address."""
        listen = network.Address.parse(link['listen'])
        target = network.Address.parse(link['target'])
        passage = self.passage(pair_of(*link['domains']))

        async def connected(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.connections.add(task)
            try:
                await _forward(reader, writer, target, passage)
            finally:
                self.connections.discard(task)

        self.servers.append(
            await asyncio.start_server(
                connected, listen.ip, listen.port, backlog=1024
            )
        )

    def cut(self, pairs: typing.Iterable[Pair]) -> None:
        """Cut exactly these pairs and connect all others."""
        wanted = {pair_of(*pair) for pair in pairs}
        for pair in wanted | set(self.passages):
            passage = self.passage(pair)
            passage.clear() if pair in wanted else passage.set()

    def close(self) -> None:
        """Stop listening and end all connections."""
        for server in self.servers:
            server.close()
        for task in self.connections:
            task.cancel()

    async def put_links(self, request: web.Request) -> web.Response:
        """Add relayed addresses."""
        try:
            links = msgspec.json.decode(
                await request.read(), type=list[LinkFields]
            )
            for link in links:
                await self.add(link)
        except (msgspec.DecodeError, ValueError, OSError) as error:
            return web.json_response({'reason': str(error)}, status=400)
        return web.json_response({})

    async def get_cuts(self, request: web.Request) -> web.Response:
        """Return the cuts in force."""
        pairs = [
            pair
            for pair, passage in self.passages.items()
            if not passage.is_set()
        ]
        return web.json_response({'pairs': pairs})

    async def put_cuts(self, request: web.Request) -> web.Response:
        """Replace the cuts."""
        raw = await request.read()
        try:
            cuts = msgspec.json.decode(raw, type=Cuts)
        except msgspec.DecodeError as error:
            return web.json_response({'reason': str(error)}, status=400)
        self.cut(cuts['pairs'])
        self.events.emit('fault_set', fault=f'relay {raw.decode()}')
        return web.json_response({})


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    target: network.Address,
    passage: asyncio.Event,
) -> None:
    await passage.wait()
    try:
        far_reader, far_writer = await asyncio.open_connection(*target)
    except OSError:
        process.reset(writer.transport)
        return
    try:
        async with asyncio.TaskGroup() as both:
            both.create_task(_pump(reader, far_writer, passage))
            both.create_task(_pump(far_reader, writer, passage))
    except* ConnectionError:
        # A reset on one side reaches the other one as a reset.
        process.reset(writer.transport)
        process.reset(far_writer.transport)
    finally:
        writer.close()
        far_writer.close()


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    passage: asyncio.Event,
) -> None:
    """Copy bytes one way, and the end of the stream or its failure."""
    while True:
        try:
            data = await reader.read(CHUNK_BYTES)
        except ConnectionError:
            await passage.wait()
            raise
        await passage.wait()
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        await writer.drain()


def create_app(relay: Relay) -> web.Application:
    """Return the HTTP application that controls a relay."""
    app = web.Application()
    app.router.add_put('/links', relay.put_links)
    app.router.add_get('/cuts', relay.get_cuts)
    app.router.add_put('/cuts', relay.put_cuts)
    return app


def parse_arguments(
    arguments: typing.Sequence[str],
) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--listen',
        type=network.Address.parse,
        required=True,
        metavar='IP:PORT',
        help='where links are added and cut',
    )
    parser.add_argument('--trace', type=pathlib.Path)
    return parser.parse_args(arguments)


async def run(options: argparse.Namespace) -> None:
    """Forward until a signal asks for the end."""
    events = trace.TraceWriter('relay', options.trace)
    relay = Relay(events)
    runner = web.AppRunner(
        create_app(relay), access_log=None, shutdown_timeout=0.1
    )
    try:
        await process.serve(runner, [options.listen], events, 'relay')
    finally:
        relay.close()


def main() -> int:
    """Run the command."""
    process.limit_log()
    asyncio.run(run(parse_arguments(sys.argv[1:])))
    return 0


if __name__ == '__main__':
    sys.exit(main())
