"""Measures the costs of single steps of a router for docs/CAPACITY.md."""

from __future__ import annotations

import os
import random
import time
import typing
from unittest import mock

from knapweedhall_router.links import messages
from knapweedhall_router import logs
from knapweedhall_routing import announcements
from knapweedhall_routing import concurrency
from knapweedhall_routing import holdings
from knapweedhall_routing import load
from knapweedhall_routing import model
from knapweedhall_routing import planning
from knapweedhall_routing import rates

REPEATS = 20
UPSTREAM_COUNTS = (20, 100, 400)
RANGES_PER_UPSTREAM = 4
CAPACITY_PER_S = 40.0
# Instances, upstreams and requests per second of fleets whose upstreams are
# all near their limits.
FLEETS = ((72, 160, 1000), (195, 480, 2700), (450, 1000, 6000))
REPORT_PERIOD_S = 0.3
LIMIT_PERIODS = 100
# Number of log lines in one measurement.
LOG_LINES = 2000


def measure_cpu_s(step: typing.Callable[[], object]) -> float:
    """Return the shortest CPU time of REPEATS calls, seconds."""
    times = []
    for _ in range(REPEATS):
        started_at = time.process_time()
        step()
        times.append(time.process_time() - started_at)
    return min(times)


def create_rates(upstreams: int) -> rates.KeyRates:
    """Return the key rates of random traffic at half of the capacity."""
    rng = random.Random(1)
    key_rates = rates.KeyRates()
    counts: dict[int, int] = {}
    for _ in range(int(upstreams * CAPACITY_PER_S / 2)):
        bucket = rng.randrange(rates.BUCKET_COUNT)
        counts[bucket] = counts.get(bucket, 0) + 1
    key_rates.add(counts)
    key_rates.decay(0.25)
    return key_rates


def create_holdings(upstreams: int) -> holdings.Holdings:
    """Return ranges of equal width, assigned to the upstreams in turn."""
    holdings_ = holdings.Holdings('s')
    count = upstreams * RANGES_PER_UPSTREAM
    width = max(rates.BUCKET_KEYS, model.KEY_COUNT // count)
    for number in range(model.KEY_COUNT // width):
        holding = holdings_.split(number * width, (number + 1) * width - 1)
        holding.upstream = f'u{number % upstreams}'
        holding.confirmed = True
        holding.fence = number + 1
        holding.needs_token = False
    return holdings_


def measure_planning(upstreams: int) -> list[tuple[str, float]]:
    """Return the costs of a coordinator's periodic steps, ms of CPU time."""
    key_rates = create_rates(upstreams)
    holdings_ = create_holdings(upstreams)
    inputs = planning.Inputs(
        {f'u{number}': CAPACITY_PER_S for number in range(upstreams)},
        key_rates,
    )
    return [
        (
            'rates, each 0.25 s',
            measure_cpu_s(lambda: key_rates.decay(1.0)) * 1000,
        ),
        (
            'plan, each 0.25 s',
            measure_cpu_s(
                lambda: planning.rebalance(holdings_.items, inputs, 99.0)
            )
            * 1000,
        ),
        (
            'merge, each 0.1 s',
            measure_cpu_s(lambda: holdings_.merge(99.0)) * 1000,
        ),
    ]


def create_reports(
    instances: int, names: list[str], per_s: int, rng: random.Random
) -> list[load.Samples]:
    """Return what each instance reports of the upstreams in one period."""
    reports: list[load.Samples] = [{} for _ in range(instances)]
    for _ in range(int(per_s * REPORT_PERIOD_S)):
        sample = load.Sample(
            1, rng.randrange(200, 600), rng.randrange(3, 9), 6, 100
        )
        rng.choice(reports)[rng.choice(names)] = sample
    return reports


def measure_limits(
    instances: int, upstreams: int, per_s: int
) -> list[tuple[str, float]]:
    """Return the mean costs of limits in one period, ms, and bytes."""
    rng = random.Random(1)
    names = [f'i-{number:010x}' for number in range(upstreams)]
    address = model.Address('10.200.1.7', 8541)
    limits = concurrency.Limits()
    limits.list_upstreams(
        {
            name: model.Upstream(name, address, 's', 'a', 6, False, 0.0, 1)
            for name in names
        }
    )
    told = announcements.Announcements()
    spent = dict.fromkeys(('merge', 'learn', 'announce', 'bytes'), 0.0)
    for number in range(LIMIT_PERIODS):
        now = number * REPORT_PERIOD_S
        reports = create_reports(instances, names, per_s, rng)
        begun_at = time.process_time()
        for instance, samples in enumerate(reports):
            limits.add_report(f'r{instance}', samples, {}, False, now)
        merged_at = time.process_time()
        limits.learn(now)
        learned_at = time.process_time()
        changes = told.changes(limits, instances, now)
        raw = messages.pack_conditions(changes, now)
        spent['announce'] += time.process_time() - learned_at
        spent['learn'] += learned_at - merged_at
        spent['merge'] += merged_at - begun_at
        spent['bytes'] += len(raw) / 1000
    return [
        (name, 1000 * total / LIMIT_PERIODS) for name, total in spent.items()
    ]


def measure_logging() -> list[tuple[str, float]]:
    """Return the costs of a request's log line, ms of CPU time."""
    logs.configure('costs', os.open(os.devnull, os.O_WRONLY))

    def log_requests() -> None:
        _log_requests(LOG_LINES)

    costs = []
    for name, limit in (
        ('log line of a request, written', 10**9),
        ('log line of a request, left out', 0),
    ):
        with mock.patch.dict(
            logs.MAX_LINES_PER_S_BY_EVENT, request_answered=limit
        ):
            costs.append(
                (name, measure_cpu_s(log_requests) * 1000 / LOG_LINES)
            )
    return costs


def _log_requests(count: int) -> None:
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


def measure_sizes() -> list[tuple[str, int]]:
    """Return the sizes of messages on the wire, bytes."""
    heartbeat = messages.Heartbeat(
        9, [], [], False, {'keyed.servers': 0.2}, 99.0
    )
    wire_range = (4096, 8191, 'i-7f3a91c2', '10.200.1.7', 8541)
    change = messages.TableChange('troupeau-view', 5, 7, [wire_range])
    report = messages.Report(
        {'s': {77: 1}}, {'i-7f3a91c2': (1, 0.1)}, 9, 0.2, 4
    )
    record = messages.Records('t', False, [(9, 'i-7f3a91c2', b'x' * 280)])
    return [
        ('heartbeat', len(messages.encode(heartbeat))),
        ('change of one range', len(messages.encode(change))),
        ('report of one request', len(messages.encode(report))),
        ('record of an upstream', len(messages.encode(record))),
    ]


def main() -> None:
    """Print all costs and sizes."""
    for upstreams in UPSTREAM_COUNTS:
        for name, cost_ms in measure_planning(upstreams):
            print(f'{upstreams:4} upstreams  {name:20} {cost_ms:8.2f} ms')
    for instances, upstreams, per_s in FLEETS:
        for name, cost in measure_limits(instances, upstreams, per_s):
            print(
                f'{instances} instances, {upstreams} upstreams, limits each'
                f' 0.3 s: {name:8} {cost:8.2f}'
                f' {"bytes" if name == "bytes" else "ms"}'
            )
    for name, cost_ms in measure_logging():
        print(f'{name:37} {cost_ms:10.4f} ms')
    for name, size in measure_sizes():
        print(f'{name:25} {size:5} bytes')


if __name__ == '__main__':
    main()
