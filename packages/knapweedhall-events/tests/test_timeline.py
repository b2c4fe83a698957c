"""Tests of the timeline of several logs."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from knapweedhall_events import timeline

LINES = """
 1.5 a {"at":11.0,"process":"a","event":"store_lost","topic":"t"}
{"at":10.5,"process":"b","event":"tenure_begun","epoch":4}
{"at":12.0,"process":"a","event":"request_failed","request":"r1","status":503}
{"at":12.1,"process":"a","event":"request_failed","request":"r2","status":503}
not an event
{"at":12.2,"process":"a","event":"exch
"""


class TimelineTest(unittest.TestCase):
    """Reading, merging and filtering of events."""

    def setUp(self) -> None:
        """Read a log."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'log'
            path.write_text(LINES)
            self.events = timeline.merge(timeline.read(path))

    def test_order_and_truncated_lines(self) -> None:
        """Guards against a truncated last line that makes a log unreadable.

        A process that is killed may leave one.
        """
        self.assertEqual(
            ['tenure_begun', 'store_lost', 'request_failed', 'request_failed'],
            [event.name for event in self.events],
        )

    def test_filter_by_request(self) -> None:
        """Guards against events of other requests in the filtered timeline.

        They would hide the cause of the request's outcome.
        """
        events = timeline.filter_by_request(self.events, 'r1', 10.0)
        self.assertEqual(
            ['store_lost', 'request_failed'], [event.name for event in events]
        )
        self.assertEqual(
            [], timeline.filter_by_request(self.events, 'r9', 10.0)
        )
