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
from knapweedhall_bench import deployment
from knapweedhall_bench import judge
from knapweedhall_bench import scene

SPEC = deployment.Spec(
    3, {scene.DIVIDED: 6, scene.CHOICE: 3}, (scene.DIVIDED,)
)
# Kept well below what a busy machine with few cores can carry.
RATE = 120.0
# The brief's target for a key that lost its owner, and what the grants'
# length allows at best (docs/platform-design.md, answer 8).
SERVED_AGAIN_TARGET_S = 2.0
LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3


class Outcome(typing.NamedTuple):
    """What came of a demonstration."""

    told: list[callers.Told]
    violations: list[judge.Violation]
    killed: str
    unserved_s: float


def unserved_s(told: typing.Sequence[callers.Told]) -> float:
    """Return the time from the first to the last refusal of a key."""
    refused = [
        one.sent_at
        for one in told
        if one.key is not None and one.status != 200
    ]
    return max(refused) - min(refused) if refused else 0.0


async def run(
    seconds: float, seed: int, folder: pathlib.Path | None
) -> Outcome:
    """Run the demonstration.

    Raises
    ------
    deployment.StartFailed
        If the deployment does not begin to serve.
    """
    rng = random.Random(seed)
    async with deployment.Deployment(SPEC, folder) as running:
        stage = scene.Scene(running, rng)
        await stage.configure()
        missing = await stage.until_served()
        if missing:
            raise deployment.StartFailed(f'not served: {missing}')
        print(f'every key is served; traffic for {seconds:g} s', flush=True)
        stage.callers.told.clear()
        stop = asyncio.Event()
        traffic = asyncio.create_task(stage.callers.run(RATE, stop))
        await asyncio.sleep(seconds / 4)
        killed = rng.choice(
            [n for n, s in running.services.items() if s == scene.DIVIDED]
        )
        running.upstreams[killed].child.kill()
        await asyncio.sleep(seconds * 3 / 4)
        stop.set()
        await traffic
        told = stage.callers.told
        found = judge.read(stage.folder, running.upstreams)
        return Outcome(
            told, judge.judge(told, found), killed, unserved_s(told)
        )


def table(outcome: Outcome) -> str:
    """Return the figures."""
    latencies = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for one in outcome.told:
        if one.status == 200:
            latencies.record_value(int((one.ended_at - one.sent_at) * 1e6))
    counts = collections.Counter(one.status for one in outcome.told)
    rows = [
        ('requests', len(outcome.told)),
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
    """Run the command; the status is 1 if a promise was broken."""
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
    print(table(outcome))
    for violation in outcome.violations:
        print(f'BROKEN {violation.promise}: {violation.evidence}')
    return 1 if outcome.violations else 0


if __name__ == '__main__':
    sys.exit(main())
