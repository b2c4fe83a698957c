"""Tests of the log's bounds."""

from __future__ import annotations

import json
import os
import time
import unittest
import unittest.mock

from knapweedhall_router import logs

# A blocked write would take for ever.
LONGEST_S = 5.0


class LogTest(unittest.TestCase):
    """Lines that nobody reads, and storms of lines."""

    def setUp(self) -> None:
        """Log to a pipe."""
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        logs.configure('test', writer)
        silent = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(logs.configure, '', silent)

    def test_full_pipe_blocks_nobody(self) -> None:
        """Guards against requests that wait for the reader of the log."""
        begun = time.monotonic()
        with unittest.mock.patch.object(logs, 'MAX_LINES_PER_S', 10**6):
            for number in range(3000):
                logs.info('upstream_gone', upstream=f'{number:0100}')
        self.assertLess(time.monotonic() - begun, LONGEST_S)
        self.assertGreater(logs.dropped_lines(), 0)
        lines = os.read(self.reader, 10**6).decode().splitlines()
        for line in lines:
            self.assertEqual('upstream_gone', json.loads(line)['event'])

    def test_no_failed_request_is_left_out(self) -> None:
        """Guards against an id whose cause nobody finds afterwards."""
        count = 120
        for number in range(count):
            logs.info('request_failed', request=f'q{number}')
        lines = os.read(self.reader, 10**6).decode().splitlines()
        found = [json.loads(line)['request'] for line in lines]
        self.assertEqual([f'q{number}' for number in range(count)], found)

    def test_storm_is_bounded_and_counted(self) -> None:
        """Guards against failures that take the processor of requests."""
        for _ in range(500):
            logs.info('tenure_deposed')
        written = os.read(self.reader, 10**6).decode().splitlines()
        # The storm may reach into the next second.
        self.assertLessEqual(len(written), 2 * logs.MAX_LINES_PER_S)
        time.sleep(1.1)
        logs.info('tenure_deposed')
        last = json.loads(os.read(self.reader, 10**6).decode())
        self.assertGreaterEqual(
            last['left_out'], 500 - 2 * logs.MAX_LINES_PER_S
        )
