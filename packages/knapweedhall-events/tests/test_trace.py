"""Tests of the event catalogue and the trace files."""

from __future__ import annotations

import pathlib
import re
import tempfile
import unittest

from knapweedhall_events import catalogue
from knapweedhall_events import trace

DOCS = pathlib.Path(__file__).resolve().parents[3] / 'docs'


class CatalogueTest(unittest.TestCase):
    """The catalogue and its page agree."""

    def test_page_lists_every_event(self) -> None:
        """Guards against a log number that operators cannot look up."""
        rows = re.findall(
            r'^\| (\d+) \| (\w+) \|',
            (DOCS / 'events.md').read_text(),
            re.MULTILINE,
        )
        documented = {int(number): name for number, name in rows}
        defined = {
            number: kind.name for number, kind in catalogue.EVENTS.items()
        }
        self.assertEqual(defined, documented)

    def test_numbers_and_names_are_unique(self) -> None:
        self.assertEqual(len(catalogue.EVENTS), len(catalogue.BY_NAME))


class TraceTest(unittest.TestCase):
    """Writing, reading and merging traces."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, process: str, names: list[str]) -> pathlib.Path:
        path = self.folder / process
        writer = trace.TraceWriter(process, path)
        self.addCleanup(writer.close)
        for name in names:
            fields = catalogue.BY_NAME[name].fields
            writer.emit(name, **dict.fromkeys(fields, 'x'))
        return path

    def test_cut_last_line_is_left_out(self) -> None:
        """Guards against a trace of a killed process that cannot be read."""
        path = self.write('a', ['process_started', 'process_ready'])
        path.write_bytes(path.read_bytes()[:-5])
        numbers = [event.number for event in trace.read_trace(path)]
        self.assertEqual([1000], numbers)

    def test_wrong_fields_are_refused(self) -> None:
        writer = trace.TraceWriter('a')
        with self.assertRaises(ValueError):
            writer.emit('process_started', role='x')

    def test_merge_orders_by_monotonic_clock(self) -> None:
        first = trace.Event(1000, 'b', 1, 1.0, 9.0, {})
        second = trace.Event(1001, 'a', 1, 2.0, 1.0, {})
        self.assertEqual([first, second], trace.merge([[second], [first]]))
