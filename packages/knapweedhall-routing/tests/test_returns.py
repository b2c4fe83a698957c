"""Tests of when callers that were refused return."""

from __future__ import annotations

import heapq
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from knapweedhall_routing import admission
from knapweedhall_routing import returns

CAPACITY_PER_S = 100.0
SERVICE_S = 0.372
TIME_LIMIT_S = 2.529
# An eighth of the objective of the requests that are replayed.
PATIENCE_S = 1.018 / 8


class Rule(typing.NamedTuple):
    """When refused callers return.

    Attributes
    ----------
    retry_after : callable
        Takes the time, the time left and the wait of the next request, and
        returns Retry-After, all in seconds.
    count : callable
        Called with the time of each request.
    """

    retry_after: typing.Callable[[float, float, float], float]
    count: typing.Callable[[float], None]


class Replay(typing.NamedTuple):
    """Requests of a replay by what became of them."""

    refused_again: int
    served: int


def replay(rule: Rule, retries: int, rng: random.Random) -> Replay:
    """Replay a burst of 1.7 times the capacity for 3 s, and 7 s after it.

    Parameters
    ----------
    rule : Rule
        When refused callers return.
    retries : int
        How often a caller retries.
    rng : random.Random
        Source of the arrivals.
    """
    events: list[tuple[float, int, float]] = []
    at = 0.0
    while at < 12.0:
        at += rng.expovariate(CAPACITY_PER_S * (1.7 if 2 <= at < 5 else 0.6))
        events.append((at, 0, at + TIME_LIMIT_S))
    heapq.heapify(events)
    free_at, refused_again, served = 0.0, 0, 0
    while events:
        now, tries, deadline = heapq.heappop(events)
        rule.count(now)
        wait_s = max(0.0, free_at - now)
        if wait_s <= PATIENCE_S and now + wait_s + SERVICE_S < deadline:
            free_at = now + wait_s + 1 / CAPACITY_PER_S
            served += 1
            continue
        refused_again += tries > 0
        if tries < retries:
            left_s = deadline - now
            after_s = min(left_s / 3, rule.retry_after(now, left_s, wait_s))
            heapq.heappush(events, (now + after_s, tries + 1, deadline))
    return Replay(refused_again, served)


def present_rule(rng: random.Random) -> Rule:
    """Return the rule for a full upstream before this module."""
    return Rule(
        lambda now, left_s, wait_s: admission.retry_after(
            SERVICE_S + wait_s, left_s, rng
        ),
        lambda now: None,
    )


def planned(rng: random.Random) -> Rule:
    """Return the rule of this module."""
    plan = returns.Returns()
    return Rule(
        lambda now, left_s, wait_s: plan.plan(
            now, left_s, int(wait_s * CAPACITY_PER_S), CAPACITY_PER_S, rng
        ),
        plan.count_request,
    )


class ReturnTest(unittest.TestCase):
    """Retry-After of a full service."""

    def test_fewer_callers_are_refused_again(self) -> None:
        """Guards against callers that return while a burst goes on."""
        for retries in (1, 2):
            for seed in range(5):
                with self.subTest(retries=retries, seed=seed):
                    present, new = (
                        replay(
                            rule(random.Random(seed)),
                            retries,
                            random.Random(seed),
                        )
                        for rule in (present_rule, planned)
                    )
                    self.assertLess(new.refused_again, present.refused_again)
                    self.assertGreater(new.served, present.served)

    @hypothesis.example(1.0, 0, 5e-324, 0)
    @hypothesis.given(
        strategies.floats(0.0, 100.0),
        strategies.integers(0, 1000),
        strategies.floats(0.0, 1000.0),
        strategies.integers(0, 50),
    )
    def test_callers_honor_it(
        self, left_s: float, waiting: int, drain_per_s: float, refused: int
    ) -> None:
        """Guards against times over a third of what is left, or too short."""
        rng = random.Random(1)
        plan = returns.Returns()
        for _ in range(refused + 1):
            plan.count_request(0.0)
            after_s = plan.plan(0.0, left_s, waiting, drain_per_s, rng)
            self.assertLessEqual(after_s, left_s / 3)
            if left_s / 4 >= admission.MIN_RETRY_AFTER_S:
                self.assertGreaterEqual(after_s, admission.MIN_RETRY_AFTER_S)

    def test_returns_follow_the_drain(self) -> None:
        """Guards against more returns in a period than there is room for."""
        rng = random.Random(1)
        plan = returns.Returns()
        times = sorted(plan.plan(0.0, 30.0, 20, 20.0, rng) for _ in range(100))
        self.assertGreaterEqual(times[0], 20 / 20.0)
        for begin in (1.0, 2.0, 3.0, 4.0, 5.0):
            count = sum(begin <= at < begin + 1 for at in times)
            self.assertLessEqual(abs(count - 20), 1)
