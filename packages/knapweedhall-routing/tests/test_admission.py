"""Tests of the decision to send or refuse a request."""

from __future__ import annotations

import random
import unittest

from knapweedhall_routing import admission


class AdmissionTest(unittest.TestCase):
    """Admission of requests, and its time limits."""

    def decide(self, **changes: object) -> admission.Send | admission.Refuse:
        """Decide on a request that has half a second left."""
        estimate = admission.Estimate(10.0, 10.5, 0.1, 2, 9, False)
        estimate = estimate._replace(**changes)  # type: ignore[arg-type]
        return admission.decide(estimate, random.Random(1))

    def test_request_with_time_is_sent(self) -> None:
        """Guards against refusing a request that can be served in time."""
        self.assertEqual(admission.Send(), self.decide())

    def test_request_without_expected_response_is_refused(self) -> None:
        """Guards against running requests whose callers stopped waiting."""
        for changes in (
            {'expected_latency_s': 0.6},
            {'outstanding': 9},
            {'over_cold_budget': True},
        ):
            with self.subTest(changes=changes):
                decision = self.decide(**changes)
                self.assertIsInstance(decision, admission.Refuse)

    def test_move_limit_depends_on_the_objective(self) -> None:
        """Guards against refusals shortly before a move ends.

        With a limit of 0.5 s for all services, most refusals for moving keys
        came 0.5 s to 1 s after the start of a move that ended in that time.
        """
        processing_s = 0.9
        self.assertGreater(
            admission.move_deadline(10.0, 1.6), 10.0 + processing_s
        )
        self.assertEqual(10.5, admission.move_deadline(10.0, 0.2))
        self.assertLess(admission.move_deadline(10.0, 1.6), 10.0 + 1.6)

    def test_retries_are_spread_and_in_time(self) -> None:
        """Guards against callers that all retry at once, or too late."""
        rng = random.Random(2)
        times = [admission.retry_after(0.4, 0.9, rng) for _ in range(200)]
        self.assertLessEqual(max(times), 0.3)
        self.assertGreater(max(times) - min(times), 0.1)


class PauseTest(unittest.TestCase):
    """Callers that are refused during an upstream's pause."""

    def test_returns_are_spread_after_the_pause(self) -> None:
        """Guards against returns all at once that overload it again."""
        rng = random.Random(1)
        returns = sorted(
            admission.retry_after_pause(2.0, 0.1, rng) for _ in range(1000)
        )
        self.assertGreaterEqual(returns[0], 2.0)
        # No tenth of the following 2 s gets more than a fifth of them.
        for tenth in range(10):
            begin = 2.0 + 0.2 * tenth
            count = sum(begin <= at < begin + 0.2 for at in returns)
            self.assertLess(count, 200)
