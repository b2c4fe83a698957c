"""Tests of who reads the store's records."""

from __future__ import annotations

import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router import feed

TOPIC = 'topic'


def record(key: str, value: bytes, offset: int = 0) -> outcomes.Record:
    """Return a record."""
    return outcomes.Record(offset, key, value)


class FeedTest(unittest.TestCase):
    """What an instance that coordinates or relies on another one does."""

    def setUp(self) -> None:
        """Begin with a listing."""
        self.feed = feed.Feed()
        self.taken: list[tuple[str, ...]] = []
        self.feed.handlers[TOPIC] = lambda records, listing: self.taken.append(
            tuple(one.key for one in records)
        )
        self.feed.cache_records(
            TOPIC, [record('a', b'1'), record('b', b'2')], True
        )
        self.feed.connected_at = 90.0
        self.feed.record_read(TOPIC, 2, 91.0)

    def test_relies_on_recent_reads_only(self) -> None:
        """Guards against trust in a coordinator that can't read."""
        self.feed.record_heartbeat({TOPIC: 0.4}, 100.0)
        self.assertGreater(self.feed.relay_valid_until(TOPIC), 100.0)
        self.feed.record_heartbeat({TOPIC: 3.0}, 100.5)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.5)

    def test_reads_what_it_was_never_told(self) -> None:
        """Guards against an instance that waits for a first listing."""
        self.feed.record_heartbeat({'other': 0.1}, 100.0)
        self.assertLess(self.feed.relay_valid_until('other'), 100.0)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.0)

    def test_coordinator_reads_by_itself(self) -> None:
        """Guards against a coordinator that relies on its own heartbeat."""
        self.feed.relay = lambda topic, records: None
        self.feed.record_heartbeat({TOPIC: 0.0}, 100.0)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.0)
        self.feed.receive(TOPIC, [(5, 'c', b'3')], False)
        self.assertEqual([], self.taken)

    def test_keeps_what_new_instances_get(self) -> None:
        """Guards against a dropped key that comes back with a listing."""
        self.feed.cache_records(
            TOPIC, [record('a', b'', 3), record('c', b'3')], False
        )
        self.assertEqual(
            [(3, 'a', b''), (0, 'b', b'2'), (0, 'c', b'3')],
            self.feed.list_records(TOPIC),
        )
        listing = [record('b', b'2')]
        self.assertEqual(
            [record('c', b'', 9)], self.feed.infer_removals(TOPIC, listing, 9)
        )

    def test_older_records_change_nothing(self) -> None:
        """Guards against a record that was overtaken by an own read."""
        self.feed.record_read(TOPIC, 8, 92.0)
        self.feed.receive(TOPIC, [(7, 'a', b'old'), (8, 'b', b'new')], False)
        self.assertEqual([('b',)], self.taken)

    def test_own_read_after_connecting(self) -> None:
        """Guards against changes between the last read and the connection."""
        self.feed.record_heartbeat({TOPIC: 0.1}, 100.0)
        self.assertGreater(self.feed.relay_valid_until(TOPIC), 100.0)
        self.feed.connected_at = 99.0
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.0)

    def test_all_records_are_asked_for_without_the_store(self) -> None:
        """Guards against an instance that is left without a listing."""
        self.assertEqual([], self.feed.outdated_topics(92.0))
        self.assertEqual([TOPIC], self.feed.outdated_topics(100.0))
        self.feed.heartbeat_at = 100.0
        self.feed.receive(TOPIC, [(3, 'x', b'1')], True)
        self.assertEqual([('x',)], self.taken)

    def test_passes_changes_on(self) -> None:
        """Guards against messages without content."""
        sent: list[int] = []
        self.feed.relay = lambda topic, records: sent.append(len(records))
        self.feed.relay_changes(TOPIC, [])
        self.feed.relay_changes(TOPIC, [record('a', b'1')])
        self.assertEqual([1], sent)
