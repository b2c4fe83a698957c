"""Tests of the end of earlier tenures."""

from __future__ import annotations

import asyncio
import unittest

from knapweedhall_router import clock
from knapweedhall_router import messages
from knapweedhall_router import takeover
from knapweedhall_routing import holdings
from knapweedhall_routing import quorum


class PredecessorsTest(unittest.TestCase):
    """Who may still renew grants."""

    def test_own_address_and_repeats_are_left_out(self) -> None:
        """Guards against a wait for a process that has ended."""
        old = [
            takeover.Predecessor(address, ['x'])
            for address in ('a:1', 'c:1', 'b:1')
        ]
        found = takeover.TermRecord('n', 'b:1', ['y'], old)
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
        book.record_predecessors_ended(101.0)
        one = book.items[0]
        self.assertFalse(one.is_free(101.0 + holdings.GRANT_DURATION_S))
        self.assertTrue(one.is_free(holdings.grant_expiry(101.0)))


class EndAllTest(unittest.IsolatedAsyncioTestCase):
    """The wait for earlier coordinators."""

    async def test_majority_ends_the_wait_at_once(self) -> None:
        """Guards against a wait for a predecessor that does not answer.

        Looked for only after each question, which times out, the majority
        was seen up to 0.8 s late, with the keys of upstreams in a failure
        domain that was cut off.
        """
        silent = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        self.addCleanup(silent.close)
        port = silent.sockets[0].getsockname()[1]
        former = takeover.Predecessor(f'127.0.0.1:{port}', ['x', 'y', 'z'])
        begun = clock.now()
        majority_in_s = takeover.ASK_TIMEOUT_S + 0.1
        joined_at = begun - quorum.MAX_REPORT_AGE_S + majority_in_s
        await takeover.end_predecessors(
            [former],
            messages.Takeover(3, ''),
            lambda: {'x': joined_at, 'y': joined_at},
        )
        waited_s = clock.now() - begun
        self.assertGreater(waited_s, majority_in_s)
        self.assertLess(waited_s, majority_in_s + 2 * takeover.POLL_S)
