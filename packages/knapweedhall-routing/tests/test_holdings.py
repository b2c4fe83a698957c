"""Tests of the grants that a coordinator keeps track of."""

from __future__ import annotations

import unittest

from knapweedhall_routing import holdings
from knapweedhall_routing import model

ADDRESS = model.Address('127.0.0.1', 1)


def held(first: int, last: int, upstream: str, fence: int) -> holdings.Holding:
    """Return a confirmed holding."""
    return holdings.Holding(
        first, last, upstream, ADDRESS, 1, fence, False, 10.0, confirmed=True
    )


class HoldingsTest(unittest.TestCase):
    """Ranges that are split, merged and restored."""

    def setUp(self) -> None:
        """Create two neighbors of one upstream and one of another."""
        self.holdings = holdings.Holdings('s')
        self.holdings.items = [
            held(0, 99, 'a', 5),
            held(100, 199, 'a', 7),
            held(200, 65535, 'b', 6),
        ]

    def assert_covered(self) -> None:
        """Check that each key is in exactly one holding."""
        next_key = 0
        for holding in self.holdings.items:
            self.assertEqual(next_key, holding.first)
            next_key = holding.last + 1
        self.assertEqual(model.KEY_COUNT, next_key)

    def test_split_keeps_all_keys(self) -> None:
        """Guards against keys that nobody renews after a move."""
        middle = self.holdings.split(120, 140)
        self.assertEqual((120, 140, 7), (middle.first, middle.last, 7))
        self.assert_covered()
        with self.assertRaises(ValueError):
            self.holdings.split(150, 250)

    def test_answer_applies_to_all_parts_of_a_split_grant(self) -> None:
        """Guards against an answer that is recorded for no holding."""
        self.holdings.split(120, 140)
        parts = self.holdings.granted_parts(100, 199, 7)
        self.assertEqual(3, len(parts))

    def test_merged_grant_has_the_higher_token_and_is_sent(self) -> None:
        """Guards against a renewal that the holder rejects as older."""
        self.holdings.merge(20.0)
        self.assertEqual(2, len(self.holdings.items))
        first = self.holdings.items[0]
        self.assertEqual(
            (0, 199, 7, 20.0),
            (first.first, first.last, first.fence, first.renew_at or 20.0),
        )
        self.assert_covered()

    def test_no_merge_while_a_grant_is_in_flight(self) -> None:
        """Guards against an answer that confirms keys it did not cover."""
        self.holdings.items[0].in_flight = 1
        self.holdings.merge(20.0)
        self.assertEqual(3, len(self.holdings.items))

    def test_restored_ranges_are_not_free(self) -> None:
        """Guards against two owners after a change of coordinator.

        The earlier coordinator may renew grants without the store for some
        time, and a holder that does not answer keeps its keys until then.
        """
        stored = self.holdings.to_stored()
        restored = holdings.Holdings('s')
        restored.restore(stored, 100.0)
        last_renewal = 100.0 + holdings.MAX_OFFLINE_RENEWAL_S
        for holding in restored.items:
            self.assertFalse(
                holding.is_free(last_renewal + holdings.GRANT_DURATION_S)
            )
            self.assertTrue(
                holding.is_free(holdings.grant_expiry(last_renewal))
            )

    def test_unreadable_assignment_is_not_free(self) -> None:
        """Guards against two owners after an assignment that can't be read.

        Its holders may have their keys renewed by the earlier coordinator.
        """
        now = 100.0
        self.holdings.restore_unreadable(now)
        self.assert_covered()
        # A next coordinator may restore what this one has stored.
        again = holdings.Holdings('s')
        again.restore(self.holdings.to_stored(), now)
        last_grant_at = now + holdings.MAX_OFFLINE_RENEWAL_S
        for restored in (self.holdings, again):
            (holding,) = restored.items
            self.assertFalse(holding.is_free(last_grant_at))
            self.assertTrue(
                holding.is_free(holdings.grant_expiry(last_grant_at))
            )
            self.assertEqual('', holding.to_owned_range().upstream)

    def test_outage_of_nine_seconds_is_covered(self) -> None:
        """Guards against grants that expire during a store outage."""
        lease_s = 1.1
        last_renewal = (
            lease_s
            + holdings.MAX_OFFLINE_RENEWAL_S
            - holdings.RENEWAL_PERIOD_S
        )
        self.assertGreater(last_renewal + holdings.GRANT_DURATION_S, 9.0)

    def test_takeover_keeps_owners(self) -> None:
        """Guards against keys without an owner until the next grant."""
        restored = holdings.Holdings('s')
        restored.restore(self.holdings.to_stored(), 100.0)
        owners = [owned.upstream for owned in restored.owned_ranges()]
        self.assertEqual(['a', 'a', 'b'], owners)

    def test_restore_of_overlapping_ranges_covers_all_keys(self) -> None:
        """Guards against keys in no holding, which no plan would assign."""
        stored = holdings.StoredRange
        self.holdings.restore(
            [stored(10, 20, 'a', 'h', 1, 1), stored(15, 30, 'b', 'h', 1, 1)],
            0.0,
        )
        self.assert_covered()

    def test_tokens_increase_from_term_to_term(self) -> None:
        """Guards against a new token that the upstreams reject as older."""
        earlier = holdings.FencingTokens(3)
        later = holdings.FencingTokens(4)
        last = [earlier.next() for _ in range(10000)][-1]
        self.assertLess(last, later.next())


class SentGrantTest(unittest.TestCase):
    """Ranges that are split while their grant is in flight."""

    def setUp(self) -> None:
        """Send a grant, then split its range."""
        self.holdings = holdings.Holdings('s')
        holding = self.holdings.items[0]
        holding.upstream, holding.fence, holding.held_until = 'u', 7, 11.0
        holding.needs_token = False
        self.grant = self.holdings.record_sent(
            holding, holdings.FencingTokens(0), 10.0
        )
        self.holdings.split(100, 199)

    def test_all_parts_are_confirmed(self) -> None:
        """Guards against a part that waits for an answer forever."""
        self.holdings.record_accepted(self.grant)
        for part in self.holdings.items:
            self.assertTrue(part.confirmed)
            self.assertEqual(0, part.in_flight)
            self.assertEqual(holdings.grant_expiry(10.0), part.held_until)

    def test_grant_in_doubt_keeps_all_parts_held(self) -> None:
        """Guards against two owners of a part."""
        self.holdings.record_failure(self.grant, True, 10.5)
        for part in self.holdings.items:
            self.assertFalse(part.is_free(holdings.grant_expiry(10.0) - 0.01))
            self.assertTrue(part.is_free(holdings.grant_expiry(10.0)))
            self.assertEqual((0, True, 10.5), _state(part))

    def test_grant_that_was_not_sent_does_not_extend_the_hold(self) -> None:
        """Guards against keys waiting for a grant that was never sent."""
        self.holdings.record_failure(self.grant, False, 10.5)
        for part in self.holdings.items:
            self.assertTrue(part.is_free(11.0))

    def test_end_of_the_holder_frees_all_its_ranges(self) -> None:
        """Guards against ranges that wait for grants to an ended process.

        One answer of another process at the address shows the end for all
        ranges.
        """
        self.holdings.items[-1].fence = 8
        self.holdings.record_holder_gone(
            self.grant, 'u', self.holdings.items[0].address
        )
        # The last part has another grant in flight.
        free = [part.is_free(10.1) for part in self.holdings.items]
        self.assertEqual([True, True, False], free)


def _state(part: holdings.Holding) -> tuple[int, bool, float]:
    return part.in_flight, part.needs_token, part.renew_at
