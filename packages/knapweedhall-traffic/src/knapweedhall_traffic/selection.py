"""Choice of an upstream for services whose upstreams are all alike."""

from __future__ import annotations

import random
import statistics
import typing

# After this time without an answer half of an upstream's own score has
# given way to the median of the others, so that a slow upstream is tried
# again after it recovered.
DECAY_HALF_LIFE_S = 2.0
# Score of an upstream without any answer: lower than all measured ones, so
# that it is tried soon.
UNMEASURED_S = 0.0001


class Candidate(typing.NamedTuple):
    """An upstream that may be sent the request.

    Attributes
    ----------
    outstanding : int
        Own requests outstanding there.
    slots : int
        Own requests allowed at the same time.
    latency : float
        Smoothed latency of its answers, seconds; 0 without any.
    answered_at : float
        When its last answer arrived, seconds.
    """

    outstanding: int
    slots: int
    latency: float = 0.0
    answered_at: float = 0.0


Rule = typing.Callable[[typing.Sequence[Candidate], float, random.Random], int]


def uniform(
    candidates: typing.Sequence[Candidate], now: float, rng: random.Random
) -> int:
    """Choose at random."""
    return rng.randrange(len(candidates))


def _two(count: int, rng: random.Random) -> tuple[int, int]:
    first = rng.randrange(count)
    second = rng.randrange(count - 1)
    return first, second + (second >= first)


def least_of_two(
    candidates: typing.Sequence[Candidate], now: float, rng: random.Random
) -> int:
    """Choose the less loaded of two random ones, by own requests per slot."""
    if len(candidates) == 1:
        return 0
    first, second = _two(len(candidates), rng)
    one, other = candidates[first], candidates[second]
    # Compared as products, since slots may be 0.
    if one.outstanding * other.slots <= other.outstanding * one.slots:
        return first
    return second


def smoothed_latency(
    candidates: typing.Sequence[Candidate], now: float, rng: random.Random
) -> int:
    """Choose the lowest smoothed latency times queue length."""
    scores = [
        (one.latency or UNMEASURED_S) * (one.outstanding + 1)
        for one in candidates
    ]
    return _lowest(scores, rng)


def decaying_score(
    candidates: typing.Sequence[Candidate], now: float, rng: random.Random
) -> int:
    """Choose the lowest score that decays towards the others' median.

    The score is the smoothed latency of own answers times (outstanding +
    1). While an upstream sends no answers its latency decays towards the
    median of the others, so old measurements neither ban nor favour it.
    """
    known = [one.latency for one in candidates if one.latency]
    middle = statistics.median(known) if known else UNMEASURED_S
    scores = []
    for one in candidates:
        age = max(0.0, now - one.answered_at)
        weight = 0.5 ** (age / DECAY_HALF_LIFE_S) if one.latency else 0.0
        latency = weight * one.latency + (1 - weight) * middle
        scores.append(latency * (one.outstanding + 1))
    return _lowest(scores, rng)


def _lowest(scores: typing.Sequence[float], rng: random.Random) -> int:
    best = min(scores)
    equal = [place for place, score in enumerate(scores) if score == best]
    return equal[0] if len(equal) == 1 else rng.choice(equal)


RULES: dict[str, Rule] = {
    'random': uniform,
    'least_of_two': least_of_two,
    'smoothed_latency': smoothed_latency,
    'decaying_score': decaying_score,
}


def choose(
    rule: str,
    candidates: typing.Sequence[Candidate],
    now: float,
    rng: random.Random,
) -> int:
    """Return the position of the chosen candidate.

    Candidates with a free slot come before all others, whatever the rule
    says. Those without any slot come last, as a request sent to one of them
    waits until the shares are divided anew.

    Parameters
    ----------
    rule : str
        Name in `RULES`.
    candidates : sequence of Candidate
        At least one.
    now : float
        Own clock in seconds.
    rng : random.Random
        Source of random numbers.
    """
    free = [
        place
        for place, one in enumerate(candidates)
        if one.outstanding < one.slots
    ]
    usable = [place for place, one in enumerate(candidates) if one.slots]
    places = free or usable or range(len(candidates))
    chosen = RULES[rule]([candidates[place] for place in places], now, rng)
    return places[chosen]
