"""Tests of the end of earlier tenures."""

from __future__ import annotations

import unittest

from knapweedhall_router import takeover
from knapweedhall_routing import holdings


class PredecessorsTest(unittest.TestCase):
    """Who may still renew grants."""

    def test_own_address_and_repeats_are_left_out(self) -> None:
        """Guards against a wait for a process that has ended."""
        old = [
            takeover.Predecessor(address, ['x'])
            for address in ('a:1', 'c:1', 'b:1')
        ]
        found = takeover.Tenure('n', 'b:1', ['y'], old)
        self.assertEqual(
            [old[0], takeover.Predecessor('b:1', ['y'])],
            takeover.predecessors(found, 'c:1'),
        )
        self.assertEqual([], takeover.predecessors(None, 'c:1'))

    def test_hold_of_a_silent_upstream_is_shortened(self) -> None:
        """Guards against keys that wait out blind renewals nobody sends."""
        book = holdings.Holdings('s')
        row = holdings.StoredRange(0, 65535, 'u', 'h', 1, 1)
        book.restore([row], 100.0)
        book.predecessors_ended(101.0)
        one = book.items[0]
        self.assertFalse(one.is_free(101.0 + holdings.HOLD_S))
        self.assertTrue(one.is_free(holdings.hold_end(101.0)))
