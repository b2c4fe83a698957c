"""Tests of an instance's table of owners."""

from __future__ import annotations

import unittest

from knapweedhall_routing import model
from knapweedhall_routing import ranges

HERE = model.Address('127.0.0.1', 1)


def row(first: int, last: int, upstream: str) -> model.OwnedRange:
    """Return a row."""
    return model.OwnedRange(first, last, upstream, HERE)


class OwnerTableTest(unittest.TestCase):
    """Versions and changes."""

    def setUp(self) -> None:
        """Start with two owners."""
        self.table = ranges.OwnerTable()
        rows = [row(0, 99, 'a'), row(100, 65535, 'b')]
        self.table.replace(ranges.Version(5, 1), rows)

    def owner(self, key: int) -> str:
        """Return the owner of a key."""
        found = self.table.find(key)
        return found.upstream if found else '-'

    def test_change_replaces_only_its_keys(self) -> None:
        """Guards against a change that loses the rest of a range."""
        self.table.patch(ranges.Version(5, 2), [row(50, 120, 'c')])
        owners = [self.owner(key) for key in (0, 49, 50, 120, 121, 65535)]
        self.assertEqual(['a', 'a', 'c', 'c', 'b', 'b'], owners)

    def test_missing_change_is_noticed(self) -> None:
        """Guards against a table that skips a move."""
        self.assertFalse(
            self.table.patch(ranges.Version(5, 3), [row(0, 9, 'c')])
        )
        self.assertEqual('a', self.owner(0))

    def test_older_coordinator_is_ignored(self) -> None:
        """Guards against a deposed coordinator that still sends."""
        old = [row(0, 65535, 'old')]
        self.assertFalse(self.table.replace(ranges.Version(4, 99), old))
        self.assertTrue(self.table.replace(ranges.Version(6, 0), old))
