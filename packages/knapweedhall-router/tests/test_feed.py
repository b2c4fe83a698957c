"""Tests of the change feed."""

from __future__ import annotations

import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router.control import feed

TOPIC = 'topic'


def record(key: str, value: bytes, offset: int = 0) -> outcomes.Record:
    """Return a record."""
    return outcomes.Record(offset, key, value)


class FeedTest(unittest.TestCase):
    """Reading and relaying of records by the coordinator and others."""

    def setUp(self) -> None:
        """Create a feed with a listed topic and one own read."""
        self.feed = feed.Feed()
        self.processed: list[tuple[str, ...]] = []
        self.feed.handlers[TOPIC] = (
            lambda records, listing: self.processed.append(
                tuple(record.key for record in records)
            )
        )
        self.feed.cache_records(
            TOPIC, [record('a', b'1'), record('b', b'2')], True
        )
        self.feed.record_connected(90.0)
        self.feed.record_read(TOPIC, 2, 91.0)

    def test_relies_only_on_recent_coordinator_reads(self) -> None:
        """Guards against relying on a coordinator that can't read the store.

        Its heartbeats continue, but the ages of its reads grow.
        """
        self.feed.record_heartbeat({TOPIC: 0.4}, {}, 100.0)
        self.assertGreater(self.feed.relay_valid_until(TOPIC), 100.0)
        self.feed.record_heartbeat({TOPIC: 3.0}, {}, 100.5)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.5)

    def test_reads_topics_that_are_not_relayed(self) -> None:
        """Guards against an instance that waits for a listing forever.

        It has not listed one topic itself, and the coordinator does not read
        the other one.
        """
        self.feed.record_heartbeat({'other': 0.1}, {}, 100.0)
        self.assertLess(self.feed.relay_valid_until('other'), 100.0)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.0)

    def test_coordinator_reads_by_itself(self) -> None:
        """Guards against a coordinator that relies on its own heartbeats.

        The coordinator is also connected to itself as an instance.
        """
        self.feed.relay = lambda topic, records: None
        self.feed.record_heartbeat({TOPIC: 0.0}, {}, 100.0)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.0)
        self.feed.receive(TOPIC, [(5, 'c', b'3')], False)
        self.assertEqual([], self.processed)

    def test_caches_removals(self) -> None:
        """Guards against a removed key that a listing brings back.

        New instances get the cached records as their listing, which must
        include removals.
        """
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
        """Guards against a relayed record that replaces a newer one.

        A relayed record may arrive after an own read that covers it.
        """
        self.feed.record_read(TOPIC, 8, 92.0)
        self.feed.receive(TOPIC, [(7, 'a', b'old'), (8, 'b', b'new')], False)
        self.assertEqual([('b',)], self.processed)

    def test_needs_an_own_read_after_connecting(self) -> None:
        """Guards against missing a change before the connection.

        The coordinator does not relay changes between the last own read and
        the time of the connection.
        """
        self.feed.record_heartbeat({TOPIC: 0.1}, {}, 100.0)
        self.assertGreater(self.feed.relay_valid_until(TOPIC), 100.0)
        self.feed.connected_at = 99.0
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.0)

    def test_requests_listing_without_the_store(self) -> None:
        """Guards against an instance that never gets a listing.

        If it can't read the store itself, it requests all records from the
        coordinator.
        """
        self.assertEqual([], self.feed.outdated_topics(92.0))
        self.assertEqual([TOPIC], self.feed.outdated_topics(100.0))
        self.feed.heartbeat_at = 100.0
        self.feed.receive(TOPIC, [(3, 'x', b'1')], True)
        self.assertEqual([('x',)], self.processed)

    def test_relays_changes(self) -> None:
        """Guards against relaying empty messages."""
        sizes: list[int] = []
        self.feed.relay = lambda topic, records: sizes.append(len(records))
        self.feed.relay_changes(TOPIC, [])
        self.feed.relay_changes(TOPIC, [record('a', b'1')])
        self.assertEqual([1], sizes)


class OutdatedStoreTest(unittest.TestCase):
    """A store that returns an outdated state to a new instance."""

    def setUp(self) -> None:
        """Connect to a coordinator that has read up to offset 9."""
        self.feed = feed.Feed()
        self.feed.record_connected(90.0)
        self.feed.record_heartbeat({TOPIC: 0.1}, {TOPIC: 9}, 90.1)

    def test_gap_before_the_connection(self) -> None:
        """Guards against changes that an instance never learns.

        The coordinator relayed them before the instance connected, and the
        store's listing was older. The instance relied on the relay, used an
        upstream that had left, and answered 404 for a published route.
        """
        self.feed.cache_records(TOPIC, [record('a', b'1', 3)], True)
        self.feed.record_read(TOPIC, 6, 91.0)
        self.feed.record_heartbeat({TOPIC: 0.1}, {TOPIC: 9}, 91.1)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 91.1)
        self.feed.record_read(TOPIC, 9, 92.0)
        self.assertGreater(self.feed.relay_valid_until(TOPIC), 91.1)

    def test_outdated_listing_is_recognized(self) -> None:
        """Guards against a listing that lacks what the coordinator knows."""
        self.assertTrue(self.feed.is_stale(TOPIC, 8))
        self.assertFalse(self.feed.is_stale(TOPIC, 9))

    def test_later_changes_are_relayed(self) -> None:
        """Guards against an instance that reads beside the relay forever."""
        self.feed.cache_records(TOPIC, [record('a', b'1', 3)], True)
        self.feed.record_read(TOPIC, 9, 91.0)
        self.feed.record_heartbeat({TOPIC: 0.1}, {TOPIC: 50}, 95.0)
        self.assertGreater(self.feed.relay_valid_until(TOPIC), 95.0)

    def test_next_connection_counts_anew(self) -> None:
        """Guards against an offset of an earlier coordinator."""
        self.feed.cache_records(TOPIC, [record('a', b'1', 3)], True)
        self.feed.record_read(TOPIC, 9, 91.0)
        self.feed.record_connected(100.0)
        self.feed.record_read(TOPIC, 9, 100.2)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.2)
        self.feed.record_heartbeat({TOPIC: 0.1}, {TOPIC: 12}, 100.3)
        self.assertLess(self.feed.relay_valid_until(TOPIC), 100.3)
