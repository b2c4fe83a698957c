"""Random series of faults; the same seed gives the same series."""

from __future__ import annotations

import random
import typing

from knapweedhall_standins import proxy

# Kinds by what they act on. Each may come at any moment, overlap and repeat.
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
LINK_MODES = tuple(mode for mode in proxy.Mode if mode is not proxy.Mode.PASS)
SHORTEST_S, LONGEST_S = 0.2, 6.0


class Fault(typing.NamedTuple):
    """One fault.

    Attributes
    ----------
    at, until : float
        Begin and end, seconds from the begin of the traffic.
    target : {'router', 'upstream', 'store', 'operator'}
        What it acts on.
    kind : str
        What happens.
    pick : float
        Chooses among the present targets, 0 to 1.
    mode : proxy.Mode
        What happens to a link.
    """

    at: float
    until: float
    target: str
    kind: str
    pick: float
    mode: proxy.Mode


def series(rng: random.Random, count: int, length_s: float) -> list[Fault]:
    """Return faults in the order of their begins."""
    found = []
    for _ in range(count):
        target, kinds = rng.choice(
            (
                ('router', ROUTER_KINDS),
                ('upstream', UPSTREAM_KINDS),
                ('store', STORE_KINDS),
                ('operator', ('publish',)),
            )
        )
        at = rng.uniform(0.0, length_s)
        lasts_s = min(LONGEST_S, SHORTEST_S + rng.expovariate(0.6))
        found.append(
            Fault(
                at,
                min(length_s, at + lasts_s),
                target,
                rng.choice(kinds),
                rng.random(),
                rng.choice(LINK_MODES),
            )
        )
    return sorted(found)
