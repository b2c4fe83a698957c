"""Demonstration: a small deployment loses an upstream under traffic."""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import typing

from hdrh import histogram

from knapweedhall_bench import callers
from knapweedhall_bench import checker
from knapweedhall_bench import deployment
from knapweedhall_bench import environment

SPEC = deployment.Spec(
    3,
    {environment.DIVIDED_SERVICE: 6, environment.CHOICE_SERVICE: 3},
    (environment.DIVIDED_SERVICE,),
)
# Well below the throughput of a busy machine with few cores.
REQUESTS_PER_S = 120.0
# Target for the time until a key that lost its owner is served again.
# docs/platform-design.md (answer 8) gives the minimum that the duration of
# grants allows.
SERVED_AGAIN_TARGET_S = 2.0
MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3


class Outcome(typing.NamedTuple):
    """Outcome of a demonstration.

    Attributes
    ----------
    results : list of callers.Result
        Results of all requests.
    violations : list of checker.Violation
        Broken invariants.
    killed : str
        Name of the upstream that was killed.
    unserved_s : float
        Time from the first to the last failed keyed request.
    """

    results: list[callers.Result]
    violations: list[checker.Violation]
    killed: str
    unserved_s: float


def measure_unserved_s(results: typing.Sequence[callers.Result]) -> float:
    """Return the time from the first to the last failed keyed request."""
    failed_at = [
        result.sent_at
        for result in results
        if result.key is not None and result.status != 200
    ]
    return max(failed_at) - min(failed_at) if failed_at else 0.0


async def run(
    duration_s: float, seed: int, folder: pathlib.Path | None
) -> Outcome:
    """Run the demonstration.

    Raises
    ------
    deployment.StartFailed
        If the deployment does not begin to serve.
    """
    rng = random.Random(seed)
    async with deployment.Deployment(SPEC, folder) as running:
        env = environment.Environment(running, rng)
        await env.configure()
        missing = await env.wait_until_served()
        if missing:
            raise deployment.StartFailed(f'not served: {missing}')
        print(f'every key is served; traffic for {duration_s:g} s', flush=True)
        env.callers.results.clear()
        stop = asyncio.Event()
        traffic = asyncio.create_task(env.callers.run(REQUESTS_PER_S, stop))
        await asyncio.sleep(duration_s / 4)
        killed = rng.choice(
            [
                name
                for name, service in running.upstream_services.items()
                if service == environment.DIVIDED_SERVICE
            ]
        )
        running.upstreams[killed].child.kill()
        await asyncio.sleep(duration_s * 3 / 4)
        stop.set()
        await traffic
        results = env.callers.results
        activity = checker.read_logs(env.folder, running.upstreams)
        return Outcome(
            results,
            checker.check(results, activity),
            killed,
            measure_unserved_s(results),
        )


def format_outcome(outcome: Outcome) -> str:
    """Return the counts, latencies and times as a table."""
    latencies = histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for result in outcome.results:
        if result.status == 200:
            latencies.record_value(
                int((result.ended_at - result.sent_at) * 1e6)
            )
    counts = collections.Counter(result.status for result in outcome.results)
    rows = [
        ('requests', len(outcome.results)),
        *((f'status {status}', counts[status]) for status in sorted(counts)),
        ('p50', f'{latencies.get_value_at_percentile(50) / 1000:.1f} ms'),
        ('p99', f'{latencies.get_value_at_percentile(99) / 1000:.1f} ms'),
        ('upstream killed', outcome.killed),
        (
            'keys refused for',
            f'{outcome.unserved_s:.1f} s (target {SERVED_AGAIN_TARGET_S} s)',
        ),
        ('broken promises', len(outcome.violations)),
    ]
    return '\n'.join(f'{name:<18}{value}' for name, value in rows)


def main() -> int:
    """Run the command; return 1 if an invariant was broken, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--folder', type=pathlib.Path, help='keep settings and logs here'
    )
    options = parser.parse_args()
    try:
        outcome = asyncio.run(
            run(options.seconds, options.seed, options.folder)
        )
    except deployment.StartFailed as error:
        print(f'demo failed: {error}', file=sys.stderr)
        return 1
    print(format_outcome(outcome))
    for violation in outcome.violations:
        print(f'BROKEN {violation.invariant}: {violation.evidence}')
    return 1 if outcome.violations else 0


if __name__ == '__main__':
    sys.exit(main())
