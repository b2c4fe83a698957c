"""Tests of the reuse of idle connections."""

from __future__ import annotations

import unittest

from knapweedhall_routing import idle_limits

# Idle time after which a loaded upstream closes connections.
CLOSED_AFTER_S = 0.45
RESET_S = 0.002


class IdleLimitTest(unittest.TestCase):
    """Upstreams that close idle connections earlier than they announce."""

    def setUp(self) -> None:
        """Create a limit without any recorded reset."""
        self.limit = idle_limits.IdleLimit()

    def test_closed_connection_limits_the_reuse_of_others(self) -> None:
        """Guards against losing one request on each idle connection.

        A request that must not run twice can't be retried after a reset.
        """
        self.assertTrue(self.limit.record_reset(CLOSED_AFTER_S, RESET_S, 1.0))
        for idempotent in (False, True):
            max_idle_s = self.limit.max_idle_s(idempotent, 1.1)
            self.assertLess(max_idle_s, CLOSED_AFTER_S)

    def test_limit_ends(self) -> None:
        """Guards against a new connection per request forever."""
        default = self.limit.max_idle_s(False, 0.0)
        self.limit.record_reset(CLOSED_AFTER_S, RESET_S, 1.0)
        later = 1.0 + idle_limits.LIMIT_DURATION_S
        self.assertEqual(default, self.limit.max_idle_s(False, later))
        self.limit.record_reset(0.9, RESET_S, later)
        self.assertGreater(self.limit.max_idle_s(False, later), 0.4)

    def test_shortest_idle_time_decides(self) -> None:
        """Guards against a later reset that raises the limit again."""
        self.limit.record_reset(CLOSED_AFTER_S, RESET_S, 1.0)
        self.limit.record_reset(4.0, RESET_S, 1.2)
        self.assertLess(self.limit.max_idle_s(True, 1.3), CLOSED_AFTER_S)

    def test_reset_during_processing_does_not_count(self) -> None:
        """Guards against a limit after an upstream failed while processing."""
        for after_s in (0.04, 0.3):
            self.assertFalse(
                self.limit.record_reset(CLOSED_AFTER_S, after_s, 1.0)
            )
        self.assertFalse(self.limit.record_reset(0.0, RESET_S, 1.0))
        self.assertEqual(float('inf'), self.limit.max_idle_s(True, 1.1))
