"""Tests of outcomes, retries, clocks and upstream selection."""

from __future__ import annotations

import collections
import random
import unittest

from knapweedhall_traffic import clocks
from knapweedhall_traffic import headers
from knapweedhall_traffic import outcomes
from knapweedhall_traffic import retries
from knapweedhall_traffic import selection

UNKNOWN = outcomes.broken(True, 'connection-closed')
NOT_RUN = outcomes.not_run('shed')


class OutcomeTest(unittest.TestCase):
    def test_not_run_needs_proof(self) -> None:
        """Guards against `not-run` after a byte was handed over."""
        self.assertEqual('not-run', outcomes.broken(False, 'x').outcome)
        self.assertEqual(502, UNKNOWN.status)
        self.assertEqual(504, outcomes.broken(True, 'x', late=True).status)
        refusal = headers.index(
            [(b'Knapweedhall-Not-Run', b'1'), (b'Knapweedhall-Reason', b'a')]
        )
        self.assertEqual(
            outcomes.not_run('a'), outcomes.upstream_refusal(503, refusal)
        )
        self.assertIsNone(outcomes.upstream_refusal(200, refusal))
        self.assertIsNone(outcomes.upstream_refusal(503, headers.index([])))

    def test_answers_of_instances(self) -> None:
        """Guards against trusting an answer without an outcome."""

        def judge(outcome: bytes, status: int) -> outcomes.Failure | None:
            found = headers.index([(b'Knapweedhall-Outcome', outcome)])
            return outcomes.instance_refusal(status, found)

        self.assertIsNone(judge(b'answered', 503))
        refused = judge(b'not-run', 503)
        assert refused is not None
        self.assertEqual('not-run', refused.outcome)
        for outcome, status, seen in (
            (b'unknown', 504, 504),
            (b'', 200, 502),
            (b'other', 503, 502),
        ):
            failure = judge(outcome, status)
            assert failure is not None
            self.assertEqual(('unknown', seen), failure[:2])

    def test_repeats(self) -> None:
        """Guards against running non-idempotent work twice."""
        repeat = outcomes.may_repeat
        self.assertFalse(repeat(UNKNOWN, False, True, 1))
        self.assertTrue(repeat(UNKNOWN, True, True, 1))
        self.assertTrue(repeat(NOT_RUN, False, True, 1))
        self.assertFalse(repeat(NOT_RUN, True, False, 1))
        self.assertFalse(repeat(NOT_RUN, True, True, 3))
        self.assertFalse(
            repeat(outcomes.not_run('missing-key', 400), True, True, 1)
        )
        self.assertEqual(UNKNOWN, outcomes.combine(UNKNOWN, NOT_RUN))
        self.assertEqual(NOT_RUN, outcomes.combine(None, NOT_RUN))

    def test_budget(self) -> None:
        """Guards against retries beyond their share."""
        budget = retries.RetryBudget(0.1, 3)
        self.assertEqual(
            [True, True, True, False], [budget.spend() for _ in range(4)]
        )
        for _ in range(100):
            budget.earn()
        self.assertEqual(3, sum(budget.spend() for _ in range(9)))


class ClockTest(unittest.TestCase):
    def test_deadline_is_never_later(self) -> None:
        """Guards against work that runs beyond its end on skewed clocks."""
        rng = random.Random(12)
        for _ in range(1000):
            rate = rng.uniform(0.998, 1.002)
            offset = rng.uniform(0, 1e9)
            delay = rng.uniform(0, 0.5)
            received = rng.uniform(0, 1000)
            end = received + rng.uniform(0, 30)
            clock_ms = (received - delay) * 1000 * rate + offset
            deadline = clocks.deadline_on(
                clocks.Reading(clock_ms, received), end
            )
            self.assertLessEqual(deadline, end * 1000 * rate + offset)

    def test_old_readings_are_refused(self) -> None:
        """Guards against deadlines that an old reading has eaten up."""
        reading = clocks.Reading(0.0, 100.0)
        self.assertTrue(clocks.is_usable(reading, 101.0, 106.0))
        self.assertFalse(clocks.is_usable(reading, 160.0, 165.0))
        self.assertFalse(clocks.is_usable(None, 0.0, 1.0))

    def test_work_end(self) -> None:
        """Guards against work beyond the next activation's wait."""
        self.assertEqual(9.0, clocks.work_end(9.0, 5.0, True, 0.25))
        self.assertEqual(5.25, clocks.work_end(9.0, 5.0, False, 0.25))

    def test_parse(self) -> None:
        """Guards against an upstream's malformed clock."""
        self.assertEqual((7.5, 1.0), clocks.parse_clock(b'7.5', 1.0))
        for value in (None, b'', b'x', b'nan', b'inf', b'-1', b'1e300'):
            self.assertIsNone(clocks.parse_clock(value, 1.0))


class SelectionTest(unittest.TestCase):
    def share(
        self, rule: str, candidates: list[selection.Candidate], now: float
    ) -> collections.Counter[int]:
        rng = random.Random(3)
        return collections.Counter(
            selection.choose(rule, candidates, now, rng) for _ in range(300)
        )

    def test_free_slots_come_first(self) -> None:
        """Guards against queuing at one upstream beside an idle one."""
        full, free = selection.Candidate(4, 4), selection.Candidate(3, 4)
        for rule in selection.RULES:
            with self.subTest(rule):
                self.assertEqual({1: 300}, self.share(rule, [full, free], 0))
                self.assertEqual(
                    300, self.share(rule, [full, full], 0).total()
                )

    def test_upstreams_without_slots_come_last(self) -> None:
        """Guards against waiting where nothing may be sent.

        An instance may hold no part of a cold upstream's budget.
        """
        full = selection.Candidate(4, 2, 0.05, 10.0)
        none = selection.Candidate(0, 0, 0.001, 10.0)
        for rule in selection.RULES:
            with self.subTest(rule):
                self.assertEqual({1: 300}, self.share(rule, [none, full], 10))
                self.assertEqual(
                    300, self.share(rule, [none, none], 10).total()
                )

    def test_slow_upstream_gets_less(self) -> None:
        """Guards against a rule that ignores what it should measure."""
        fast = selection.Candidate(1, 8, 0.001, 10.0)
        slow = selection.Candidate(3, 8, 0.02, 10.0)
        for rule in ('least_of_two', 'smoothed_latency', 'decaying_score'):
            with self.subTest(rule):
                found = self.share(rule, [fast, slow, fast], 10.0)
                self.assertLess(found[1], 10)

    def test_score_of_a_silent_upstream_decays(self) -> None:
        """Guards against banning an upstream that has recovered."""
        fast = selection.Candidate(1, 8, 0.004, 100.0)
        slow = selection.Candidate(0, 8, 0.05, 70.0)
        found = self.share('decaying_score', [fast, slow, fast], 100.0)
        self.assertEqual(300, found[1])
        found = self.share('smoothed_latency', [fast, slow, fast], 100.0)
        self.assertEqual(0, found[1])
