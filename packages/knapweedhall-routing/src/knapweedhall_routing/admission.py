"""Decides whether a request is sent or refused, and how long it may wait."""

from __future__ import annotations

import dataclasses
import random
import typing

from knapweedhall_routing import model

# Share of the latency objective that a request waits for its key to get a new
# owner; moving a range takes about as long as processing one request.
OWNER_WAIT_SHARE = 0.6
# Time limit of a move (release, write to the store, grant) if service times
# are short. If keys have no owner for longer, their owner was lost.
MIN_MOVE_LIMIT_S = 0.5
# Share of its remaining time up to which a caller honors Retry-After (platform
# protocol, Answers).
RETRY_AFTER_SHARE = 1 / 3
# Shortest Retry-After: the round trip time to a caller.
MIN_RETRY_AFTER_S = 0.02
# Share of an upstream's connections that all instances may use together; the
# rest is reserved for health checks, grants, releases and instances that
# start or stop.
CONNECTION_SHARE = 0.75
# Reason of a refusal as the response would come after the deadline.
NO_TIME = 'no-time'


@dataclasses.dataclass(frozen=True)
class Send:
    """The request is sent now."""


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The request is refused and has not run.

    Attributes
    ----------
    reason : str
        Reason for the log.
    retry_after_s : float
        Time after which the caller should retry, seconds.
    """

    reason: str
    retry_after_s: float


class Estimate(typing.NamedTuple):
    """Expectations for a request at the upstream chosen for it.

    Attributes
    ----------
    now, deadline : float
        Current time, and time at which the caller stops waiting, seconds.
    expected_latency_s : float
        Expected time until the response.
    outstanding, max_outstanding : int
        Requests of this instance to the upstream that have not ended, and the
        number of connections that this instance may use for them.
    over_cold_budget : bool
        Whether the upstream is in its cold start and this instance has used
        up its budget of requests to it.
    """

    now: float
    deadline: float
    expected_latency_s: float
    outstanding: int
    max_outstanding: int
    over_cold_budget: bool


def move_deadline(ownerless_since: float, objective_s: float) -> float:
    """Return until when keys without an owner are assumed to be moving.

    A release waits until running requests have ended. That takes longer the
    longer the callers of the service are prepared to wait.
    """
    return ownerless_since + max(
        MIN_MOVE_LIMIT_S, OWNER_WAIT_SHARE * objective_s
    )


def decide(estimate: Estimate, rng: random.Random) -> Send | Refuse:
    """Decide whether a request is sent or refused at once.

    A request that can't be completed in time would only delay those that can.
    """
    left_s = estimate.deadline - estimate.now
    if estimate.over_cold_budget:
        return Refuse('cold', retry_after(left_s, left_s, rng))
    if estimate.outstanding >= estimate.max_outstanding:
        return Refuse(
            'connections',
            retry_after(estimate.expected_latency_s, left_s, rng),
        )
    if estimate.expected_latency_s > left_s:
        return Refuse(
            NO_TIME, retry_after(estimate.expected_latency_s, left_s, rng)
        )
    return Send()


def is_spurious_refusal(report: model.LoadReport | None) -> bool:
    """Return whether a refusal contradicts the load reported with it.

    An upstream that refuses some requests although it has a free slot may
    accept the same request at once.
    """
    return report is not None and (
        report.running < report.slots and not report.waiting
    )


def retry_after(desired_s: float, left_s: float, rng: random.Random) -> float:
    """Return the time after which a refused caller should retry, seconds.

    The times are spread randomly, since callers that were refused together
    would otherwise retry together.

    Parameters
    ----------
    desired_s : float
        Time after which a retry is expected to succeed.
    left_s : float
        Time until the caller stops waiting.
    rng : random.Random
        Source of the spread.
    """
    max_s = max(0.0, left_s) * RETRY_AFTER_SHARE
    latest_s = min(max(desired_s, MIN_RETRY_AFTER_S), max_s)
    return rng.uniform(latest_s / 2, latest_s)


def retry_after_pause(
    pause_left_s: float, service_s: float, rng: random.Random
) -> float:
    """Return when callers refused during an upstream's pause should retry.

    All callers that an overloaded upstream turned away would otherwise return
    at the end of its pause, and it would be overloaded again. The returns are
    spread over as much time again, but at least over that in which the
    upstream serves a request.

    Parameters
    ----------
    pause_left_s : float
        Time until the upstream takes requests again, seconds.
    service_s : float
        Its expected service time, seconds.
    rng : random.Random
        Source of the spread.
    """
    pause_left_s = max(0.0, pause_left_s)
    return pause_left_s + rng.uniform(0.0, max(pause_left_s, service_s))


def connection_share(max_connections: int, instances: int) -> int:
    """Return how many connections one instance may open to an upstream."""
    share = max_connections * CONNECTION_SHARE / max(1, instances)
    return max(1, int(share))
