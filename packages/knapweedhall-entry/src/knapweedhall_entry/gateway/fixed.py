"""Runs the data path alone, with fixed routes, to measure it.

    python -m knapweedhall_entry.gateway.fixed --listen IP:PORT \
        --upstream IP:PORT [--upstream IP:PORT ...] [--slots N] \
        [--events]

Serves one divided service named `fixed`.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
import typing

from aiohttp import web
import loguru
import xxhash

from knapweedhall_entry.gateway import factory
from knapweedhall_entry.gateway import interfaces
from knapweedhall_events import trace
from knapweedhall_records import bodies
from knapweedhall_records import ids

SLICES = 256
PERMIT_S = 1.0
RENEWAL_S = 0.25


class FixedControl:
    """Control side whose slices never move; permits are renewed."""

    def __init__(
        self, addresses: typing.Sequence[interfaces.Address], slots: int
    ) -> None:
        self.addresses = {
            f'u{number}': address for number, address in enumerate(addresses)
        }
        self.names = list(self.addresses)
        self.slots = slots
        self.deadline = time.monotonic() + PERMIT_S
        self.listener: typing.Callable[[], None] = lambda: None
        limits = bodies.Limits(slots, slots)
        self.record = bodies.Service('divided', limits, slices=SLICES)

    def service(self, name: str) -> bodies.Service | None:
        """Return the one service."""
        return self.record if name == 'fixed' else None

    def route(self, now: float, service: str, key: str) -> interfaces.Route:
        """Return the upstream of a key's slice."""
        number = xxhash.xxh64_intdigest(key.encode()) % SLICES
        name = self.names[number % len(self.names)]
        return interfaces.Route(number, name, ids.Token(1, 1), self.deadline)

    def candidates(
        self, now: float, service: str
    ) -> tuple[interfaces.Route, ...]:
        """Return all upstreams."""
        return tuple(
            interfaces.Route(0, name, ids.Token(1, 1), self.deadline)
            for name in self.names
        )

    def address(self, upstream: str) -> interfaces.Address | None:
        """Return the address of an upstream."""
        return self.addresses.get(upstream)

    def share(self, upstream: str) -> interfaces.Share | None:
        """Return the whole upstream as this instance's share."""
        return interfaces.Share(self.slots, self.slots, 1)

    def subscribe(self, listener: typing.Callable[[], None]) -> None:
        """Take the listener for renewals."""
        self.listener = listener

    async def renew(self) -> None:
        """Renew the permit for ever."""
        while True:
            await asyncio.sleep(RENEWAL_S)
            self.deadline = time.monotonic() + PERMIT_S
            self.listener()


def parse_address(text: str) -> interfaces.Address:
    """Return the address that `IP:PORT` names."""
    host, _, port = text.rpartition(':')
    return interfaces.Address(host, int(port))


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until cancelled."""
    control = FixedControl(arguments.upstream, arguments.slots)
    gateway = factory.build_gateway(
        control,
        trace.TraceWriter('fixed'),
        interfaces.Options('fixed', request_events=arguments.events),
        random.Random(1),
    )
    runner = web.ServerRunner(gateway.caller)
    await runner.setup()
    await web.TCPSite(runner, *arguments.listen).start()
    await control.renew()


def main() -> None:
    """Run the data path until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', type=parse_address, required=True)
    parser.add_argument(
        '--upstream', type=parse_address, action='append', required=True
    )
    parser.add_argument('--slots', type=int, default=64)
    parser.add_argument(
        '--events', action='store_true', help='record events per request'
    )
    arguments = parser.parse_args()
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level='INFO')
    asyncio.run(serve(arguments))


if __name__ == '__main__':
    main()
