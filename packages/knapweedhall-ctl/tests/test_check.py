"""Tests of `check` and `timeline`."""

from __future__ import annotations

import json
import pathlib
import unittest
import unittest.mock

from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import main

PACKAGES = pathlib.Path(__file__).resolve().parents[2]
DATA = PACKAGES / 'knapweedhall-replay' / 'tests' / 'data'


def run_main(command: str, trace: str, *more: str) -> tuple[int, str]:
    """Return the exit code and the output."""
    path = DATA / f'{trace}.jsonl'
    with unittest.mock.patch('builtins.print') as printed:
        code = main.main([command, str(path), *more])
    return code, printed.call_args.args[0]


class CheckTest(unittest.TestCase):
    def test_exit_codes_follow_the_verdicts(self) -> None:
        """Guards against scripts that take a broken trace as good."""
        self.assertEqual(exit_codes.OK, run_main('check', 'good')[0])
        code, output = run_main('check', 'bad-07-ran-twice', '--json')
        self.assertEqual(exit_codes.NEGATIVE, code)
        points = json.loads(output)['points']
        self.assertEqual('broken', points[6]['verdict'])

    def test_strict_counts_missing_evidence(self) -> None:
        """Guards against an empty trace that passes an acceptance run."""
        name = 'doubt-silent-upstream'
        self.assertEqual(exit_codes.OK, run_main('check', name)[0])
        code, _ = run_main('check', name, '--strict')
        self.assertEqual(exit_codes.NEGATIVE, code)

    def test_unreadable_trace_is_refused(self) -> None:
        """Guards against a verdict on a file that was not read."""
        code, _ = run_main('check', 'missing')
        self.assertEqual(exit_codes.INVALID_INPUT, code)

    def test_timeline_is_in_the_order_of_time(self) -> None:
        """Guards against a time line in the order of the files."""
        _, output = run_main('timeline', 'good')
        times = [float(line.split()[0]) for line in output.splitlines()]
        self.assertEqual(sorted(times), times)
