"""Tests of who reads the store's records."""

from __future__ import annotations

import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router import feed

TOPIC = 'topic'


def record(key: str, value: bytes) -> outcomes.Record:
    """Return a record."""
    return outcomes.Record(-1, key, value)


class FeedTest(unittest.TestCase):
    """What an instance that coordinates or relies on another one does."""

    def setUp(self) -> None:
        """Begin with a listing."""
        self.feed = feed.Feed()
        self.taken: list[tuple[str, ...]] = []
        self.feed.handlers[TOPIC] = lambda records, listing: self.taken.append(
            tuple(one.key for one in records)
        )
        self.feed.took(TOPIC, [record('a', b'1'), record('b', b'2')], True)

    def test_relies_on_recent_reads_only(self) -> None:
        """Guards against trust in a coordinator that can't read."""
        self.feed.told({TOPIC: 0.4}, 100.0)
        self.assertGreater(self.feed.fed_until(TOPIC), 100.0)
        self.feed.told({TOPIC: 3.0}, 100.5)
        self.assertLess(self.feed.fed_until(TOPIC), 100.5)

    def test_reads_what_it_was_never_told(self) -> None:
        """Guards against an instance that waits for a first listing."""
        self.feed.told({'other': 0.1}, 100.0)
        self.assertLess(self.feed.fed_until('other'), 100.0)
        self.assertLess(self.feed.fed_until(TOPIC), 100.0)

    def test_coordinator_reads_by_itself(self) -> None:
        """Guards against a coordinator that relies on its own heartbeat."""
        self.feed.relay = lambda topic, records, listing: None
        self.feed.told({TOPIC: 0.0}, 100.0)
        self.assertLess(self.feed.fed_until(TOPIC), 100.0)
        self.feed.deliver(TOPIC, [('c', b'3')], False)
        self.assertEqual([], self.taken)

    def test_keeps_what_new_instances_get(self) -> None:
        """Guards against a dropped key that comes back with a listing."""
        self.feed.took(TOPIC, [record('a', b''), record('c', b'3')], False)
        self.assertEqual({'b': b'2', 'c': b'3'}, self.feed.newest[TOPIC])
        self.feed.took(TOPIC, [record('d', b'4')], True)
        self.assertEqual({'d': b'4'}, self.feed.newest[TOPIC])

    def test_passes_changes_on(self) -> None:
        """Guards against messages without content."""
        sent: list[bool] = []
        self.feed.relay = lambda topic, records, listing: sent.append(listing)
        self.feed.pass_on(TOPIC, [], False)
        self.feed.pass_on(TOPIC, [record('a', b'1')], False)
        self.feed.pass_on(TOPIC, [], True)
        self.assertEqual([False, True], sent)
