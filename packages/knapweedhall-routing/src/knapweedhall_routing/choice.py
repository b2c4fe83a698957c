"""Choice of an upstream for services whose upstreams are interchangeable."""

from __future__ import annotations

import heapq
import math
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
# response is still expected in time, others if an upstream has a free slot.
LARGE_BODY_BYTES = 16384
# Share of the time left to the latency objective within which a local
# upstream must be expected to respond; the rest allows for the variation of
# service times.
LOCAL_TIME_SHARE = 0.6
# Costs that differ by less count as equal, as the measurements are less exact.
# Among a few local upstreams, the best one would otherwise get all requests
# until its next load report.
EQUAL_COST_FACTOR = 1.05
# Least weight of an upstream without room among those compared. All
# instances know of the same room, which some of them are just using up.
MIN_ROOM = 0.1
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
    room : float
        How many more requests it can take over all instances; inf if it is
        not near its limit.
    latency_s : float or None
        Expected latency by shared measurements, seconds; None if there are
        none.
    """

    upstream: model.Upstream
    health: health_module.Health
    connected: bool = False
    room: float = math.inf
    latency_s: float | None = None

    def has_room(self, now: float) -> bool:
        """Return whether another request is not expected to wait there."""
        if math.isinf(self.room):
            return self.health.has_free_slot(now)
        return self.room >= 1


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
    cost = candidate.latency_s
    if cost is None:
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
    there are no others. A request stays in the instance's failure domain if an
    upstream there has room and is expected to respond in time; one with a
    large body also if it has to wait for a slot. Otherwise upstreams with room
    are compared, the more often the more room they have.
    """
    reachable = [
        candidate
        for candidate in candidates
        if candidate.health.connect_blocked_until <= now
    ]
    pool = reachable or list(candidates)
    local = _local_in_time(pool, now, preference)
    if preference.body_bytes < LARGE_BODY_BYTES:
        local = [each for each in local if each.has_room(now)]
    pool = local or [each for each in pool if each.room >= 1] or pool
    if not pool:
        return None
    size = SAMPLE_SIZE
    if local:
        # All instances of the failure domain have the same few candidates.
        size = min(size, (len(local) + 1) // 2)
    compared = _sample(pool, size, rng)
    compared += _sample(
        [candidate for candidate in pool if candidate.connected], size, rng
    )
    costs = [score(each, now, preference.failure_domain) for each in compared]
    limit = min(costs) * EQUAL_COST_FACTOR
    return rng.choice(
        [each for each, cost in zip(compared, costs) if cost <= limit]
    )


def _sample(
    pool: typing.Sequence[Candidate], size: int, rng: random.Random
) -> list[Candidate]:
    """Return random candidates; those with more room are more likely."""
    if all(math.isinf(candidate.room) for candidate in pool):
        return rng.sample(pool, min(size, len(pool)))
    ranks = []
    for number, candidate in enumerate(pool):
        room = min(candidate.room, candidate.health.slots)
        # Weighted sampling without replacement (Efraimidis and Spirakis).
        rank = rng.random() ** (1 / max(MIN_ROOM, room))
        ranks.append((rank, number))
    return [pool[number] for _, number in heapq.nlargest(size, ranks)]


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
