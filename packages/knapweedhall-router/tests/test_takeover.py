"""Tests of the wait for the end of earlier coordinators."""

from __future__ import annotations

import asyncio
import unittest

from knapweedhall_router import clock
from knapweedhall_router.control import takeover
from knapweedhall_router.links import messages
from knapweedhall_routing import holdings
from knapweedhall_routing import quorum


class PredecessorsTest(unittest.TestCase):
    """Coordinators that may still renew grants."""

    def test_own_address_and_repeated_addresses_are_left_out(self) -> None:
        """Guards against a wait for a process that has ended.

        A process at the own address or one with a later term at the same
        address has replaced it.
        """
        earlier = [
            takeover.Predecessor(address, ['x'])
            for address in ('a:1', 'c:1', 'b:1')
        ]
        record = takeover.TermRecord('n', 'b:1', ['y'], earlier)
        self.assertEqual(
            [earlier[0], takeover.Predecessor('b:1', ['y'])],
            takeover.predecessors(record, 'c:1'),
        )
        self.assertEqual([], takeover.predecessors(None, 'c:1'))

    def test_end_of_predecessors_shortens_holdings(self) -> None:
        """Guards against keys that wait for offline renewals nobody sends.

        Once all predecessors have ended, an upstream that does not answer
        holds its keys only until the last possible grant expires.
        """
        service_holdings = holdings.Holdings('s')
        stored = holdings.StoredRange(0, 65535, 'u', 'h', 1, 1)
        service_holdings.restore([stored], 100.0)
        service_holdings.record_predecessors_ended(101.0)
        holding = service_holdings.items[0]
        self.assertFalse(holding.is_free(101.0 + holdings.GRANT_DURATION_S))
        self.assertTrue(holding.is_free(holdings.grant_expiry(101.0)))


class EndPredecessorsTest(unittest.IsolatedAsyncioTestCase):
    """The wait for the end of earlier coordinators."""

    async def test_majority_ends_the_wait_without_delay(self) -> None:
        """Guards against a long wait for a predecessor that does not answer.

        When the majority was only checked after each request had timed out,
        it was noticed up to 0.8 s late. The keys of upstreams in a failure
        domain without connection waited for that time.
        """
        silent = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        self.addCleanup(silent.close)
        port = silent.sockets[0].getsockname()[1]
        predecessor = takeover.Predecessor(
            f'127.0.0.1:{port}', ['x', 'y', 'z']
        )
        started_at = clock.now()
        majority_in_s = takeover.REQUEST_TIMEOUT_S + 0.1
        joined_at = started_at - quorum.MAX_REPORT_AGE_S + majority_in_s
        await takeover.end_predecessors(
            [predecessor],
            messages.Takeover(3, ''),
            lambda: {'x': joined_at, 'y': joined_at},
        )
        waited_s = clock.now() - started_at
        self.assertGreater(waited_s, majority_in_s)
        self.assertLess(
            waited_s, majority_in_s + 2 * takeover.MAJORITY_CHECK_PERIOD_S
        )
