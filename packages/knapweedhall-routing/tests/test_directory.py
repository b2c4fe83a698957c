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


class LeavingTest(unittest.TestCase):
    """An upstream that says in a response that it is leaving."""

    def setUp(self) -> None:
        """Create a directory with one upstream that leaves."""
        self.directory = directory.Directory()
        self.directory.put(entry(), 0.0)
        self.assertTrue(self.directory.record_leaving('u', 5.0))

    def test_it_is_not_used(self) -> None:
        """Guards against requests until the store lists it as draining."""
        self.assertEqual([], self.directory.usable('s'))
        self.assertEqual(5.0, self.directory.unusable_since('u'))
        self.assertFalse(self.directory.record_leaving('u', 6.0))
        self.assertEqual([('u', 1)], self.directory.unlisted_leaving())

    def test_stale_entry_does_not_end_it(self) -> None:
        """Guards against a listing that is older than the notice."""
        self.directory.put(entry(), 6.0)
        self.assertEqual([], self.directory.usable('s'))

    def test_removal_does_not_end_it(self) -> None:
        """Guards against an entry that an outage removes and lists again."""
        self.directory.remove('u', 6.0)
        self.directory.expire(30.0)
        self.directory.put(entry(), 31.0)
        self.assertEqual([], self.directory.usable('s'))

    def test_next_incarnation_ends_it(self) -> None:
        """Guards against a new process that is never used."""
        self.directory.put(entry(born_ms=2), 6.0)
        self.assertEqual(1, len(self.directory.usable('s')))
        self.assertFalse(self.directory.record_leaving('u', 7.0, 1))
        self.assertEqual(1, len(self.directory.usable('s')))

    def test_it_may_be_known_before_the_entry(self) -> None:
        """Guards against a notice that reaches an instance too early."""
        self.directory.record_leaving('v', 5.0, 1)
        self.directory.put(entry('v'), 6.0)
        self.assertEqual([], self.directory.usable('s'))

    def test_it_is_forgotten_at_last(self) -> None:
        """Guards against marks that pile up while upstreams are replaced."""
        self.directory.remove('u', 6.0)
        self.directory.expire(5.0 + directory.LEAVING_KEPT_S + 1.0)
        self.assertEqual({}, self.directory.leaving)
