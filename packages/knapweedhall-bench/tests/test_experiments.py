"""Tests of the experiments' figures, calls and targets."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_bench.experiments import figures
from knapweedhall_bench.experiments import profiles
from knapweedhall_bench.experiments import report
from knapweedhall_bench.experiments import scenarios
from knapweedhall_bench.experiments import targets
from knapweedhall_bench import results
from knapweedhall_events import catalogue
from knapweedhall_events import trace


def event(
    at_s: float, process: str, kind: str, **fields: typing.Any
) -> trace.Event:
    """Return an event of a trace."""
    number = catalogue.BY_NAME[kind].number
    return trace.Event(number, process, 0, at_s, at_s, fields)


def work(at_s: float, upstream: str, key: str = '') -> trace.Event:
    """Return the start of work."""
    return event(
        at_s, upstream, 'work_started', service='s', upstream=upstream, key=key
    )


def call(key: str, outcome: str, due_s: float) -> results.Finished:
    """Return a call that took 0.5 s."""
    return results.Finished(
        'r', key, True, 't', outcome, 200, True, True, due_s, due_s + 0.5
    )


class FiguresTest(unittest.TestCase):
    """Guards against figures that flatter the system."""

    def test_idle_upstreams_count_as_imbalance(self) -> None:
        """Guards against a mean over the upstreams that had work only."""
        counts = figures.work_by_upstream([work(0, 'a'), work(1, 'a')], 's')
        self.assertEqual(figures.imbalance(counts, 4), 4.0)

    def test_hottest_key_is_compared_with_what_must_be_beside_it(self) -> None:
        """Guards against blaming the placement for the key's own load."""
        alone = [work(0, 'a', 'hot')] * 6 + [work(0, 'b')] * 2
        self.assertEqual(figures.hottest_ratio(alone, 's', 'hot', 2), 1.0)
        shared = alone + [work(0, 'a', 'x')] * 6
        self.assertEqual(figures.hottest_ratio(shared, 's', 'hot', 2), 12 / 7)

    def test_unserved_time_ends_with_a_later_answer(self) -> None:
        """Guards against an outage that an earlier slow answer ends."""
        calls = [
            call('k', results.ANSWERED, 0.9),
            call('k', results.NOT_RUN, 1.0),
            call('k', results.UNKNOWN, 2.0),
            call('k', results.ANSWERED, 3.0),
            call('other', results.NOT_RUN, 4.0),
        ]
        self.assertEqual(figures.unavailable_key_s(calls, 5.0), 2.5 + 1.0)

    def test_a_slice_that_returns_counts_as_two_moves(self) -> None:
        """Guards against churn that is hidden by its end state."""

        def grant(upstream: str, numbers: list[int]) -> trace.Event:
            return event(
                0,
                upstream,
                'grant_accepted',
                service='s',
                upstream=upstream,
                slices=numbers,
            )

        before, moves = figures.owners_after([grant('a', [1, 2])], 's')
        self.assertEqual(moves, [])
        later = [grant('b', [1]), grant('a', [1]), grant('a', [2])]
        _, moves = figures.owners_after(later, 's', before)
        self.assertEqual(moves, [1, 1])
        self.assertEqual(figures.churn(moves, 0, [], 4).slices_share, 0.25)

    def test_cold_peak_counts_what_all_instances_sent(self) -> None:
        """Guards against a budget that only holds per instance."""

        def sent(at_s: float, process: str, request: str) -> trace.Event:
            return event(
                at_s, process, 'request_sent', request=request, upstream='u'
            )

        events = [
            event(0, 'u', 'cold_started', upstream='u', bears=1),
            sent(0.1, 'one', 'a'),
            sent(0.2, 'two', 'b'),
            event(0.3, 'one', 'request_answered', request='a'),
            event(0.3, 'one', 'upstream_cold', upstream='u'),
            event(0.4, 'u', 'work_refused', upstream='u', reason='cold'),
            event(0.4, 'two', 'request_not_run', request='b'),
            sent(0.5, 'one', 'c'),
            sent(9.0, 'two', 'late'),
            sent(9.0, 'three', 'late'),
        ]
        self.assertEqual(
            figures.cold_loads(events, 3.0),
            [figures.Cold('u', 1, 2, 1, 1, 300.0)],
        )


class ScenariosTest(unittest.TestCase):
    """Guards against scenarios that are not what the report says."""

    def test_calls_repeat_with_their_seed_and_have_unique_ids(self) -> None:
        """Guards against runs that cannot be compared."""
        for profile in profiles.ALL.values():
            for scenario in scenarios.ALL.values():
                with self.subTest(profile.name, scenario=scenario.name):
                    calls = scenario.calls(profile, 4.0, 1)
                    self.assertEqual(calls, scenario.calls(profile, 4.0, 1))
                    ids = {each.request for each in calls}
                    self.assertEqual(len(ids), len(calls))
                    times = [each.at_s for each in calls]
                    self.assertEqual(times, sorted(times))

    def test_overload_is_twice_the_capacity(self) -> None:
        """Guards against an overload that leaves slots idle."""
        for profile in profiles.ALL.values():
            calls = scenarios.overload_calls(profile, 20.0, 1)
            work_ms = len(calls) * profile.overload_work_ms()
            slots = profile.upstreams[profile.overloaded] * profile.slots
            self.assertAlmostEqual(work_ms / 20_000 / slots, 2, delta=0.2)


class TargetsTest(unittest.TestCase):
    """Guards against targets that are reported as met without being so."""

    def test_each_miss_is_reported(self) -> None:
        """Guards against a comparison that is the wrong way round."""
        bad = report.ServiceFigures(
            imbalance=1,
            churn=figures.Churn(14, 10, 0, 0),
            hottest=[1.0, 1.6],
            answered=1,
            not_run=0,
            unknown=1,
            cut=0,
            wrong=0,
            done_twice=1,
            repeated=0,
            refused_but_run=0,
            customers={},
            unavailable_key_s=0,
            longest_unserved_ms=2001,
            latencies=figures.Latencies(1, 10, 10),
        )
        cold = figures.Cold('u', 1, 2, 1, 0, None)
        found = report.ScenarioFigures(
            'p', report.DOMAIN_OUT, 'random', 1, {'s': bad}, [cold]
        )
        judged = targets.judge(found)
        self.assertEqual(len(judged), 6)
        self.assertFalse([each for each in judged if each.met])
        slow = bad._replace(latencies=figures.Latencies(1, 21, 21))
        slowed = found._replace(services={'s': slow})
        self.assertFalse(targets.judge_policy(found, slowed)[0].met)
        self.assertTrue(targets.judge_policy(found, found)[0].met)


if __name__ == '__main__':
    unittest.main()
