"""Tests of the use of idle connections."""

from __future__ import annotations

import unittest

from knapweedhall_routing import idle_limits

# An upstream under the load of the tests forgets connections after this.
FORGOTTEN_S = 0.45
RESET_S = 0.002


class IdleTrustTest(unittest.TestCase):
    """Upstreams that forget idle connections sooner than they state."""

    def setUp(self) -> None:
        """Start without any connection that was forgotten."""
        self.trust = idle_limits.IdleLimit()

    def test_forgotten_connection_makes_others_suspect(self) -> None:
        """Guards against one lost request for each connection.

        A request that may not run twice can't be repeated after a reset.
        """
        self.assertTrue(self.trust.record_reset(FORGOTTEN_S, RESET_S, 1.0))
        for idempotent in (False, True):
            limit = self.trust.max_idle_s(idempotent, 1.1)
            self.assertLess(limit, FORGOTTEN_S)

    def test_trust_returns(self) -> None:
        """Guards against a new connection per request for ever."""
        usual = self.trust.max_idle_s(False, 0.0)
        self.trust.record_reset(FORGOTTEN_S, RESET_S, 1.0)
        later = 1.0 + idle_limits.DISTRUST_S
        self.assertEqual(usual, self.trust.max_idle_s(False, later))
        self.trust.record_reset(0.9, RESET_S, later)
        self.assertGreater(self.trust.max_idle_s(False, later), 0.4)

    def test_shortest_time_counts(self) -> None:
        """Guards against a late sign that widens the limit again."""
        self.trust.record_reset(FORGOTTEN_S, RESET_S, 1.0)
        self.trust.record_reset(4.0, RESET_S, 1.2)
        self.assertLess(self.trust.max_idle_s(True, 1.3), FORGOTTEN_S)

    def test_broken_work_says_nothing(self) -> None:
        """Guards against distrust after an upstream that broke at work."""
        for after_s in (0.04, 0.3):
            self.assertFalse(
                self.trust.record_reset(FORGOTTEN_S, after_s, 1.0)
            )
        self.assertFalse(self.trust.record_reset(0.0, RESET_S, 1.0))
        self.assertEqual(float('inf'), self.trust.max_idle_s(True, 1.1))
