"""Tests of the coordinator's book of grants."""

from __future__ import annotations

import unittest

from knapweedhall_routing import holdings
from knapweedhall_routing import model

HERE = model.Address('127.0.0.1', 1)


def held(first: int, last: int, upstream: str, fence: int) -> holdings.Holding:
    """Return a confirmed holding."""
    return holdings.Holding(
        first, last, upstream, HERE, 1, fence, 10.0, confirmed=True
    )


class HoldingsTest(unittest.TestCase):
    """Ranges that are cut, joined and restored."""

    def setUp(self) -> None:
        """Start with two neighbours of one upstream and one of another."""
        self.book = holdings.Holdings('s')
        self.book.items = [
            held(0, 99, 'a', 5),
            held(100, 199, 'a', 7),
            held(200, 65535, 'b', 6),
        ]

    def assert_covered(self) -> None:
        """Check that each key is in exactly one holding."""
        following = 0
        for one in self.book.items:
            self.assertEqual(following, one.first)
            following = one.last + 1
        self.assertEqual(model.KEY_COUNT, following)

    def test_cut_keeps_all_keys(self) -> None:
        """Guards against keys that nobody renews after a move."""
        middle = self.book.split(120, 140)
        self.assertEqual((120, 140, 7), (middle.first, middle.last, 7))
        self.assert_covered()
        with self.assertRaises(ValueError):
            self.book.split(150, 250)

    def test_answer_reaches_the_parts_of_a_divided_grant(self) -> None:
        """Guards against a grant whose answer is booked on no holding."""
        self.book.split(120, 140)
        parts = self.book.granted_parts(100, 199, 7)
        self.assertEqual(3, len(parts))

    def test_joint_grant_has_the_higher_token_and_is_sent(self) -> None:
        """Guards against a renewal that the holder refuses as older."""
        self.book.merge(20.0)
        self.assertEqual(2, len(self.book.items))
        first = self.book.items[0]
        self.assertEqual(
            (0, 199, 7, 20.0),
            (first.first, first.last, first.fence, first.renew_at or 20.0),
        )
        self.assert_covered()

    def test_no_join_while_a_grant_is_under_way(self) -> None:
        """Guards against an answer that confirms keys it did not cover."""
        self.book.items[0].in_flight = 1
        self.book.merge(20.0)
        self.assertEqual(3, len(self.book.items))

    def test_restored_ranges_are_not_free(self) -> None:
        """Guards against two owners after a change of coordinator.

        The earlier coordinator may renew without the store for a while, so
        a holder that does not answer keeps its keys that long.
        """
        rows = self.book.to_stored()
        later = holdings.Holdings('s')
        later.restore(rows, 100.0)
        blind = 100.0 + holdings.MAX_OFFLINE_RENEWAL_S
        for one in later.items:
            self.assertFalse(one.is_free(blind + holdings.GRANT_DURATION_S))
            self.assertTrue(one.is_free(holdings.grant_expiry(blind)))

    def test_outage_of_nine_seconds_is_covered(self) -> None:
        """Guards against keys that lapse in an outage of the store."""
        lease_s = 1.1
        last_renewal = (
            lease_s
            + holdings.MAX_OFFLINE_RENEWAL_S
            - holdings.RENEWAL_PERIOD_S
        )
        self.assertGreater(last_renewal + holdings.GRANT_DURATION_S, 9.0)

    def test_takeover_interrupts_nobody(self) -> None:
        """Guards against owners that vanish until each is granted anew."""
        later = holdings.Holdings('s')
        later.restore(self.book.to_stored(), 100.0)
        owners = [row.upstream for row in later.owned_ranges()]
        self.assertEqual(['a', 'a', 'b'], owners)

    def test_restore_of_a_damaged_table_covers_all_keys(self) -> None:
        """Guards against keys that no plan assigns."""
        row = holdings.StoredRange
        self.book.restore(
            [row(10, 20, 'a', 'h', 1, 1), row(15, 30, 'b', 'h', 1, 1)], 0.0
        )
        self.assert_covered()

    def test_tokens_rise_over_tenures(self) -> None:
        """Guards against a token that an upstream has seen."""
        early = holdings.FencingTokens(3)
        late = holdings.FencingTokens(4)
        last = [early.next() for _ in range(10000)][-1]
        self.assertLess(last, late.next())


class SentGrantTest(unittest.TestCase):
    """Ranges that are divided while their grant is under way."""

    def setUp(self) -> None:
        """Send a grant, then divide its range."""
        self.book = holdings.Holdings('s')
        one = self.book.items[0]
        one.upstream, one.fence, one.held_until = 'u', 7, 11.0
        self.order = self.book.record_sent(one, 10.0)
        self.book.split(100, 199)

    def test_all_parts_are_granted(self) -> None:
        """Guards against a part that waits for an answer for ever."""
        self.book.record_accepted(self.order)
        for part in self.book.items:
            self.assertTrue(part.confirmed)
            self.assertEqual(0, part.in_flight)
            self.assertEqual(holdings.grant_expiry(10.0), part.held_until)

    def test_grant_in_doubt_binds_all_parts(self) -> None:
        """Guards against two owners of a part."""
        self.book.record_failure(self.order, True, 10.5)
        for part in self.book.items:
            self.assertFalse(part.is_free(holdings.grant_expiry(10.0) - 0.01))
            self.assertTrue(part.is_free(holdings.grant_expiry(10.0)))
            self.assertEqual((0, 0, 10.5), _next(part))

    def test_grant_that_was_not_sent_leaves_the_hold(self) -> None:
        """Guards against keys that wait for a grant which never left."""
        self.book.record_failure(self.order, False, 10.5)
        for part in self.book.items:
            self.assertTrue(part.is_free(11.0))

    def test_end_of_the_holder_frees_all_its_ranges(self) -> None:
        """Guards against ranges that learn it one after the other."""
        self.book.items[-1].fence = 8
        self.book.record_holder_gone(
            self.order, 'u', self.book.items[0].address
        )
        # The last part has another grant under way.
        free = [part.is_free(10.1) for part in self.book.items]
        self.assertEqual([True, True, False], free)


def _next(part: holdings.Holding) -> tuple[int, int, float]:
    return part.in_flight, part.fence, part.renew_at
