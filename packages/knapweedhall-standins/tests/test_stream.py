"""Tests of the append-only stream."""

from __future__ import annotations

import unittest

from knapweedhall_standins import stream


class StreamTest(unittest.TestCase):
    """Readers rely on offsets for the order of all records."""

    def setUp(self) -> None:
        self.log = stream.Stream(retention_s=10)
        for number in range(4):
            self.log.append(f'r{number}', now_s=number, wall_ms=number)

    def _read(self, start: int, limit: int, now_s: float) -> stream.Page:
        page = self.log.read(start, limit, now_s)
        assert isinstance(page, stream.Page)
        return page

    def test_pages_continue_without_gap(self) -> None:
        """Guards against a record skipped or repeated between pages."""
        first = self._read(0, 3, 4)
        second = self._read(first.next, 3, 4)
        bodies = [entry.body for entry in first.entries + second.entries]
        self.assertEqual(['r0', 'r1', 'r2', 'r3'], bodies)
        self.assertEqual(4, second.next)

    def test_old_records_expire(self) -> None:
        """Guards against serving records beyond the retention."""
        self.assertEqual(stream.Expired(2), self.log.read(1, 9, 11.5))
        page = self._read(2, 9, 11.5)
        self.assertEqual([2, 3], [entry.offset for entry in page.entries])

    def test_offsets_grow_after_all_expired(self) -> None:
        """Guards against an offset that is used twice."""
        self.assertEqual(stream.Page(4, 4, []), self.log.read(4, 9, 99))
        self.assertEqual(4, self.log.append('new', 99, 0))

    def test_page_size_is_bounded(self) -> None:
        """Guards against one answer that holds the whole log."""
        log = stream.Stream(retention_s=10)
        for _ in range(40):
            log.append('x' * stream.MAX_RECORD_BYTES, 0, 0)
        page = log.read(0, 40, 0)
        assert isinstance(page, stream.Page)
        self.assertEqual(16, len(page.entries))
