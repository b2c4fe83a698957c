"""Measures what control costs one entry instance, and how that grows.

Run with ``python -m knapweedhall_bench.capacity``. It starts deployments of
several sizes without any traffic and reads processor time, memory and bytes
between instances from their admin ports. It also measures the memory of
records and slice tables. All tables are Markdown.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import re
import statistics
import tracemalloc
import typing

import loguru

from knapweedhall_bench import deployment
from knapweedhall_bench.failures import stage
from knapweedhall_bench import publishing
from knapweedhall_bench import topology
from knapweedhall_ownership import configuration
from knapweedhall_ownership import messages
from knapweedhall_ownership import permits
from knapweedhall_records import bodies
from knapweedhall_records import ids

SERVICE = 'ledger'
SLICES = 256
DOMAINS = 3
SETTLE_S = 5.0
MEASURE_S = 8.0
RECORD_COUNTS = (1000, 4000, 16000)
SLICE_COUNTS = (1024, 4096, 16384)
MEMORY_LINE = re.compile(r'^VmRSS:\s+(\d+) kB$', re.MULTILINE)


class Size(typing.NamedTuple):
    """Instances of each failure domain and upstreams of all."""

    entries_per_domain: int
    upstreams: int


INSTANCE_SIZES = (Size(1, 12), Size(2, 12), Size(4, 12))
UPSTREAM_SIZES = (Size(2, 6), Size(2, 18), Size(2, 36))


class Usage(typing.NamedTuple):
    """What one instance uses for control.

    Attributes
    ----------
    processor_share : float
        Processor time per time, 1 is a whole core.
    memory_mb : float
        Resident memory in MB.
    sent_kb_s, received_kb_s : float
        Bytes of messages between instances, in KB (1,000 bytes) a second.
    groups : int
        Lease groups that it coordinates.
    """

    processor_share: float
    memory_mb: float
    sent_kb_s: float
    received_kb_s: float
    groups: int


class Fit(typing.NamedTuple):
    """Least-squares line through measured points.

    `error` is the largest distance of a point from the line.
    """

    slope: float
    intercept: float
    error: float


def fit_line(points: typing.Sequence[tuple[float, float]]) -> Fit:
    """Return the line through points of (size, value)."""
    sizes, values = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(sizes, values)
    distances = (
        abs(value - intercept - slope * size) for size, value in points
    )
    return Fit(slope, intercept, max(distances))


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    match = MEMORY_LINE.search(text)
    return int(match[1]) / 1000 if match else 0.0


async def measure_usage(size: Size) -> list[Usage]:
    """Return what each instance of an idle deployment uses."""
    spec = topology.ServiceSpec(
        SERVICE, size.upstreams, ('--slots', '4', '--checks-tokens')
    )
    wanted = topology.Topology((spec,), DOMAINS, size.entries_per_domain)
    async with deployment.Deployment(wanted) as running:
        draft = publishing.service_draft(
            SERVICE, 4, 130, slices=SLICES, checks_tokens=True
        )
        await publishing.publish(running, draft)
        await asyncio.sleep(SETTLE_S)
        scene = stage.Stage(running, random.Random(1))
        names = sorted(running.entries)
        before = [await scene.admin(name, 'status') for name in names]
        await asyncio.sleep(MEASURE_S)
        after = [await scene.admin(name, 'status') for name in names]
        return [
            _usage(first, last, running.children[name].pid)
            for name, first, last in zip(names, before, after, strict=True)
        ]


def _usage(
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
    pid: int | None,
) -> Usage:
    def rate(name: str) -> float:
        change = after['peer_traffic'][name] - before['peer_traffic'][name]
        return float(change) / MEASURE_S / 1000

    return Usage(
        (after['processor_s'] - before['processor_s']) / MEASURE_S,
        resident_mb(pid) if pid else 0.0,
        rate('sent_bytes'),
        rate('received_bytes'),
        len(after['groups_held']),
    )


def print_usage(
    title: str, sizes: typing.Sequence[Size], field: str, per: str
) -> None:
    """Measure some sizes and print rows and fits."""
    rows = [(size, asyncio.run(measure_usage(size))) for size in sizes]
    print(f'\n{title}\n')
    print('| size | role | core % | MB | sent KB/s | received KB/s |')
    print('|---|---|---|---|---|---|')
    series: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size, usages in rows:
        factor = DOMAINS if field == 'entries_per_domain' else 1
        number = getattr(size, field) * factor
        for role, coordinates in (('coordinator', True), ('other', False)):
            chosen = [
                each for each in usages if bool(each.groups) is coordinates
            ]
            if not chosen:
                continue
            mean = [
                statistics.mean(getattr(each, name) for each in chosen)
                for name in Usage._fields[:4]
            ]
            mean[0] *= 100
            cells = ' | '.join(f'{value:.2f}' for value in mean)
            print(f'| {number} {per} | {role} | {cells} |')
            for name, value in zip(Usage._fields, mean, strict=False):
                series.setdefault((role, name), []).append((number, value))
    print(f'\n| role | figure | per {per} | at 0 | largest error |')
    print('|---|---|---|---|---|')
    for (role, name), points in series.items():
        if len(points) >= 3:
            fit = fit_line(points)
            cells = ' | '.join(f'{value:.4f}' for value in fit)
            print(f'| {role} | {name} | {cells} |')


def store_bytes(count: int) -> float:
    """Return the memory of a store with a number of records, in bytes."""
    tracemalloc.start()
    store = configuration.Store()
    for number in range(count):
        body = bodies.Mark('out')
        name = f'instance/{number}'
        store.apply(
            number, bodies.Record('mark', 2, name, 1, 0, 'w', 1, number, body)
        )
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(used)


def table_bytes(count: int) -> float:
    """Return the memory of a permit table with some slices, in bytes."""
    tracemalloc.start()
    table = permits.PermitTable('service/s')
    table.set_service('s', count, True)
    table.request(0.0, {}, {})
    entries = [
        messages.TableEntry('s', number, f'upstream-{number % 450}', 1)
        for number in range(count)
    ]
    term = ids.Term(1, 1).encode()
    offer = messages.PermitOffer(
        'service/s', term, 1, 1000, 1, 0, entries, 1, {}
    )
    table.take(0.0, offer)
    del entries, offer
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(used)


def print_memory() -> None:
    """Measure the memory of records and slices."""
    print('\n| state | sizes | bytes each | at 0 | largest error |')
    print('|---|---|---|---|---|')
    for name, counts, measure in (
        ('record in force', RECORD_COUNTS, store_bytes),
        ('slice in a permit table', SLICE_COUNTS, table_bytes),
    ):
        fit = fit_line([(count, measure(count)) for count in counts])
        cells = ' | '.join(f'{value:.0f}' for value in fit)
        print(f'| {name} | {", ".join(map(str, counts))} | {cells} |')


def main() -> None:
    """Print all tables."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    loguru.logger.remove()
    print_memory()
    print_usage(
        f'Instances, {INSTANCE_SIZES[0].upstreams} upstreams',
        INSTANCE_SIZES,
        'entries_per_domain',
        'instances',
    )
    print_usage(
        'Upstreams, 6 instances', UPSTREAM_SIZES, 'upstreams', 'upstreams'
    )


if __name__ == '__main__':
    main()
