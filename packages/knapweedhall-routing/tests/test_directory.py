"""Tests of the directory of upstreams."""

from __future__ import annotations

import unittest

from knapweedhall_routing import directory
from knapweedhall_routing import model


def entry(
    name: str = 'u', domain: str = 'a', **changes: object
) -> model.Upstream:
    """Return an entry with some attributes changed."""
    upstream = model.Upstream(
        name, model.Address('127.0.0.1', 1), 's', domain, 4, False, 0.0, 1
    )
    return upstream._replace(**changes)  # type: ignore[arg-type]


class DirectoryTest(unittest.TestCase):
    """Entries that are listed and removed."""

    def setUp(self) -> None:
        """Create a directory with one entry."""
        self.directory = directory.Directory()
        self.directory.put(entry(), 0.0)

    def test_removal_is_final_while_the_store_works(self) -> None:
        """Guards against requests to an upstream that was removed."""
        self.directory.remove('u', 10.0)
        self.assertEqual([], self.directory.usable('s'))

    def test_entry_that_expired_in_an_outage_may_be_listed_again(self) -> None:
        """Guards against a store outage that empties the directory."""
        self.directory.record_store_failure(10.0)
        self.directory.remove('u', 10.5)
        self.assertEqual(1, len(self.directory.usable('s')))
        self.directory.put(entry(), 12.0)
        self.assertEqual([], self.directory.expire(20.0))
        self.directory.record_store_failure(30.0)
        self.directory.remove('u', 30.5)
        self.assertEqual(['u'], self.directory.expire(33.0))

    def test_changed_start_time_means_a_new_process(self) -> None:
        """Guards against assuming that a restarted upstream holds its keys."""
        self.assertFalse(self.directory.put(entry(), 1.0))
        self.assertTrue(self.directory.put(entry(born_ms=2), 1.0))

    def test_unusable_since_keeps_the_first_time(self) -> None:
        """Guards against a drain or evacuation whose start time is reset."""
        self.assertIsNone(self.directory.unusable_since('u'))
        self.directory.put(entry(draining=True), 3.0)
        self.directory.put(entry(draining=True), 4.0)
        self.assertEqual(3.0, self.directory.unusable_since('u'))
        self.directory.put(entry(), 5.0)
        self.directory.set_evacuated({'a'}, 6.0)
        self.directory.set_evacuated({'a', 'b'}, 7.0)
        self.assertEqual(6.0, self.directory.unusable_since('u'))
        self.assertEqual([], self.directory.usable('s'))
