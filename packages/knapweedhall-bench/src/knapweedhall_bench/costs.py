"""Measures what single steps of a router cost, for docs/CAPACITY.md."""

from __future__ import annotations

import os
import random
import time
import typing
from unittest import mock

from knapweedhall_router import logs
from knapweedhall_router import messages
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import planning
from knapweedhall_routing import rates

REPEATS = 20
UPSTREAMS = (20, 100, 400)
RANGES_PER_UPSTREAM = 4
CAPACITY_PER_S = 40.0
# Log lines in one measurement.
LOGGED = 2000


def seconds(work: typing.Callable[[], object]) -> float:
    """Return the shortest processor time of some calls."""
    times = []
    for _ in range(REPEATS):
        begun = time.process_time()
        work()
        times.append(time.process_time() - begun)
    return min(times)


def busy_rates(upstreams: int) -> rates.KeyRates:
    """Return rates of traffic at half of the capacity."""
    rng = random.Random(1)
    found = rates.KeyRates()
    counts: dict[int, int] = {}
    for _ in range(int(upstreams * CAPACITY_PER_S / 2)):
        bucket = rng.randrange(rates.BUCKET_COUNT)
        counts[bucket] = counts.get(bucket, 0) + 1
    found.add(counts)
    found.decay(0.25)
    return found


def book(upstreams: int) -> holdings.Holdings:
    """Return ranges of equal width, dealt in turn."""
    found = holdings.Holdings('s')
    count = upstreams * RANGES_PER_UPSTREAM
    width = max(rates.BUCKET_KEYS, model.KEY_COUNT // count)
    for number in range(model.KEY_COUNT // width):
        one = found.split(number * width, (number + 1) * width - 1)
        one.upstream = f'u{number % upstreams}'
        one.confirmed = True
        one.fence = number + 1
    return found


def report(upstreams: int) -> list[tuple[str, float]]:
    """Return costs at a number of upstreams, in ms of processor time."""
    measured = busy_rates(upstreams)
    ranges = book(upstreams)
    view = planning.Inputs(
        {f'u{number}': CAPACITY_PER_S for number in range(upstreams)}, measured
    )
    return [
        ('rates, each 0.25 s', seconds(lambda: measured.decay(1.0)) * 1000),
        (
            'plan, each 0.25 s',
            seconds(lambda: planning.rebalance(ranges.items, view, 99.0))
            * 1000,
        ),
        ('merge, each 0.1 s', seconds(lambda: ranges.merge(99.0)) * 1000),
    ]


def log_lines() -> list[tuple[str, float]]:
    """Return costs of the log of one request, in ms of processor time."""
    logs.configure('costs', os.open(os.devnull, os.O_WRONLY))

    def written() -> None:
        _answered(LOGGED)

    found = []
    for name, limit in (
        ('log line of a request, written', 10**9),
        ('log line of a request, left out', 0),
    ):
        with mock.patch.dict(
            logs.MAX_LINES_PER_S_BY_EVENT, request_answered=limit
        ):
            found.append((name, seconds(written) * 1000 / LOGGED))
    return found


def _answered(count: int) -> None:
    for _ in range(count):
        logs.info(
            'request_answered',
            request='4f0c2a77d1b93e58',
            route='views',
            service='troupeau-view',
            key=20719,
            upstreams=['i-7f3a91c2'],
            status=200,
            waited_ms=202.4,
            configuration=20,
        )


def sizes() -> list[tuple[str, int]]:
    """Return bytes of messages on the wire."""
    beat = messages.Heartbeat(9, [], [], False, {'keyed.servers': 0.2}, 99.0)
    row = (4096, 8191, 'i-7f3a91c2', '10.200.1.7', 8541)
    change = messages.TableChange('troupeau-view', 5, 7, [row])
    told = messages.Report({'s': {77: 1}}, {'i-7f3a91c2': (1, 0.1)}, 9, 0.2, 4)
    record = messages.Records('t', False, [(9, 'i-7f3a91c2', b'x' * 280)])
    return [
        ('heartbeat', len(messages.encode(beat))),
        ('change of one range', len(messages.encode(change))),
        ('report of one request', len(messages.encode(told))),
        ('record of an upstream', len(messages.encode(record))),
    ]


def main() -> None:
    """Print all figures."""
    for upstreams in UPSTREAMS:
        for name, cost_ms in report(upstreams):
            print(f'{upstreams:4} upstreams  {name:20} {cost_ms:8.2f} ms')
    for name, cost_ms in log_lines():
        print(f'{name:37} {cost_ms:10.4f} ms')
    for name, size in sizes():
        print(f'{name:25} {size:5} bytes')


if __name__ == '__main__':
    main()
