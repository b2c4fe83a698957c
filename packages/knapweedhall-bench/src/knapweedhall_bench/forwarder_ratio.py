"""Compares the data path with a bare aiohttp forwarder.

    python -m knapweedhall_bench.forwarder_ratio [--requests N] [--rounds N]

Starts two small origins, a forwarder that decides nothing, and the data path
with fixed routes, each as a process. Rounds alternate between the two. A
round sends a fixed number of requests: first as fast as 32 connections go,
then at a fixed rate, half of what the bare forwarder did in its first round,
with latencies counted from the scheduled time of each request.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import time
import typing

import aiohttp
from aiohttp import web
from hdrh import histogram

CONNECTIONS = 32
BODY = b'x' * 600
ORIGINS = 2
START_TIMEOUT_S = 20.0
MAX_LATENCY_US = 60_000_000


class Result(typing.NamedTuple):
    """Figures of one round.

    Attributes
    ----------
    rate : float
        Requests per second with all connections busy.
    p50_ms, p99_ms : float
        Latencies at half load.
    cpu_us : float
        Processor time of the forwarder per request at full load, in
        microseconds; hardly depends on what else the machine does.
    """

    rate: float
    p50_ms: float
    p99_ms: float
    cpu_us: float


class Origin(asyncio.Protocol):
    """Answers every request head with 600 bytes and a clock."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.data = b''

    def data_received(self, data: bytes) -> None:
        """Answer each complete request; the load has no bodies."""
        self.data += data
        while True:
            head, mark, rest = self.data.partition(b'\r\n\r\n')
            if not mark:
                return
            self.data = rest
            clock = int(time.monotonic() * 1000)
            self.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 600\r\n'
                b'Content-Type: text/plain\r\n'
                b'Knapweedhall-Clock-Ms: %d\r\n'
                b'Knapweedhall-Incarnation: 1\r\n\r\n' % clock + BODY
            )


async def run_origin(port: int) -> None:
    """Serve the origin until the process is ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Origin, '127.0.0.1', port)
    await server.serve_forever()


async def run_bare(port: int, origins: typing.Sequence[int]) -> None:
    """Serve a forwarder without decisions until the process is ended."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    )
    turn = 0

    async def forward(request: web.Request) -> web.StreamResponse:
        nonlocal turn
        turn = (turn + 1) % len(origins)
        async with session.request(
            request.method,
            f'http://127.0.0.1:{origins[turn]}{request.raw_path}',
            headers=request.headers,
            data=request.content if request.can_read_body else None,
            allow_redirects=False,
        ) as answer:
            body = await answer.read()
            return web.Response(
                status=answer.status, headers=answer.headers, body=body
            )

    application = web.Application()
    application.router.add_route('*', '/{rest:.*}', forward)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


class Client(asyncio.Protocol):
    """One connection of the load generator, one request at a time."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.data = b''
        self.answer: asyncio.Future[None] | None = None

    def data_received(self, data: bytes) -> None:
        """Finish the request when its whole answer has arrived."""
        self.data += data
        head, mark, body = self.data.partition(b'\r\n\r\n')
        if not mark:
            return
        assert self.answer is not None
        if not head.startswith(b'HTTP/1.1 200'):
            self.answer.set_exception(RuntimeError(head.decode()))
        elif len(body) == len(BODY):
            self.data = b''
            self.answer.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that was cut."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(RuntimeError('connection lost'))

    async def request(self, number: int) -> None:
        """Send one request and wait for its answer."""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(
            b'GET /fixed/item?n=%d HTTP/1.1\r\nHost: bench\r\n'
            b'User-Agent: bench\r\nAccept: */*\r\n'
            b'Knapweedhall-Key: key-%d\r\n\r\n' % (number, number % 1000)
        )
        await self.answer


async def connect(port: int, count: int) -> list[Client]:
    """Open connections to a forwarder."""
    loop = asyncio.get_running_loop()
    return [
        (await loop.create_connection(Client, '127.0.0.1', port))[1]
        for _ in range(count)
    ]


async def full_load(port: int, requests: int) -> float:
    """Return requests per second with all connections busy."""
    clients = await connect(port, CONNECTIONS)
    numbers = iter(range(requests))

    async def work(client: Client) -> None:
        for number in numbers:
            await client.request(number)

    begin = time.monotonic()
    await asyncio.gather(*(work(client) for client in clients))
    elapsed = time.monotonic() - begin
    for client in clients:
        client.transport.close()
    return requests / elapsed


async def fixed_rate(port: int, requests: int, rate: float) -> list[float]:
    """Return the latencies in seconds of requests at a fixed rate."""
    free: asyncio.LifoQueue[Client] = asyncio.LifoQueue()
    clients = await connect(port, CONNECTIONS)
    for client in clients:
        free.put_nowait(client)
    latencies: list[float] = []
    running = set()

    async def work(number: int, due: float) -> None:
        client = await free.get()
        await client.request(number)
        latencies.append(time.monotonic() - due)
        free.put_nowait(client)

    begin = time.monotonic()
    for number in range(requests):
        due = begin + number / rate
        # A late turn of this loop counts as latency for both forwarders.
        if (delay := due - time.monotonic()) > 0:
            await asyncio.sleep(delay)
        task = asyncio.create_task(work(number, due))
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
    for client in clients:
        client.transport.close()
    return latencies


def cpu_seconds(process: int) -> float:
    """Return the processor time that a process has used."""
    text = pathlib.Path(f'/proc/{process}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    # Fields 14 and 15 of proc(5), user and system time in ticks.
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


async def run_round(
    process: int, port: int, requests: int, rate: float
) -> Result:
    """Measure one forwarder; a rate of 0 means half of its own."""
    before = cpu_seconds(process)
    full = await full_load(port, requests)
    cpu = cpu_seconds(process) - before
    latencies = await fixed_rate(port, requests // 2, rate or full / 2)
    counts = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for latency in latencies:
        counts.record_value(int(latency * 1e6))
    return Result(
        full,
        counts.get_value_at_percentile(50) / 1000,
        counts.get_value_at_percentile(99) / 1000,
        cpu * 1e6 / requests,
    )


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [int(one.getsockname()[1]) for one in sockets]
    for one in sockets:
        one.close()
    return ports


def start(module: str, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a process of this project."""
    return subprocess.Popen([sys.executable, '-m', module, *arguments])


async def wait_open(port: int) -> None:
    """Wait until a process accepts connections."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection('127.0.0.1', port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return


async def compare(arguments: argparse.Namespace) -> None:
    """Start the processes, measure both forwarders, print the figures."""
    here = 'knapweedhall_bench.forwarder_ratio'
    *origins, bare, gateway = free_ports(ORIGINS + 2)
    names = [str(port) for port in origins]
    upstreams = [f'--upstream=127.0.0.1:{port}' for port in origins]
    processes = [start(here, '--origin', name) for name in names]
    processes.append(start(here, '--bare', str(bare), *names))
    processes.append(
        start(
            'knapweedhall_entry.gateway.fixed',
            f'--listen=127.0.0.1:{gateway}',
            *upstreams,
        )
    )
    try:
        for port in (*origins, bare, gateway):
            await wait_open(port)
        for port in (bare, gateway):
            await full_load(port, arguments.requests // 10)
        await measure(
            {
                'bare': (processes[-2].pid, bare),
                'gateway': (processes[-1].pid, gateway),
            },
            arguments,
        )
    finally:
        for process in processes:
            process.terminate()
            process.wait()


async def measure(
    forwarders: dict[str, tuple[int, int]], arguments: argparse.Namespace
) -> None:
    """Measure both forwarders, by process and port, in alternating rounds."""
    results: dict[str, list[Result]] = {name: [] for name in forwarders}
    rate = 0.0
    for number in range(arguments.rounds):
        order = list(forwarders.items())
        # The order alternates so that drift of the machine hits both.
        for name, place in order if number % 2 == 0 else order[::-1]:
            result = await run_round(*place, arguments.requests, rate)
            rate = rate or result.rate / 2
            results[name].append(result)
            print(
                f'{name:8} {result.rate:7.0f}/s  {result.cpu_us:.0f} us  '
                f'at {rate:.0f}/s: p50 {result.p50_ms:.2f} ms  '
                f'p99 {result.p99_ms:.2f} ms',
                flush=True,
            )
    report(results['bare'], results['gateway'])


def report(bare: list[Result], gateway: list[Result]) -> None:
    """Print medians, and the median ratio of rounds that were neighbours."""
    for field in Result._fields:
        ones = [getattr(result, field) for result in bare]
        others = [getattr(result, field) for result in gateway]
        ratios = [other / one for one, other in zip(ones, others)]
        print(
            f'{field}: bare {statistics.median(ones):.2f}, '
            f'gateway {statistics.median(others):.2f}, '
            f'ratio {statistics.median(ratios):.2f}'
        )


def main() -> None:
    """Run the comparison, or one of its processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=20000)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--origin', type=int, help=argparse.SUPPRESS)
    parser.add_argument('--bare', type=int, nargs='+', help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.origin:
        asyncio.run(run_origin(arguments.origin))
    elif arguments.bare:
        asyncio.run(run_bare(arguments.bare[0], arguments.bare[1:]))
    else:
        asyncio.run(compare(arguments))


if __name__ == '__main__':
    main()
