"""Tests of an instance's owner table."""

from __future__ import annotations

import unittest

from knapweedhall_routing import model
from knapweedhall_routing import ranges

ADDRESS = model.Address('127.0.0.1', 1)


def owned(first: int, last: int, upstream: str) -> model.OwnedRange:
    """Return an owned range."""
    return model.OwnedRange(first, last, upstream, ADDRESS)


class OwnerTableTest(unittest.TestCase):
    """Versions and changes of the table."""

    def setUp(self) -> None:
        """Create a table with two owners."""
        self.table = ranges.OwnerTable()
        initial = [owned(0, 99, 'a'), owned(100, 65535, 'b')]
        self.table.replace(ranges.Version(5, 1), initial)

    def owner(self, key: int) -> str:
        """Return the owner of a key."""
        containing = self.table.find(key)
        return containing.upstream if containing else '-'

    def test_change_replaces_only_its_keys(self) -> None:
        """Guards against a change that loses the rest of a range."""
        self.table.patch(ranges.Version(5, 2), [owned(50, 120, 'c')])
        owners = [self.owner(key) for key in (0, 49, 50, 120, 121, 65535)]
        self.assertEqual(['a', 'a', 'c', 'c', 'b', 'b'], owners)

    def test_missing_change_is_detected(self) -> None:
        """Guards against a table from which a move is missing."""
        self.assertFalse(
            self.table.patch(ranges.Version(5, 3), [owned(0, 9, 'c')])
        )
        self.assertEqual('a', self.owner(0))

    def test_older_coordinator_is_ignored(self) -> None:
        """Guards against tables that a deposed coordinator still sends."""
        old = [owned(0, 65535, 'old')]
        self.assertFalse(self.table.replace(ranges.Version(4, 99), old))
        self.assertTrue(self.table.replace(ranges.Version(6, 0), old))
