"""Choice of an upstream for services whose upstreams are all alike."""

from __future__ import annotations

import random
import typing

from knapweedhall_routing import health as health_module
from knapweedhall_routing import model

# Upstreams compared for one request, and those besides that an idle connection
# leads to. All instances that pick the best of all by the same stale reports
# would send their bursts to the same one.
COMPARED = 4
# Expected time of an upstream without an idle connection counts this much
# more: a new one takes a round trip, may hold a slot, and is reset by an
# upstream that has too many of them.
CONNECT_FACTOR = 1.15
# Expected time of an upstream in another failure domain counts this much
# more, as bytes between failure domains are priced.
REMOTE_FACTOR = 1.1
# Bodies of this size stay in the failure domain where that costs no delay.
LARGE_BODY_BYTES = 16384
# Part of the objective within which the answer is expected then; the rest is
# for the spread of work times.
LOCAL_TIME_SHARE = 0.6
# A failing answer costs the caller a repeat; its weight in expected times.
FAILURE_WEIGHT = 6.0
# Expected time of an upstream that seems silent counts this much more.
SILENT_WEIGHT = 20.0


class Candidate(typing.NamedTuple):
    """An upstream and what was measured of it.

    Attributes
    ----------
    connected : bool
        Whether an idle connection can take the request.
    """

    upstream: model.Upstream
    health: health_module.Health
    connected: bool = False


class Preference(typing.NamedTuple):
    """What a request asks of an upstream.

    Attributes
    ----------
    domain : str
        Failure domain of the instance.
    body_bytes : int
        Size of its body.
    objective_at : float
        End of its latency objective, seconds.
    """

    domain: str
    body_bytes: int
    objective_at: float


def score(candidate: Candidate, now: float, own_domain: str) -> float:
    """Return the expected cost of sending a request there, in seconds."""
    found = candidate.health
    cost = found.expected_latency_s(now)
    cost *= 1 + FAILURE_WEIGHT * found.failure_share(now)
    if candidate.upstream.failure_domain != own_domain:
        cost *= REMOTE_FACTOR
    if not candidate.connected:
        cost *= CONNECT_FACTOR
    if found.is_silent(now):
        cost *= SILENT_WEIGHT
    return cost


def choose(
    candidates: typing.Sequence[Candidate],
    now: float,
    preference: Preference,
    rng: random.Random,
) -> Candidate | None:
    """Return the best of a few random candidates, or None without any.

    Candidates that refuse connections come last. A large body stays in the
    own failure domain if it is answered in time there.
    """
    reachable = [one for one in candidates if one.health.blocked_until <= now]
    pool = reachable or list(candidates)
    if preference.body_bytes >= LARGE_BODY_BYTES:
        pool = _near(pool, now, preference) or pool
    if not pool:
        return None
    compared = _sample(pool, rng)
    compared += _sample([one for one in pool if one.connected], rng)
    return min(compared, key=lambda one: score(one, now, preference.domain))


def _sample(
    pool: typing.Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    return rng.sample(pool, min(COMPARED, len(pool)))


def _near(
    pool: typing.Sequence[Candidate], now: float, preference: Preference
) -> list[Candidate]:
    left = (preference.objective_at - now) * LOCAL_TIME_SHARE
    return [
        one
        for one in pool
        if one.upstream.failure_domain == preference.domain
        and score(one, now, preference.domain) <= left
    ]
