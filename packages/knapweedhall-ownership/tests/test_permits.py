"""Permit tables of instances."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

from knapweedhall_ownership import messages
from knapweedhall_ownership import permits
from knapweedhall_ownership import slices

KEY = 'cow 7'
SLICE = slices.slice_of(KEY, 4)
SHARE = messages.Share(2, 30, 1)


def offer(
    number: int, version: int, upstream: str = 'u', **fields: typing.Any
) -> messages.PermitOffer:
    """Return an offer of term 1 with one entry, named as the version."""
    entry = messages.TableEntry('s', SLICE, upstream, version)
    made = messages.PermitOffer(
        'g', 1, number, 1000, version, 0, [entry], version, {'u': SHARE}
    )
    return made._replace(**fields)


class PermitTableTest(unittest.TestCase):
    """Offers and routes."""

    def setUp(self) -> None:
        """Take a permit that was asked for at 10.0 s."""
        self.table = permits.PermitTable('g')
        self.table.set_service('s', 4, False, 250)
        self.table.request(10.0, {}, {})
        self.assertTrue(self.table.take(10.4, offer(1, 1)))

    def route(self, now: float) -> str:
        """Return the owner of the key, or why there is none."""
        found = self.table.route(now, 's', KEY)
        if isinstance(found, permits.NoRoute):
            return found.reason
        return found.upstream

    def test_permit_counts_from_the_request(self) -> None:
        """Guards against a permit that a slow offer prolongs."""
        self.assertEqual('u', self.route(10.99))
        self.assertEqual('no-permit', self.route(11.0))
        self.assertEqual(SHARE, self.table.share(10.5, 'u'))
        self.assertEqual((0, 0, 0), self.table.share(11.0, 'u'))

    def test_unsuitable_offers_are_dropped(self) -> None:
        """Guards against overtaken offers and those of an old term."""
        self.table.request(10.5, {}, {})
        dropped = [
            offer(3, 2, 'v'),
            offer(2, 1, 'v'),
            offer(2, 2, 'v', term=0),
            offer(2, 2, 'v', group='h'),
            offer(2, 9, 'v', base_version=5),
            offer(2, 9, 'v', base_version=5, term=2),
        ]
        for each in dropped:
            self.assertFalse(self.table.take(10.6, each))
            self.assertEqual('u', self.route(10.6))
        self.assertTrue(self.table.take(10.6, offer(2, 2, 'v')))
        self.assertEqual('v', self.route(11.4))

    def test_route_is_checked_again_before_the_write(self) -> None:
        """Guards against a pause between the choice and the write."""
        route = self.table.route(10.5, 's', KEY)
        assert isinstance(route, permits.Route)
        self.assertTrue(self.table.still_valid(10.9, 's', route))
        self.assertFalse(self.table.still_valid(11.0, 's', route))
        self.table.take(10.6, offer(1, 2))
        self.assertFalse(self.table.still_valid(10.7, 's', route))

    def test_withdrawal_is_acknowledged_after_the_work(self) -> None:
        """Guards against a request that arrives after its owner changed."""
        route = self.table.route(10.5, 's', KEY)
        assert isinstance(route, permits.Route)
        deadline = self.table.request_deadline('s', 99.0)
        self.assertAlmostEqual(11.25, deadline)
        self.table.begin('s', route, deadline)
        self.table.take(10.6, offer(1, 3, ''))
        self.assertEqual('no-owner', self.route(10.6))
        self.assertEqual(1, self.table.request(10.7, {}, {}).table_version)
        done = self.table.request(11.25, {}, {})
        self.assertEqual(3, done.table_version)

    def test_partial_table_leaves_the_permit(self) -> None:
        """Guards against a permit for a table that lacks withdrawals."""
        self.table.request(10.8, {}, {})
        self.table.take(10.8, offer(2, 2, 'v', lease_ms=0))
        self.assertEqual('v', self.route(10.99))
        self.assertEqual('no-permit', self.route(11.0))

    def test_hot_key_leaves_and_returns_to_its_slice(self) -> None:
        """Guards against a hot key that two upstreams serve."""
        number = slices.hot_slice_of(KEY)
        hot = messages.TableEntry('s', number, '', 0, KEY)
        self.table.take(10.5, offer(1, 2, entries=[hot]))
        self.assertEqual('no-owner', self.route(10.5))
        owned = hot._replace(upstream='w', sequence=3)
        self.table.take(10.5, offer(1, 3, entries=[owned]))
        self.assertEqual('w', self.route(10.5))
        gone = hot._replace(removed=True)
        self.table.take(10.5, offer(1, 4, entries=[gone]))
        self.assertEqual('u', self.route(10.5))

    def test_old_term_is_needed_to_drop(self) -> None:
        """Guards against tests of dropped offers that cannot fail."""
        with mock.patch.object(permits.PermitTable, 'acceptable') as check:
            check.return_value = True
            self.table.take(10.6, offer(1, 2, 'v', term=0))
        self.assertEqual('v', self.route(10.6))
