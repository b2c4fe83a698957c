"""Demonstration: a small deployment loses an upstream under traffic."""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import typing

from knapweedhall_events import trace
from knapweedhall_replay import checker
from knapweedhall_replay import verdicts
import loguru

from knapweedhall_bench import deployment
from knapweedhall_bench import evidence
from knapweedhall_bench import load
from knapweedhall_bench import publishing
from knapweedhall_bench import results
from knapweedhall_bench import topology
from knapweedhall_bench import workload

SERVICE = 'ledger'
UPSTREAMS = 6
SLOTS = 4
CONNECTIONS = 130
SLICES = 64
KEYS = 120
# Kept well below what a busy machine with few cores can carry.
RATE = 150.0
# Time until every slice has an owner after the record was published.
SERVED_LIMIT_S = 30.0
RETRY_S = 0.2
# The target of the design page for a key that lost its owner.
UNSERVED_TARGET_MS = 2000


class Outcome(typing.NamedTuple):
    """Figures and evidence of a demonstration.

    `points` are the trace checker's verdicts on the ten points.
    """

    summary: results.Summary
    found: evidence.Evidence
    killed: str
    points: list[checker.Result]


def list_failures(outcome: Outcome) -> list[str]:
    """Return what the system must never do and did."""
    counts = outcome.summary.counts
    checks = (
        (outcome.summary.wrong, 'wrong answers'),
        (len(outcome.found.doubled), 'requests with doubled work'),
        (len(outcome.found.refused_but_run), 'requests refused but run'),
        (counts[results.BROKEN], 'requests with a broken exchange'),
        (counts[results.LOST], 'requests lost'),
    )
    failures = [f'{count} {text}' for count, text in checks if count]
    if not counts[results.ANSWERED]:
        failures.append('no request was answered')
    for point in outcome.points:
        if isinstance(point.verdict, verdicts.Broken):
            reasons = [each.reason for each in point.verdict.violations]
            failures.append(f'point {point.number}: {"; ".join(reasons)}')
    return failures


def format_table(outcome: Outcome) -> str:
    """Return the table of figures."""
    summary, found = outcome.summary, outcome.found
    rows = [
        ('requests', str(summary.requests)),
        *((name, str(count)) for name, count in summary.counts.items()),
        ('wrong answers', str(summary.wrong)),
        ('doubled work', str(len(found.doubled))),
        ('refused but run', str(len(found.refused_but_run))),
        ('idempotent work repeated', str(len(found.repeated))),
        ('p50', f'{summary.p50_ms:.1f} ms'),
        ('p99', f'{summary.p99_ms:.1f} ms'),
        (
            'longest time a key was unserved',
            f'{summary.longest_unserved_ms:.0f} ms '
            f'({summary.longest_unserved_key}; '
            f'target {UNSERVED_TARGET_MS} ms)',
        ),
        ('slices moved', f'{found.slices_moved} of {SLICES}'),
        ('upstream killed', outcome.killed),
        ('trace check', _count_verdicts(outcome.points)),
    ]
    width = max(len(name) for name, _ in rows)
    return '\n'.join(f'{name:<{width}}  {value}' for name, value in rows)


def _count_verdicts(points: typing.Sequence[checker.Result]) -> str:
    counts = collections.Counter(point.verdict.tag for point in points)
    return ', '.join(f'{counts[tag]} {tag}' for tag in sorted(counts))


def _probe_calls(attempt: int) -> list[workload.Call]:
    """Return one call per key that only reads."""
    mix = workload.Mix(SERVICE, RATE, 1, write_share=0)
    return [
        workload.Call(
            at_s=number / KEYS,
            request=f'probe-{attempt}-{number}',
            service=SERVICE,
            method='GET',
            path='/probe',
            key=f'key-{number}',
            body=b'',
            answer_bytes=mix.answer_bytes,
            timeout_ms=mix.timeout_ms,
            headers={},
        )
        for number in range(KEYS)
    ]


async def wait_served(
    targets: load.Targets, events: trace.TraceWriter, limit_s: float
) -> None:
    """Wait until every key is served.

    Raises
    ------
    deployment.StartFailed
        If this takes too long.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    for attempt in range(sys.maxsize):
        callers = load.LoadGenerator(targets, events)
        calls = await callers.run(_probe_calls(attempt))
        missing = [call for call in calls if call.outcome != results.ANSWERED]
        if not missing:
            return
        if loop.time() > deadline:
            raise deployment.StartFailed(
                f'{len(missing)} of {KEYS} keys are not served; '
                f'the last response is {missing[-1]}'
            )
        await asyncio.sleep(RETRY_S)


async def run_demo(
    size: topology.Topology,
    length_s: float,
    seed: int,
    folder: pathlib.Path | None = None,
    base_port: int = 0,
) -> Outcome:
    """Run the demonstration and return its figures."""
    task = asyncio.current_task()
    assert task is not None
    # Without a handler the signal would leave the folder behind.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with deployment.Deployment(
        size, base_port=base_port, folder=folder
    ) as running:
        print(f'started {len(running.children)} processes', flush=True)
        draft = publishing.service_draft(
            SERVICE,
            SLOTS,
            CONNECTIONS,
            slices=SLICES,
            checks_tokens=True,
        )
        print(await publishing.publish(running, draft), flush=True)
        return await _measure(running, length_s, random.Random(seed))


async def _measure(
    running: deployment.Deployment,
    length_s: float,
    random_numbers: random.Random,
) -> Outcome:
    addresses = [node.caller_address for node in running.entries.values()]
    targets = load.choose_among(addresses, random_numbers)
    events = trace.TraceWriter('callers', running.trace_path('callers'))
    await wait_served(targets, events, SERVED_LIMIT_S)
    print(f'every key is served; traffic for {length_s:g} s', flush=True)
    killed = random_numbers.choice(sorted(running.upstreams))
    loop = asyncio.get_running_loop()
    loop.call_later(length_s / 2, running.kill, killed)
    callers = load.LoadGenerator(targets, events, watch=True)
    mix = workload.Mix(SERVICE, RATE, length_s, keys=KEYS, skew=0.5)
    calls = await callers.run(workload.generate(mix, random_numbers))
    summary = results.summarize(calls, loop.time())
    events.close()
    traces = [trace.read_trace(path) for path in running.trace_paths()]
    found = evidence.examine(trace.merge(traces), calls)
    return Outcome(summary, found, killed, checker.check(traces))


def parse_arguments(
    arguments: typing.Sequence[str],
) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--base-port', type=int, default=0)
    parser.add_argument(
        '--folder',
        type=pathlib.Path,
        help='keep settings, traces and output here',
    )
    return parser.parse_args(arguments)


def main() -> int:
    """Run the command; the status is 1 if a guarantee was broken."""
    options = parse_arguments(sys.argv[1:])
    loguru.logger.remove()
    size = topology.Topology(
        (
            topology.ServiceSpec(
                SERVICE,
                UPSTREAMS,
                (
                    '--slots',
                    str(SLOTS),
                    '--connections',
                    str(CONNECTIONS),
                    '--checks-tokens',
                ),
            ),
        )
    )
    try:
        outcome = asyncio.run(
            run_demo(
                size,
                options.seconds,
                options.seed,
                options.folder,
                options.base_port,
            )
        )
    except (deployment.StartFailed, publishing.PublishFailed) as error:
        print(f'demo failed: {error}', file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        print('demo failed: stopped by a signal', file=sys.stderr)
        return 1
    print(format_table(outcome))
    failures = list_failures(outcome)
    for failure in failures:
        print(f'FAILED: {failure}')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
