"""Generates random faults; the same seed gives the same faults."""

from __future__ import annotations

import random
import typing

from knapweedhall_standins import proxy

# Kinds of faults by target. Faults may begin at any time, overlap and repeat.
ROUTER_KINDS = ('kill', 'pause', 'stop', 'reload', 'store-link')
UPSTREAM_KINDS = ('kill', 'pause', 'drain', 'link')
STORE_KINDS = (
    'down',
    'lose-answers',
    'late-appends',
    'refuse',
    'forget',
    'slow',
    'deaf',
    'past',
)
# Kinds of responses that are wrong, or say something of their upstream.
RESPONSE_KINDS = ('leave', 'pause-asked', 'endless', 'second-copies')
LINK_MODES = tuple(mode for mode in proxy.Mode if mode is not proxy.Mode.PASS)
# Planned stops besides the other faults.
STOP_COUNT = 3
# Share of the series in which the store is restored.
RESTORE_SHARE = 0.5
MIN_DURATION_S, MAX_DURATION_S = 0.2, 6.0
# Series of faults of one kind, by the target and the kind of their parts. They
# follow each other faster than the deployment is ready again.
SERIES_KINDS = (
    ('coordinator', 'stop'),
    ('coordinator', 'pause'),
    ('router', 'stop'),
    ('reloads', 'reload'),
    ('operator', 'publish'),
    ('upstream', 'kill'),
    ('response', 'short-notice'),
    ('response', 'early-refusal'),
    ('response', 'early-answer'),
    ('response', 'forget-idle'),
    ('response', 'cut'),
    ('front', 'full-link'),
)
# Faults of the store that surround a part of a series.
BESIDE_KINDS = ('down', 'slow', 'refuse', 'deaf', 'lose-answers')
# Number of series in a run, and of the parts of each.
SERIES_COUNT = 3
MIN_SERIES_LENGTH, MAX_SERIES_LENGTH = 3, 6
MIN_GAP_S, MAX_GAP_S = 0.2, 2.0
MIN_PART_S, MAX_PART_S = 0.3, 3.0
# Share of the parts that a fault of the store surrounds, and the time by which
# it begins earlier and ends later at most.
BESIDE_SHARE = 0.5
MAX_MARGIN_S = 1.0


# Share of the runs in which several routers stop at the same moment, and what
# surrounds the stops: the time, and the target and the kind of each fault.
RELEASE_SHARE = 0.5
RELEASE_S = 4.0
RELEASE_KINDS = (
    ('fleet', 'stop'),
    ('reloads', 'reload'),
    ('front', 'full-link'),
    ('operator', 'publish'),
    ('operator', 'publish'),
    ('operator', 'publish'),
)
RELEASE_STORE_KINDS = ('down', 'slow', 'restore')


class Fault(typing.NamedTuple):
    """A fault.

    Attributes
    ----------
    at, until : float
        Start and end, seconds since the start of the series.
    target : str
        Type of component that it acts on: 'router', 'coordinator', 'fleet'
        (the coordinator and other routers), 'reloads' (all routers), 'front'
        (the link between callers and a router), 'upstream', 'response',
        'store' or 'operator'.
    kind : str
        Kind of the fault.
    pick : float
        Selects one of the present components, 0 to 1; for some kinds also the
        number of calls or of routers, or the kind of a link's fault.
    mode : proxy.Mode
        Mode of a link during the fault.
    """

    at: float
    until: float
    target: str
    kind: str
    pick: float
    mode: proxy.Mode


def generate(rng: random.Random, count: int, duration_s: float) -> list[Fault]:
    """Return random faults within a duration, ordered by their start."""
    faults = []
    for _ in range(count):
        target, kinds = rng.choice(
            (
                ('router', ROUTER_KINDS),
                ('upstream', UPSTREAM_KINDS),
                ('store', STORE_KINDS),
                ('operator', ('publish',)),
            )
        )
        at = rng.uniform(0.0, duration_s)
        fault_s = min(MAX_DURATION_S, MIN_DURATION_S + rng.expovariate(0.6))
        faults.append(
            Fault(
                at,
                min(duration_s, at + fault_s),
                target,
                rng.choice(kinds),
                rng.random(),
                rng.choice(LINK_MODES),
            )
        )
    return sorted(faults)


def generate_responses(
    rng: random.Random, count: int, duration_s: float
) -> list[Fault]:
    """Return random faults of responses within a duration.

    They are generated apart from the others, which stay the same for a seed.
    """
    faults = []
    for _ in range(count):
        at = rng.uniform(0.0, duration_s)
        fault_s = min(MAX_DURATION_S, MIN_DURATION_S + rng.expovariate(0.6))
        faults.append(
            Fault(
                at,
                min(duration_s, at + fault_s),
                'response',
                rng.choice(RESPONSE_KINDS),
                rng.random(),
                proxy.Mode.PASS,
            )
        )
    return sorted(faults)


def generate_stops(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return a series of planned stops, which may overlap."""
    times = (rng.uniform(0.0, duration_s) for _ in range(STOP_COUNT))
    return sorted(
        Fault(at, at, 'router', 'stop', rng.random(), proxy.Mode.PASS)
        for at in times
    )


def generate_restores(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return at most one restore of the store from an earlier copy."""
    if rng.random() >= RESTORE_SHARE:
        return []
    at = rng.uniform(0.0, duration_s)
    return [Fault(at, at, 'store', 'restore', rng.random(), proxy.Mode.PASS)]


def generate_series(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return series of faults, which overlap each other and faults beside.

    A series of upstreams' faults acts on the same one each time; stops and
    notices act on another one each time.
    """
    faults = []
    for _ in range(SERIES_COUNT):
        target, kind = rng.choice(SERIES_KINDS)
        at, pick = rng.uniform(0.0, duration_s), rng.random()
        for _ in range(rng.randint(MIN_SERIES_LENGTH, MAX_SERIES_LENGTH)):
            until = at + rng.uniform(MIN_PART_S, MAX_PART_S)
            if kind in ('stop', 'short-notice'):
                pick = rng.random()
            until = min(duration_s, until)
            faults.append(
                Fault(at, until, target, kind, pick, proxy.Mode.PASS)
            )
            if rng.random() < BESIDE_SHARE:
                faults.append(
                    Fault(
                        max(0.0, at - rng.uniform(0.0, MAX_MARGIN_S)),
                        min(
                            duration_s, until + rng.uniform(0.0, MAX_MARGIN_S)
                        ),
                        'store',
                        rng.choice(BESIDE_KINDS),
                        rng.random(),
                        rng.choice(LINK_MODES),
                    )
                )
            at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return sorted(fault for fault in faults if fault.at < duration_s)


def generate_release(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return stops of several routers at once and what surrounds them."""
    if rng.random() >= RELEASE_SHARE:
        return []
    at = rng.uniform(0.0, duration_s)
    faults = [Fault(at, at, *RELEASE_KINDS[0], rng.random(), proxy.Mode.PASS)]
    store_kind = ('store', rng.choice(RELEASE_STORE_KINDS))
    for target, kind in (*RELEASE_KINDS[1:], store_kind):
        begin = min(at + rng.uniform(0.0, RELEASE_S), duration_s)
        until = min(begin + rng.uniform(MIN_PART_S, MAX_PART_S), duration_s)
        pick = rng.random()
        faults.append(Fault(begin, until, target, kind, pick, proxy.Mode.PASS))
    return sorted(faults)
