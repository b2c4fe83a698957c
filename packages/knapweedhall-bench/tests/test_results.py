"""Tests of the figures and of the evidence from traces."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_bench import demo
from knapweedhall_bench import evidence
from knapweedhall_bench import results
from knapweedhall_events import catalogue
from knapweedhall_events import trace
from knapweedhall_replay import checker
from knapweedhall_replay import verdicts


def _call(
    due_s: float,
    ended_s: float,
    outcome: str = results.ANSWERED,
    request: str = 'r',
    **fields: typing.Any,
) -> results.Finished:
    call = results.Finished(
        request, 'k', False, 't', outcome, 200, True, True, due_s, ended_s
    )
    return call._replace(**fields)


def _event(name: str, at_s: float, **fields: typing.Any) -> trace.Event:
    number = catalogue.BY_NAME[name].number
    return trace.Event(number, 'u', 1, at_s, at_s, fields)


class SummaryTest(unittest.TestCase):
    """The demo's verdict depends on these figures."""

    def test_unserved_time_lasts_until_the_next_answer(self) -> None:
        """Guards against refusals that shorten the unserved time."""
        calls = [
            _call(0, 0.1),
            _call(1, 1.01, results.NOT_RUN),
            _call(2, 2.01, results.UNKNOWN),
            _call(2.4, 2.5),
        ]
        self.assertAlmostEqual(1.5, results.unserved_s(calls, 9))
        self.assertAlmostEqual(8, results.unserved_s(calls[:2], 9))

    def test_counts_and_percentiles(self) -> None:
        """Guards against outcomes that are counted as another one."""
        calls = [_call(0, 0.1) for _ in range(98)]
        calls += [_call(0, 0.5), _call(0, 0.5, matches=False)]
        calls.append(_call(0, 3, results.LOST))
        summary = results.summarize(calls, 3)
        self.assertEqual(101, summary.requests)
        self.assertEqual(100, summary.counts[results.ANSWERED])
        self.assertEqual(1, summary.counts[results.LOST])
        self.assertEqual(1, summary.wrong)
        self.assertAlmostEqual(100, summary.p50_ms, delta=1)
        self.assertAlmostEqual(500, summary.p99_ms, delta=5)


class EvidenceTest(unittest.TestCase):
    """Callers cannot see doubled work; only upstreams can."""

    def _starts(self, *requests: str) -> list[trace.Event]:
        return [
            _event('work_started', at_s, request=request)
            for at_s, request in enumerate(requests)
        ]

    def test_doubled_and_repeated_work(self) -> None:
        """Guards against repeated work that goes unnoticed."""
        calls = [
            _call(0, 1, request='post'),
            _call(0, 1, request='get', idempotent=True),
            _call(0, 1, request='once'),
        ]
        events = self._starts('post', 'get', 'once', 'post', 'get')
        found = evidence.examine(events, calls)
        self.assertEqual(['post'], found.doubled)
        self.assertEqual(['get'], found.repeated)

    def test_refusal_of_a_request_that_ran(self) -> None:
        """Guards against a false 'not run'."""
        calls = [_call(0, 1, results.NOT_RUN)]
        found = evidence.examine(self._starts('r'), calls)
        self.assertEqual(['r'], found.refused_but_run)

    def test_moves_count_changes_of_the_owner(self) -> None:
        """Guards against renewed grants that count as moves."""
        events = [
            _event(
                'grant_accepted',
                at_s,
                group='domain/d',
                service='s',
                upstream=upstream,
                slices=[1, 2],
            )
            for at_s, upstream in enumerate(('a', 'a', 'b'))
        ]
        self.assertEqual(2, evidence.examine(events, []).slices_moved)


class VerdictTest(unittest.TestCase):
    """The demo must fail when a guarantee is broken."""

    def test_each_broken_guarantee_fails_the_demo(self) -> None:
        """Guards against a demo that passes whatever happens."""
        good = [_call(0, 1)]
        cases = (
            (good, evidence.Evidence([], [], [], 0), 0),
            (good, evidence.Evidence(['r'], [], [], 0), 1),
            (good, evidence.Evidence([], ['r'], [], 0), 0),
            (good, evidence.Evidence([], [], ['r'], 0), 1),
            ([_call(0, 1, whole=False)], evidence.Evidence([], [], [], 0), 1),
            (
                good + [_call(0, 1, results.LOST)],
                evidence.Evidence([], [], [], 0),
                1,
            ),
            (
                good + [_call(0, 1, results.UNKNOWN)],
                evidence.Evidence([], [], [], 0),
                0,
            ),
            ([], evidence.Evidence([], [], [], 0), 1),
        )
        for calls, found, expected in cases:
            summary = results.summarize(calls, 1)
            outcome = demo.Outcome(summary, found, 'u', [])
            failures = demo.list_failures(outcome)
            self.assertEqual(expected, len(failures), (calls, found))
            self.assertIn('slices moved', demo.format_table(outcome))

    def test_broken_point_fails_the_demo(self) -> None:
        """Guards against a demo that ignores the trace checker."""
        summary = results.summarize([_call(0, 1)], 1)
        found = evidence.Evidence([], [], [], 0)
        violations = (verdicts.Violation('two owners', ()),)
        broken = checker.Result(1, 'one owner', verdicts.Broken(violations))
        outcome = demo.Outcome(summary, found, 'u', [broken])
        self.assertEqual(['point 1: two owners'], demo.list_failures(outcome))
        self.assertIn('1 broken', demo.format_table(outcome))
