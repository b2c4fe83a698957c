"""When a request is sent, waits, or is turned away."""

from __future__ import annotations

import dataclasses
import random
import typing

from knapweedhall_routing import model

# Part of the latency objective that a request waits for the owner of its
# keys to change; a move takes about one request's work.
OWNER_WAIT_SHARE = 0.6
# Longest move of keys where work is short: release, write, grant. Keys without
# an owner for longer have lost it.
MOVE_S = 0.5
# Part of the remaining time that callers honour in Retry-After (platform
# protocol, Answers).
RETRY_AFTER_SHARE = 1 / 3
# Shortest return, seconds: the round trip to a caller.
LEAST_RETRY_AFTER_S = 0.02
# Part of an upstream's connections that instances use together; the rest is
# left to health checks, orders and instances that come and go.
CONNECTION_SHARE = 0.75


@dataclasses.dataclass(frozen=True)
class Send:
    """The request is sent now."""


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The request is refused and has not run.

    Attributes
    ----------
    reason : str
        Word for the log.
    retry_after_s : float
        When the caller should come back, seconds from now.
    """

    reason: str
    retry_after_s: float


class Estimate(typing.NamedTuple):
    """What is known of a request at the upstream it would go to.

    Attributes
    ----------
    now, end : float
        Present time, and when the caller stops waiting, seconds.
    expected_latency_s : float
        Expected time until the answer.
    outstanding, connections : int
        Own requests at the upstream, and how many there may be.
    cold : bool
        Whether it is in a cold start and the budget for it is used up.
    """

    now: float
    end: float
    expected_latency_s: float
    outstanding: int
    connections: int
    cold: bool


def move_deadline(since: float, objective_s: float) -> float:
    """Return until when keys without an owner are taken as moving.

    A release waits for the end of running work, which takes the longer the
    longer callers are prepared to wait.
    """
    return since + max(MOVE_S, OWNER_WAIT_SHARE * objective_s)


def decide(estimate: Estimate, rng: random.Random) -> Send | Refuse:
    """Decide whether a request is sent or refused at once.

    A request that can't be answered in time only takes the place of others
    that could be.
    """
    left = estimate.end - estimate.now
    if estimate.cold:
        return Refuse('cold', retry_after(left, left, rng))
    if estimate.outstanding >= estimate.connections:
        return Refuse(
            'connections', retry_after(estimate.expected_latency_s, left, rng)
        )
    if estimate.expected_latency_s > left:
        return Refuse(
            'no-time', retry_after(estimate.expected_latency_s, left, rng)
        )
    return Send()


def is_spurious_refusal(report: model.LoadReport | None) -> bool:
    """Return whether a refusal contradicts the load that comes with it.

    An upstream that refuses a part of all requests although it has a free
    slot may take the same request at once.
    """
    return report is not None and (
        report.running < report.slots and not report.waiting
    )


def retry_after(wanted: float, left: float, rng: random.Random) -> float:
    """Return when a refused caller should come back.

    The returns are spread, as callers that were refused together would
    otherwise return together.
    """
    most = max(LEAST_RETRY_AFTER_S, left * RETRY_AFTER_SHARE)
    aim = min(max(wanted, LEAST_RETRY_AFTER_S), most)
    return rng.uniform(aim / 2, aim)


def connection_share(max_connections: int, instances: int) -> int:
    """Return how many connections one instance opens to an upstream."""
    share = max_connections * CONNECTION_SHARE / max(1, instances)
    return max(1, int(share))
