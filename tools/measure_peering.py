"""Measures messages per second of the ways to talk between instances.

Two processes on loopback; each way runs at each size for a fixed time. The
figures go into docs/decisions/peering.md.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import statistics
import time
import typing

import pynng

from knapweedhall_events import trace
from knapweedhall_peering import envelope
from knapweedhall_peering import transport
from knapweedhall_records import ids

HOST = '127.0.0.1'
KEY = bytes(32)
# Outstanding messages of the one-way measurements; far below the receive
# queue, so that none is dropped.
WINDOW = 32
HEADER_BYTES = 4


class Payload(typing.NamedTuple):
    """Body of a measured message."""

    number: int
    data: bytes


class Ack(typing.NamedTuple):
    """Confirms all messages up to `number`."""

    number: int


class Case(typing.NamedTuple):
    """One measurement."""

    way: str
    size: int
    port: int


def open_transport(name: str, port: int) -> transport.Transport:
    codec = envelope.Codec(KEY, {'Payload': Payload, 'Ack': Ack})
    result = transport.Transport(
        ids.InstanceId(name, 1),
        f'{HOST}:{port}',
        codec,
        trace.TraceWriter(name),
    )
    result.listen()
    return result


async def serve_push_pull(port: int) -> None:
    """Receive with the transport; confirm every half window."""
    peer = open_transport('server', port)
    peer.set_peer('client', f'{HOST}:{port + 1}')

    def deliver(message: envelope.Received) -> None:
        if message.body.number % (WINDOW // 2) == 0:
            peer.send('client', Ack(message.body.number))

    await peer.run(deliver)


async def call_push_pull(case: Case, seconds: float) -> int:
    peer = open_transport('client', case.port + 1)
    peer.set_peer('server', f'{HOST}:{case.port}')
    confirmed = 0
    wake = asyncio.Event()

    def deliver(message: envelope.Received) -> None:
        nonlocal confirmed
        confirmed = message.body.number
        wake.set()

    receiver = asyncio.create_task(peer.run(deliver))
    await asyncio.sleep(0.3)
    data = bytes(case.size)
    sent = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        while sent - confirmed < WINDOW:
            sent += 1
            peer.send('server', Payload(sent, data))
        wake.clear()
        await asyncio.wait_for(wake.wait(), 5)
    receiver.cancel()
    return confirmed


async def serve_raw_push_pull(port: int) -> None:
    """Receive without codec; confirm every half window."""
    pull = pynng.Pull0(listen=f'tcp://{HOST}:{port}')
    push = pynng.Push0()
    push.dial(f'tcp://{HOST}:{port + 1}', block=False)
    count = 0
    while True:
        await pull.arecv()
        count += 1
        if count % (WINDOW // 2) == 0:
            await push.asend(count.to_bytes(8, 'big'))


async def call_raw_push_pull(case: Case, seconds: float) -> int:
    pull = pynng.Pull0(listen=f'tcp://{HOST}:{case.port + 1}')
    push = pynng.Push0(send_buffer_size=2 * WINDOW)
    push.dial(f'tcp://{HOST}:{case.port}', block=False)
    await asyncio.sleep(0.3)
    data = bytes(case.size)
    sent = confirmed = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        while sent - confirmed < WINDOW:
            sent += 1
            await push.asend(data)
        confirmed = int.from_bytes(await pull.arecv(), 'big')
    return confirmed


async def serve_req_rep(port: int) -> None:
    """Answer each request with its own bytes."""
    socket = pynng.Rep0(listen=f'tcp://{HOST}:{port}')
    while True:
        await socket.asend(await socket.arecv())


async def call_req_rep(case: Case, seconds: float) -> int:
    socket = pynng.Req0(dial=f'tcp://{HOST}:{case.port}')
    data = bytes(case.size)
    count = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await socket.asend(data)
        await socket.arecv()
        count += 1
    return count


async def serve_streams(port: int) -> None:
    """Answer each length-prefixed message with its own bytes."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            header = await reader.readexactly(HEADER_BYTES)
            data = await reader.readexactly(int.from_bytes(header, 'big'))
            writer.write(header + data)

    server = await asyncio.start_server(answer, HOST, port)
    await server.serve_forever()


async def call_streams(case: Case, seconds: float) -> int:
    reader, writer = await asyncio.open_connection(HOST, case.port)
    data = bytes(case.size)
    message = len(data).to_bytes(HEADER_BYTES, 'big') + data
    count = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        writer.write(message)
        await reader.readexactly(len(message))
        count += 1
    return count


Serve = typing.Callable[[int], typing.Coroutine[typing.Any, typing.Any, None]]
Call = typing.Callable[
    [Case, float], typing.Coroutine[typing.Any, typing.Any, int]
]
WAYS: dict[str, tuple[Serve, Call]] = {
    'push-pull with codec, one way': (serve_push_pull, call_push_pull),
    'push-pull raw, one way': (serve_raw_push_pull, call_raw_push_pull),
    'req-rep raw, round trips': (serve_req_rep, call_req_rep),
    'asyncio streams, round trips': (serve_streams, call_streams),
}


def run_server(way: str, port: int) -> None:
    asyncio.run(WAYS[way][0](port))


def measure(case: Case, seconds: float) -> float:
    """Return messages (or round trips) per second of one case."""
    context = multiprocessing.get_context('spawn')
    server = context.Process(
        target=run_server, args=(case.way, case.port), daemon=True
    )
    server.start()
    try:
        time.sleep(1.0)
        return asyncio.run(WAYS[case.way][1](case, seconds)) / seconds
    finally:
        server.kill()
        server.join()


def main() -> None:
    """Print one line per way and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=3.0)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--port', type=int, default=19400)
    arguments = parser.parse_args()
    port = arguments.port
    for way in WAYS:
        for size in (200, 600):
            rates = []
            for _ in range(arguments.rounds):
                port += 2
                case = Case(way, size, port)
                rates.append(measure(case, arguments.seconds))
            print(
                f'{way}, {size} bytes: median {statistics.median(rates):.0f}/s'
                f' (from {min(rates):.0f} to {max(rates):.0f})',
                flush=True,
            )


if __name__ == '__main__':
    main()
