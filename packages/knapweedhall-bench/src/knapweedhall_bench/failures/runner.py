"""Runs one failure script under load and judges its traces."""

from __future__ import annotations

import asyncio
import pathlib
import random
import typing

from knapweedhall_bench import deployment
from knapweedhall_bench import evidence
from knapweedhall_bench.failures import scripts
from knapweedhall_bench.failures import stage
from knapweedhall_bench import load
from knapweedhall_bench import publishing
from knapweedhall_bench import results
from knapweedhall_bench import topology
from knapweedhall_bench import workload
from knapweedhall_events import trace
from knapweedhall_replay import checker

# Few keys at a high rate, so that the time between two calls of a key adds
# little to the time that it is seen as unserved.
KEYS = 12
SLICES = 32
RATE = 60.0
# Calls after the script has ended show that everything recovers.
TAIL_S = 2.0
MAX_LENGTH_S = 60.0
SLOTS = 4
CONNECTIONS = 130
SERVICES: dict[str, dict[str, typing.Any]] = {
    scripts.STAY: {
        'mode': 'divided',
        'slices': SLICES,
        'partition_mode': 'stay',
        'checks_tokens': True,
    },
    scripts.HANDOVER: {
        'mode': 'divided',
        'slices': SLICES,
        'partition_mode': 'handover',
        'checks_tokens': False,
    },
    scripts.CHOICE: {'mode': 'choice'},
}
UNCHECKED = frozenset({scripts.HANDOVER})
SIZE = topology.Topology(
    (
        topology.ServiceSpec(
            scripts.STAY, 6, ('--slots', '4', '--checks-tokens')
        ),
        topology.ServiceSpec(scripts.HANDOVER, 6, ('--slots', '4')),
        topology.ServiceSpec(scripts.CHOICE, 3, ('--slots', '4')),
    ),
    domains=3,
    entries_per_domain=3,
    relays=True,
)


class Report(typing.NamedTuple):
    """What one run showed.

    Attributes
    ----------
    name : str
        Name of the script.
    results : list of checker.Result
        Verdicts on the ten points.
    summaries : dict of str to results.Summary
        Figures per service and failure domain of the entry instance.
    appends : int
        Records that came into force during the script.
    slices_moved : int
        Activations of slices on another upstream than before.
    """

    name: str
    results: list[checker.Result]
    summaries: dict[str, results.Summary]
    appends: int
    slices_moved: int

    def broken(self) -> list[checker.Result]:
        """Return the points that the traces break."""
        return [each for each in self.results if each.verdict.tag == 'broken']


def _calls(
    seed: int, length_s: float, prefix: str
) -> typing.Iterator[workload.Call]:
    """Return the calls of all services in the order of their times."""
    calls: list[workload.Call] = []
    for name, body in SERVICES.items():
        divided = body['mode'] == 'divided'
        mix = workload.Mix(name, RATE, length_s, keys=KEYS if divided else 0)
        numbers = random.Random(f'{seed}-{name}')
        calls += workload.generate(mix, numbers, f'{prefix}-{name}')
    return iter(sorted(calls, key=lambda call: call.at_s))


async def _wait_served(scene: stage.Stage, events: trace.TraceWriter) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + stage.SETTLE_LIMIT_S
    attempt = 0
    while True:
        callers = load.LoadGenerator(scene.choose_target, events)
        finished = await callers.run(_calls(attempt, 1.0, f'probe{attempt}'))
        failed = [each for each in finished if each.status != 200]
        if not failed:
            return
        if loop.time() > deadline:
            raise deployment.StartFailed(f'not served: {failed[-1]}')
        attempt += 1


async def _run_until(
    scene: stage.Stage,
    events: trace.TraceWriter,
    script: typing.Callable[[stage.Stage], typing.Awaitable[None]],
    seed: int,
) -> list[results.Finished]:
    """Send calls until some time after the end of the script."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    ending: list[float] = []

    def calls() -> typing.Iterator[workload.Call]:
        for call in _calls(seed, MAX_LENGTH_S, 'r'):
            if ending and call.at_s > ending[0]:
                return
            yield call

    async def act() -> None:
        await script(scene)
        ending.append(loop.time() - start + TAIL_S)

    callers = load.LoadGenerator(scene.choose_target, events)
    acting = asyncio.create_task(act())
    finished = await callers.run(calls())
    await acting
    return finished


async def run(
    name: str, seed: int, folder: pathlib.Path | None = None
) -> Report:
    """Run one failure script.

    Parameters
    ----------
    name : str
        Name of the script in `scripts.ALL`.
    seed : int
        Seed of calls and choices.
    folder : pathlib.Path or None
        Keeps settings, traces and output; None for a temporary folder.

    Raises
    ------
    ValueError
        If the folder has traces of an earlier run, which would be judged
        together with the new ones.
    """
    if folder is not None and list(folder.glob('*.trace')):
        raise ValueError(f'{folder} has traces; name a new folder')
    async with deployment.Deployment(SIZE, folder=folder) as running:
        scene = stage.Stage(running, random.Random(seed))
        events = trace.TraceWriter('callers', running.trace_path('callers'))
        for service, body in SERVICES.items():
            draft = publishing.service_draft(
                service, SLOTS, CONNECTIONS, **body
            )
            await publishing.publish(running, draft)
        await _wait_served(scene, events)
        before = _count_records(running)
        finished = await _run_until(scene, events, scripts.ALL[name], seed)
        ended = asyncio.get_running_loop().time()
        appends = _count_records(running) - before
        events.close()
        await running.close_processes()
        traces = [trace.read_trace(path) for path in running.trace_paths()]
    found = evidence.examine(trace.merge(traces), finished)
    return Report(
        name,
        checker.check(traces, UNCHECKED),
        _summarize(finished, ended),
        appends,
        found.slices_moved,
    )


def _summarize(
    finished: typing.Sequence[results.Finished], ended_s: float
) -> dict[str, results.Summary]:
    """Return figures per service, and per failure domain that was called."""
    groups: dict[str, list[results.Finished]] = {}
    for each in finished:
        service = each.request.split('-')[1]
        domain = each.target.split('.')[2] if each.target else 'none'
        groups.setdefault(f'{service} all', []).append(each)
        groups.setdefault(f'{service} domain-{domain}', []).append(each)
    return {
        name: results.summarize(calls, ended_s)
        for name, calls in sorted(groups.items())
    }


def _count_records(running: deployment.Deployment) -> int:
    """Return the number of records in force, by the busiest trace."""
    return max(
        sum(event.number == 1100 for event in trace.read_trace(path))
        for path in running.trace_paths()
    )
