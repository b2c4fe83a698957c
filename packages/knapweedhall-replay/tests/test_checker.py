"""Tests of the verdicts on committed traces."""

from __future__ import annotations

import pathlib
import unittest

from knapweedhall_events import trace
from knapweedhall_replay import checker
from knapweedhall_replay import text
from knapweedhall_replay import verdicts

DATA = pathlib.Path(__file__).parent / 'data'

# For each bad trace the reason that its point must be refused for.
REASONS = {
    'bad-01-two-grants': 'u1 still held a slice that u2 was granted',
    'bad-01-stale-work': 'u1 began work on a slice that u2 owned',
    'bad-01-work-overlaps': 'u1 and u2 worked on the same slice',
    'bad-01-unconfirmed-release': 'u1 still held a slice that u2 was granted',
    'bad-01-older-token': 'u2 took token 7.9 after u1 took 8.1',
    'bad-02-plan-forgotten': 'was not in force in e3',
    'bad-03-cold-overload': 'u1 bears 2 requests in its cold start and ran 3',
    'bad-03-cold-refusal': 'u1 had to refuse load in its cold start',
    'bad-04-work-after-mark': 'u1 got new work more than 6.0 s',
    'bad-04-work-after-out': 'u1 got new work more than 6.0 s',
    'bad-05-cut-response': 'the response of r1 was cut',
    'bad-05-other-response': 'r1 belongs to another request',
    'bad-06-ran-after-all': 'request r1 ran but was said not to',
    'bad-07-ran-twice': 'non-idempotent request r1 ran 2 times',
    'bad-08-work-after-leaving': 'u1 got new work more than 6.0 s',
    'bad-09-request-cut': 'e1 cut 1 requests',
    'bad-09-forwarded-to-stopping': 'e2 lost a request that it forwarded',
    'bad-10-diverged': 'was taken from two offsets',
    'bad-10-late': 'was not in force in e2 after 6.0 s',
    'bad-10-reverted': 'e1 went from version 3',
}


def check(
    name: str, unchecked: frozenset[str] = frozenset()
) -> dict[int, verdicts.Verdict]:
    """Return the verdicts on a committed trace by point."""
    events = trace.read_trace(DATA / f'{name}.jsonl')
    results = checker.check([events], unchecked)
    return {result.number: result.verdict for result in results}


class CheckerTest(unittest.TestCase):
    def test_good_trace_holds_on_all_points(self) -> None:
        """Guards against a checker that refuses correct behaviour."""
        for number, verdict in check('good').items():
            with self.subTest(point=number):
                self.assertIsInstance(verdict, verdicts.Holds)

    def test_each_bad_trace_is_refused_for_its_reason(self) -> None:
        """Guards against a check that passes whatever happens."""
        self.assertEqual(
            set(REASONS), {path.stem for path in DATA.glob('bad-*.jsonl')}
        )
        for name, reason in REASONS.items():
            with self.subTest(trace=name):
                verdict = check(name)[int(name[4:6])]
                assert isinstance(verdict, verdicts.Broken)
                self.assertIn(reason, verdict.violations[0].reason)
                self.assertTrue(verdict.violations[0].events)

    def test_bad_traces_break_only_their_point(self) -> None:
        """Guards against a fault that is reported under other points."""
        # A forgotten plan is late configuration, too.
        also = {
            'bad-02-plan-forgotten': {10},
            'bad-04-work-after-mark': {8},
            'bad-04-work-after-out': {8},
        }
        for name in REASONS:
            with self.subTest(trace=name):
                broken = {
                    number
                    for number, verdict in check(name).items()
                    if isinstance(verdict, verdicts.Broken)
                }
                expected = {int(name[4:6])} | also.get(name, set())
                self.assertEqual(expected, broken)

    def test_traces_of_real_runs_hold(self) -> None:
        """Guards against a checker that only suits the hand-made traces.

        In real-upstream-leaves a slice moves within a group and then to
        another group, under the same token.
        """
        points = {'real-owner-frozen': (1, 5, 7)}
        points['real-upstream-leaves'] = (1, 5, 7, 8)
        for name, numbers in points.items():
            found = check(name)
            for number in numbers:
                with self.subTest(trace=name, point=number):
                    self.assertIsInstance(found[number], verdicts.Holds)

    def test_paused_upstream_is_no_second_owner(self) -> None:
        """Guards against counting a late expiry line as ownership."""
        found = check('good-frozen-upstream')[1]
        self.assertIsInstance(found, verdicts.Holds)

    def test_late_grant_without_token_check_is_no_second_owner(self) -> None:
        """Guards against owners read from grants that nobody checks."""
        name = 'unchecked-late-grant'
        self.assertIsInstance(check(name)[1], verdicts.Broken)
        found = check(name, frozenset({'view'}))[1]
        self.assertIsInstance(found, verdicts.Holds)

    def test_stale_work_without_token_check_is_refused(self) -> None:
        """Guards against work of an owner that was replaced."""
        found = check('unchecked-stale-work', frozenset({'view'}))[1]
        assert isinstance(found, verdicts.Broken)
        self.assertIn(
            'u1 began work on a slice that u2 owned',
            found.violations[0].reason,
        )

    def test_tokens_of_two_groups_are_not_compared(self) -> None:
        """Guards against ordering terms of independent groups."""
        found = check('good-other-group')[1]
        self.assertIsInstance(found, verdicts.Holds)

    def test_silent_overlap_is_not_decidable(self) -> None:
        """Guards against a verdict that the traces do not support."""
        found = check('doubt-silent-upstream')[1]
        self.assertIsInstance(found, verdicts.Undecidable)

    def test_no_trace_decides_nothing(self) -> None:
        """Guards against `holds` without evidence."""
        for result in checker.check([]):
            self.assertIsInstance(result.verdict, verdicts.Undecidable)

    def test_grants_may_overlap_without_token_check(self) -> None:
        """Guards against holding such upstreams to their grants."""
        view = frozenset({'view'})
        found = check('bad-01-two-grants', view)[1]
        self.assertIsInstance(found, verdicts.Holds)
        found = check('bad-01-work-overlaps', view)[1]
        self.assertIsInstance(found, verdicts.Broken)

    def test_text_shows_the_events(self) -> None:
        """Guards against a verdict that cannot be followed up."""
        events = trace.read_trace(DATA / 'bad-07-ran-twice.jsonl')
        lines = text.result_lines(checker.check([events])[6])
        self.assertIn('broken (1 times)', lines[0])
        self.assertIn('1510 work_started request=r1', lines[2])
