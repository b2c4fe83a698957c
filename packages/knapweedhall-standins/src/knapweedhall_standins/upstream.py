"""Stand-in for an upstream: work, grants, limits and faults over HTTP."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import time
import typing
import zlib

from aiohttp import web
from knapweedhall_events import trace

from knapweedhall_standins import capacity
from knapweedhall_standins import engine
from knapweedhall_standins import grants
from knapweedhall_standins import network
from knapweedhall_standins import process
from knapweedhall_standins import upstream_server

# Upper bound of the constant by which an upstream's clock differs from the
# machine's, so that a caller that uses its own clock fails visibly.
CLOCK_OFFSET_RANGE_S = 1000000


def parse_arguments(
    arguments: typing.Sequence[str],
) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--failure-domain', required=True)
    parser.add_argument(
        '--listen',
        type=network.Address.parse,
        required=True,
        metavar='IP:PORT',
    )
    parser.add_argument('--slots', type=int, default=4)
    parser.add_argument('--queue', type=int, default=16)
    parser.add_argument('--connections', type=int, default=130)
    parser.add_argument('--connect-cost-ms', type=float, default=1)
    parser.add_argument('--probe-cost-ms', type=float, default=0)
    parser.add_argument('--work-ms', type=float, default=2)
    parser.add_argument('--cold-slots', type=int, default=1)
    parser.add_argument('--cold-s', type=float, default=0)
    parser.add_argument('--cold-factor', type=float, default=3)
    parser.add_argument('--report-lag-ms', type=float, default=500)
    parser.add_argument('--checks-tokens', action='store_true')
    parser.add_argument('--trace', type=pathlib.Path)
    return parser.parse_args(arguments)


def create_upstream(
    options: argparse.Namespace, events: trace.TraceWriter
) -> upstream_server.Upstream:
    """Return the upstream that the command line describes."""
    offset_s = zlib.crc32(options.name.encode()) % CLOCK_OFFSET_RANGE_S
    core = engine.Engine(
        options.name,
        options.service,
        grants.GrantTable(options.checks_tokens),
        capacity.Limits(
            options.slots,
            options.queue,
            options.cold_slots,
            options.cold_s,
            options.cold_factor,
            options.work_ms / 1000,
        ),
        events,
        lambda: time.monotonic() + offset_s,
    )
    return upstream_server.Upstream(
        core,
        options.connections,
        options.connect_cost_ms / 1000,
        options.probe_cost_ms / 1000,
        options.report_lag_ms / 1000,
    )


async def run(options: argparse.Namespace) -> None:
    """Serve until a signal asks for the end."""
    events = trace.TraceWriter(options.name, options.trace)
    upstream = create_upstream(options, events)
    sampling = asyncio.create_task(upstream.sample_reports())
    runner = web.ServerRunner(upstream.server, shutdown_timeout=0.1)
    await process.serve(runner, [options.listen], events, 'upstream')
    sampling.cancel()


def main() -> int:
    """Run the command."""
    process.limit_log()
    asyncio.run(run(parse_arguments(sys.argv[1:])))
    return 0


if __name__ == '__main__':
    sys.exit(main())
