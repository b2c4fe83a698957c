"""Tests of the directory of upstreams."""

from __future__ import annotations

import unittest

from knapweedhall_routing import directory
from knapweedhall_routing import model


def entry(
    name: str = 'u', domain: str = 'a', **changes: object
) -> model.Upstream:
    """Return an entry."""
    found = model.Upstream(
        name, model.Address('127.0.0.1', 1), 's', domain, 4, False, 0.0, 1
    )
    return found._replace(**changes)  # type: ignore[arg-type]


class DirectoryTest(unittest.TestCase):
    """Entries that come and go."""

    def setUp(self) -> None:
        """Start with one entry."""
        self.found = directory.Directory()
        self.found.put(entry(), 0.0)

    def test_removal_counts_at_once_while_the_store_is_well(self) -> None:
        """Guards against requests to an upstream that left."""
        self.found.remove('u', 10.0)
        self.assertEqual([], self.found.usable('s'))

    def test_entry_that_lapsed_in_an_outage_stays_for_its_return(self) -> None:
        """Guards against an outage that empties the directory."""
        self.found.record_store_failure(10.0)
        self.found.remove('u', 10.5)
        self.assertEqual(1, len(self.found.usable('s')))
        self.found.put(entry(), 12.0)
        self.assertEqual([], self.found.expire(20.0))
        self.found.record_store_failure(30.0)
        self.found.remove('u', 30.5)
        self.assertEqual(['u'], self.found.expire(33.0))

    def test_another_incarnation_is_a_new_process(self) -> None:
        """Guards against keys that a restarted upstream does not hold."""
        self.assertFalse(self.found.put(entry(), 1.0))
        self.assertTrue(self.found.put(entry(born_ms=2), 1.0))

    def test_withdrawn_since(self) -> None:
        """Guards against a drain or evacuation that starts anew."""
        self.assertIsNone(self.found.unusable_since('u'))
        self.found.put(entry(draining=True), 3.0)
        self.found.put(entry(draining=True), 4.0)
        self.assertEqual(3.0, self.found.unusable_since('u'))
        self.found.put(entry(), 5.0)
        self.found.set_evacuated({'a'}, 6.0)
        self.found.set_evacuated({'a', 'b'}, 7.0)
        self.assertEqual(6.0, self.found.unusable_since('u'))
        self.assertEqual([], self.found.usable('s'))
