"""Runs scenarios one after the other on one deployment."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import typing

from knapweedhall_bench import deployment
from knapweedhall_bench.experiments import profiles
from knapweedhall_bench.experiments import scenarios
from knapweedhall_bench.failures import stage
from knapweedhall_bench import load
from knapweedhall_bench import publishing
from knapweedhall_bench import results
from knapweedhall_events import trace

# Between scenarios leases, permits and smoothed values settle.
SETTLE_S = 1.5
SERVED_LIMIT_S = 45.0
# The outstanding calls of a scenario end at most this much later.
GRACE_S = 1.0


class Played(typing.NamedTuple):
    """What one scenario sent, and when on the monotonic clock."""

    scenario: scenarios.Scenario
    start_s: float
    end_s: float
    calls: list[results.Finished]


class Session(typing.NamedTuple):
    """Scenarios that ran on one deployment, and its merged traces.

    `domains` gives the failure domain of each upstream.
    """

    profile: profiles.Profile
    policy: str
    domains: dict[str, int]
    played: list[Played]
    events: list[trace.Event]


async def _wait_served(
    scene: stage.Stage, events: trace.TraceWriter, calls: scenarios.Calls
) -> None:
    """Send rounds of calls until a round is answered completely."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + SERVED_LIMIT_S
    attempt = 0
    while True:
        attempt += 1
        round_ = [
            call._replace(request=f'probe/{attempt}/{call.request}')
            for call in calls
        ]
        callers = load.LoadGenerator(scene.choose_target, events)
        finished = await callers.run(round_)
        failed = [
            each for each in finished if each.outcome != results.ANSWERED
        ]
        if not failed:
            return
        if loop.time() > deadline:
            raise deployment.StartFailed(f'not served: {failed[-1]}')


async def play(
    scene: stage.Stage,
    profile: profiles.Profile,
    scenario: scenarios.Scenario,
    events: trace.TraceWriter,
    seed: int,
) -> Played:
    """Send the calls of a scenario beside its faults."""
    calls = [
        call._replace(request=f'{scenario.name}/{call.request}')
        for call in scenario.calls(profile, scenario.length_s, seed)
    ]
    loop = asyncio.get_running_loop()
    callers = load.LoadGenerator(
        scene.choose_target, events, watch=scenario.watch
    )
    start_s = loop.time()
    acting = asyncio.create_task(scenario.act(scene, profile))
    try:
        finished = await callers.run(calls)
        end_s = loop.time()
        if acting.done():
            acting.result()
    finally:
        acting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await acting
    await asyncio.sleep(SETTLE_S)
    return Played(scenario, start_s, end_s, finished)


async def run(
    profile: profiles.Profile,
    chosen: typing.Sequence[scenarios.Scenario],
    policy: str,
    seed: int,
    with_divided: bool,
    folder: pathlib.Path | None = None,
) -> Session:
    """Start a deployment, run scenarios on it and read its traces.

    Parameters
    ----------
    profile : profiles.Profile
        Deployment.
    chosen : sequence of scenarios.Scenario
        Scenarios, in this order.
    policy : str
        Rule that chooses upstreams of `choice` services.
    seed : int
        Seed of calls and choices.
    with_divided : bool
        Whether the divided service takes part.
    folder : pathlib.Path or None
        Keeps settings, traces and output; None for a temporary folder.
    """
    size = profile.topology(with_divided)
    played: list[Played] = []
    async with deployment.Deployment(
        size, folder=folder, log_level='WARNING', choice_policy=policy
    ) as running:
        scene = stage.Stage(running, random.Random(seed))
        events = trace.TraceWriter('callers', running.trace_path('callers'))
        for spec in size.services:
            draft = {
                'kind': 'service',
                'schema': 2,
                'name': spec.name,
                'body': profile.service_body(spec.name),
            }
            await publishing.publish(running, draft)
        probe = chosen[0].calls(profile, 2.0, seed)
        await _wait_served(scene, events, probe)
        for scenario in chosen:
            played.append(await play(scene, profile, scenario, events, seed))
        events.close()
        await running.close_processes()
        merged = trace.merge(
            trace.read_trace(path) for path in running.trace_paths()
        )
    domains = {node.name: node.domain for node in running.upstreams.values()}
    return Session(profile, policy, domains, played, merged)
