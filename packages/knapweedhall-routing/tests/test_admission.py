"""Tests of when a request is sent or refused."""

from __future__ import annotations

import random
import unittest

from knapweedhall_routing import admission


class AdmissionTest(unittest.TestCase):
    """Refusals."""

    def judge(self, **changes: object) -> admission.Send | admission.Refuse:
        """Judge a request with half a second left."""
        estimate = admission.Estimate(10.0, 10.5, 0.1, 2, 9, False)
        estimate = estimate._replace(**changes)  # type: ignore[arg-type]
        return admission.decide(estimate, random.Random(1))

    def test_request_with_time_is_sent(self) -> None:
        """Guards against refusals without need."""
        self.assertEqual(admission.Send(), self.judge())

    def test_hopeless_request_is_refused_at_once(self) -> None:
        """Guards against work that nobody waits for any more."""
        for changes in (
            {'expected_latency_s': 0.6},
            {'outstanding': 9},
            {'cold': True},
        ):
            with self.subTest(changes=changes):
                found = self.judge(**changes)
                self.assertIsInstance(found, admission.Refuse)

    def test_move_lasts_as_long_as_work_does(self) -> None:
        """Guards against refusals shortly before the end of a move.

        With 0.5 s for all, most refusals for keys that moved came from 0.5 s
        to 1 s after the begin of a move which ended in that time.
        """
        work_s = 0.9
        self.assertGreater(admission.move_deadline(10.0, 1.6), 10.0 + work_s)
        self.assertEqual(10.5, admission.move_deadline(10.0, 0.2))
        self.assertLess(admission.move_deadline(10.0, 1.6), 10.0 + 1.6)

    def test_returns_are_spread_and_in_time(self) -> None:
        """Guards against callers that all return at once, or too late."""
        rng = random.Random(2)
        times = [admission.retry_after(0.4, 0.9, rng) for _ in range(200)]
        self.assertLessEqual(max(times), 0.3)
        self.assertGreater(max(times) - min(times), 0.1)
