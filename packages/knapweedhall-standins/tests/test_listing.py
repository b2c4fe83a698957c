"""Tests of the lagging instance list."""

from __future__ import annotations

import unittest

from knapweedhall_standins import listing


def _row(**fields: object) -> listing.Row:
    row = {'kind': 'entry', 'failure_domain': 'a', 'state': 'live', **fields}
    return row  # type: ignore[return-value]


class InstanceListTest(unittest.TestCase):
    """The system must not depend on an up-to-date list."""

    def setUp(self) -> None:
        self.instances = listing.InstanceList(lag_s=2)

    def _names(self, now_s: float) -> list[str]:
        return [row['name'] for row in self.instances.read(0, now_s)]

    def test_changes_appear_after_the_lag(self) -> None:
        """Guards against a stand-in that is fresher than the platform."""
        self.instances.put('one', _row(), 0)
        self.assertEqual([], self._names(1.9))
        self.assertEqual(['one'], self._names(2))
        self.instances.delete('one', 3)
        self.assertEqual(['one'], self._names(4.9))
        self.assertEqual([], self._names(5))

    def test_other_domains_get_relay_addresses(self) -> None:
        """Guards against a cut link that callers go around."""
        relays = {'2': {'address': '127.0.2.9:1'}}
        row = _row(address='127.0.1.1:7', relays=relays)
        self.instances.put('one', row, 0)
        seen = [
            self.instances.read(domain, 2)[0]['address'] for domain in (1, 2)
        ]
        self.assertEqual(['127.0.1.1:7', '127.0.2.9:1'], seen)
