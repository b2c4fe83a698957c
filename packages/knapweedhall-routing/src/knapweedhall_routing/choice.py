"""Choice of an upstream for services whose upstreams are interchangeable."""

from __future__ import annotations

import random
import typing

from knapweedhall_routing import health as health_module
from knapweedhall_routing import model

# Number of random upstreams compared for one request, and of random upstreams
# with an idle connection compared in addition. Instances that each chose the
# best of all upstreams from the same outdated reports would send their bursts
# to the same one.
SAMPLE_SIZE = 4
# Cost factor of an upstream without an idle connection: a new connection
# takes a round trip, may occupy a slot, and is reset by an upstream that has
# too many of them.
CONNECT_COST_FACTOR = 1.15
# Cost factor of an upstream in another failure domain: traffic between
# failure domains is paid for.
REMOTE_COST_FACTOR = 1.1
# Request bodies of at least this size stay in the failure domain if the
# response is still expected in time.
LARGE_BODY_BYTES = 16384
# Share of the time left to the latency objective within which a local
# upstream must be expected to respond; the rest allows for the variation of
# service times.
LOCAL_TIME_SHARE = 0.6
# Weight of the share of failed requests in the cost: the caller has to retry a
# request that fails.
FAILURE_WEIGHT = 6.0
# Cost factor of an upstream that is silent (see `health.Health.is_silent`).
SILENT_COST_FACTOR = 20.0


class Candidate(typing.NamedTuple):
    """An upstream and its measurements.

    Attributes
    ----------
    connected : bool
        Whether an idle connection can carry the request.
    """

    upstream: model.Upstream
    health: health_module.Health
    connected: bool = False


class Preference(typing.NamedTuple):
    """Properties of a request that affect the choice of its upstream.

    Attributes
    ----------
    failure_domain : str
        Failure domain of the instance.
    body_bytes : int
        Size of the request's body.
    objective_at : float
        Time by which the caller should have the response, seconds.
    """

    failure_domain: str
    body_bytes: int
    objective_at: float


def score(candidate: Candidate, now: float, own_failure_domain: str) -> float:
    """Return the expected cost of sending a request there, in seconds."""
    health = candidate.health
    cost = health.expected_latency_s(now)
    cost *= 1 + FAILURE_WEIGHT * health.failure_share(now)
    if candidate.upstream.failure_domain != own_failure_domain:
        cost *= REMOTE_COST_FACTOR
    if not candidate.connected:
        cost *= CONNECT_COST_FACTOR
    if health.is_silent(now):
        cost *= SILENT_COST_FACTOR
    return cost


def choose(
    candidates: typing.Sequence[Candidate],
    now: float,
    preference: Preference,
    rng: random.Random,
) -> Candidate | None:
    """Return the best of a few random candidates; None if there are none.

    Candidates to which no connection could be made recently are used only if
    there are no others. A large body stays in the instance's failure domain
    if an upstream there is expected to respond in time.
    """
    reachable = [
        candidate
        for candidate in candidates
        if candidate.health.connect_blocked_until <= now
    ]
    pool = reachable or list(candidates)
    if preference.body_bytes >= LARGE_BODY_BYTES:
        pool = _local_in_time(pool, now, preference) or pool
    if not pool:
        return None
    compared = _sample(pool, rng)
    compared += _sample(
        [candidate for candidate in pool if candidate.connected], rng
    )
    return min(
        compared,
        key=lambda candidate: score(candidate, now, preference.failure_domain),
    )


def _sample(
    pool: typing.Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    return rng.sample(pool, min(SAMPLE_SIZE, len(pool)))


def _local_in_time(
    pool: typing.Sequence[Candidate], now: float, preference: Preference
) -> list[Candidate]:
    """Return the local candidates that are expected to respond in time."""
    max_cost = (preference.objective_at - now) * LOCAL_TIME_SHARE
    return [
        candidate
        for candidate in pool
        if candidate.upstream.failure_domain == preference.failure_domain
        and score(candidate, now, preference.failure_domain) <= max_cost
    ]
