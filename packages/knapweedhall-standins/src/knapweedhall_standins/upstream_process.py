"""Runs a fake upstream as a process.

It prints one JSON line for each grant, release and run, with the time of the
machine's monotonic clock. On SIGTERM it drains and exits, as upstreams on the
platform do.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time

import aiohttp

from knapweedhall_standins import upstream

HEARTBEAT_PERIOD_S = 0.8
# Time for which a draining upstream still serves requests.
DRAIN_S = 2.5
CALL_TIMEOUT_S = 1.0


class RemoteRegistry:
    """Writes the entry of an upstream to the store of another process."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.url = f'http://{address}/standin/entry'
        self.tasks: set[asyncio.Task[None]] = set()

    def put(self, topic: str, key: str, value: object) -> None:
        """Start to write a record in the background."""
        task = asyncio.create_task(self._put(key, value))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _put(self, key: str, value: object) -> None:
        raw = b'' if value is None else json.dumps(value).encode()
        timeout = aiohttp.ClientTimeout(CALL_TIMEOUT_S)
        try:
            async with self.session.put(
                self.url, params={'key': key}, data=raw, timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # The next heartbeat writes it again.
            print(f'entry not written: {error!r}', file=sys.stderr)


def print_event(name: str, fields: dict[str, object]) -> None:
    """Print an event as a JSON line."""
    line = {'at': time.monotonic(), 'event': name, **fields}
    print(json.dumps(line), flush=True)


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM, then drain and remove the entry."""
    terminated = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, terminated.set
    )
    async with aiohttp.ClientSession() as session:
        registry = RemoteRegistry(session, options.store)
        fake = upstream.FakeUpstream(
            registry, options.service, options.divided, options.work_s
        )
        fake.name = options.name
        fake.on_event = print_event
        print_event('started', {})
        await fake.start(options.host, options.port)
        if options.advertise:
            fake.address = options.advertise
        exit_at = float('inf')
        while time.monotonic() < exit_at:
            if terminated.is_set() and fake.state == 'ready':
                exit_at = time.monotonic() + DRAIN_S
                fake.drain()
            fake.register()
            await asyncio.sleep(HEARTBEAT_PERIOD_S / 2)
        registry.put('', fake.name, None)
        await asyncio.gather(*registry.tasks)


def main() -> None:
    """Parse the command line and run the upstream."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('name')
    parser.add_argument('service')
    parser.add_argument('host')
    parser.add_argument('port', type=int)
    parser.add_argument('--store', required=True, metavar='ADDRESS')
    parser.add_argument('--advertise', default='', metavar='ADDRESS')
    parser.add_argument('--divided', action='store_true')
    parser.add_argument('--work-s', type=float, default=0.02)
    asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
