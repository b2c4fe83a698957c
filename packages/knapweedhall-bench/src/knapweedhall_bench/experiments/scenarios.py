"""Scenarios: the calls that are sent and the faults beside them."""

from __future__ import annotations

import asyncio
import random
import typing

from knapweedhall_bench.experiments import profiles
from knapweedhall_bench.failures import scripts
from knapweedhall_bench.failures import stage
from knapweedhall_bench import workload

# Rates in calls per second. All processes and the load generator share one
# machine of 10 cores, and not alone; each call costs about 2 ms of its
# processor time in all processes together.
DIVIDED_RATE = 60.0
CHOICE_RATE = 60.0
STRAGGLER_CHOICE_RATE = 110.0
HOT_RATE = 100.0
HOT_SHARE = 0.3
HOT_PERIOD_S = 4.0
OVERLOAD_FACTOR = 2.0
OVERLOAD_TIMEOUT_MS = 1000
# Shares of the calls by customer: the first asks for more than its part.
CUSTOMERS = {'greedy': 0.6, 'second': 0.2, 'third': 0.2}
STRAGGLERS = 3
STRAGGLER_SEED = 1
STRAGGLE_FACTOR = 10
STRAGGLE_MS = 2500
STRAGGLE_PERIOD_S = 5.0
COLD_MS = 3000
OUT_S = 8.0

Scene = stage.Stage
Calls = list[workload.Call]


class Scenario(typing.NamedTuple):
    """One scenario.

    Attributes
    ----------
    name : str
        Name; request ids begin with it.
    length_s : float
        Time during which calls are sent, seconds.
    calls : callable
        Returns the calls for a profile, a length and a seed.
    act : callable
        Faults beside the calls.
    watch : bool
        Whether failed calls are followed by reads of their keys.
    """

    name: str
    length_s: float
    calls: typing.Callable[[profiles.Profile, float, int], Calls]
    act: typing.Callable[
        [Scene, profiles.Profile], typing.Coroutine[None, None, None]
    ]
    watch: bool = True


def _mixes(
    seed: int, mixes: typing.Mapping[str, workload.Mix]
) -> typing.Iterator[workload.Call]:
    """Return the calls of several mixes; names become part of the ids."""
    for name, mix in mixes.items():
        numbers = random.Random(f'{seed}-{name}')
        yield from workload.generate(mix, numbers, f'{mix.service}/{name}')


def _ordered(calls: typing.Iterable[workload.Call]) -> Calls:
    return sorted(calls, key=lambda call: call.at_s)


def _all_services(
    profile: profiles.Profile, length_s: float, choice_rate: float
) -> dict[str, workload.Mix]:
    mixes = {
        name: workload.Mix(name, choice_rate, length_s, keys=0)
        for name in profile.choices
    }
    mixes[profile.divided] = workload.Mix(
        profile.divided, DIVIDED_RATE, length_s, keys=profiles.KEYS, skew=0.5
    )
    return mixes


def steady_calls(
    profile: profiles.Profile, length_s: float, seed: int
) -> Calls:
    """Return calls of all services at an even rate."""
    return _ordered(
        _mixes(seed, _all_services(profile, length_s, CHOICE_RATE))
    )


def choice_calls(
    profile: profiles.Profile, length_s: float, seed: int
) -> Calls:
    """Return calls of the `choice` services only."""
    mixes = _all_services(profile, length_s, STRAGGLER_CHOICE_RATE)
    del mixes[profile.divided]
    return _ordered(_mixes(seed, mixes))


def hot_calls(profile: profiles.Profile, length_s: float, seed: int) -> Calls:
    """Return calls of which a part goes to one key that changes."""
    name = profile.divided
    even = workload.Mix(
        name, HOT_RATE * (1 - HOT_SHARE), length_s, keys=profiles.KEYS
    )
    calls = list(_mixes(seed, {'even': even}))
    hot = workload.Mix(name, HOT_RATE * HOT_SHARE, HOT_PERIOD_S, keys=1)
    for period in range(int(length_s / HOT_PERIOD_S)):
        calls += (
            call._replace(
                key=f'hot-{period}', at_s=call.at_s + period * HOT_PERIOD_S
            )
            for call in _mixes(seed, {f'hot{period}': hot})
        )
    return _ordered(calls)


def overload_calls(
    profile: profiles.Profile, length_s: float, seed: int
) -> Calls:
    """Return twice the calls that the upstreams of a service can do."""
    name = profile.overloaded
    mixes = {}
    for customer, share in CUSTOMERS.items():
        mixes[customer] = workload.Mix(
            name,
            profiles.OVERLOAD_CAPACITY * OVERLOAD_FACTOR * share,
            length_s,
            keys=0,
            timeout_ms=OVERLOAD_TIMEOUT_MS,
            headers={profiles.CUSTOMER_HEADER: customer},
        )
    return _ordered(_mixes(seed, mixes))


async def _nothing(scene: Scene, profile: profiles.Profile) -> None:
    """Leave the deployment alone."""


async def _slow_three(scene: Scene, services: typing.Iterable[str]) -> None:
    """Slow three upstreams, others each time, until cancelled."""
    names = [name for each in services for name in scene.upstreams(each)]
    # The stage's numbers are used up by the load balancer, so with them each
    # policy would meet other stragglers.
    numbers = random.Random(STRAGGLER_SEED)
    while True:
        await asyncio.sleep((STRAGGLE_PERIOD_S - STRAGGLE_MS / 1000) / 2)
        for name in numbers.sample(names, STRAGGLERS):
            await scene.running.set_upstream_faults(
                name,
                straggle_factor=STRAGGLE_FACTOR,
                straggle_ms=STRAGGLE_MS,
            )
        await asyncio.sleep((STRAGGLE_PERIOD_S + STRAGGLE_MS / 1000) / 2)


async def _slow_owners(scene: Scene, profile: profiles.Profile) -> None:
    """Slow upstreams whose keys have no alternative."""
    await _slow_three(scene, [profile.divided])


async def _slow_choices(scene: Scene, profile: profiles.Profile) -> None:
    """Slow upstreams that have alternatives.

    Three of the 16 `choice` upstreams are a greater part than three of
    twenty.
    """
    await _slow_three(scene, profile.choices)


async def _turn_cold(scene: Scene, profile: profiles.Profile) -> None:
    """Turn one upstream of each service cold without telling."""
    await asyncio.sleep(1)
    for service in (profile.divided, profile.choices[0]):
        await scene.running.set_upstream_faults(
            scene.upstreams(service)[0], cold_ms=COLD_MS, silent=True
        )


async def _domain_out(scene: Scene, profile: profiles.Profile) -> None:
    """Take a failure domain out by a mark, and bring it back."""
    await asyncio.sleep(1)
    await scene.publish(scripts.mark('domain/domain-1', 'out'))
    await asyncio.sleep(OUT_S)
    await scene.publish(scripts.mark('domain/domain-1', 'in'))


async def _replace_entry(scene: Scene, profile: profiles.Profile) -> None:
    """Stop an instance as planned and start it again."""
    await asyncio.sleep(1)
    name = scene.entries(1)[0]
    ending = asyncio.create_task(scene.running.terminate(name))
    # The load balancer notices the readiness within this time.
    await asyncio.sleep(0.1)
    scene.unbalance(name)
    await ending
    scene.running.start_child(name)
    await scene.running.wait_ready(name)
    scene.balance(name)


async def _log_down(scene: Scene, profile: profiles.Profile) -> None:
    """Take the log and the instance list down, longer than any lease."""
    await asyncio.sleep(1)
    await scene.running.set_platform_faults(down=True, list_down=True)
    await asyncio.sleep(4)
    await scene.running.set_platform_faults()


FULL = (
    Scenario('steady', 8, steady_calls, _nothing),
    Scenario('stragglers', 10, steady_calls, _slow_owners),
    Scenario('hot-keys', 12, hot_calls, _nothing),
    Scenario('cold-start', 6, steady_calls, _turn_cold),
    Scenario('entry-replaced', 9, steady_calls, _replace_entry),
    Scenario('log-down', 7, steady_calls, _log_down),
    Scenario('overload', 6, overload_calls, _nothing, watch=False),
    Scenario('domain-out', 16, steady_calls, _domain_out),
)
# Run once for each policy, on the upstreams of the `choice` services only.
POLICY = (
    Scenario('choice-steady', 6, choice_calls, _nothing),
    Scenario('choice-stragglers', 10, choice_calls, _slow_choices),
)
ALL = {scenario.name: scenario for scenario in (*FULL, *POLICY)}
