"""Tests of the soak's checker: one case for each broken invariant."""

from __future__ import annotations

import json
import math
import pathlib
import tempfile
import unittest
from unittest import mock

from knapweedhall_bench import callers
from knapweedhall_bench import checker
from knapweedhall_bench import soak

ORDER = callers.Result('o1', 'r', 'orders', False, None, 1.0, 1.1, 200, True)


def grant(
    upstream: str, begin: float, end: float, fence: int
) -> checker.GrantPeriod:
    """Return a grant of all keys."""
    return checker.GrantPeriod(0, 65535, fence, begin, end, upstream)


class CheckerTest(unittest.TestCase):
    """Invariants that hold or are broken."""

    def broken_invariants(
        self,
        result: callers.Result,
        runs: list[checker.Run],
        grants: list[checker.GrantPeriod],
    ) -> list[str]:
        """Return the names of the broken invariants."""
        violations = checker.check(
            [result], checker.UpstreamActivity(runs, grants)
        )
        return [violation.invariant for violation in violations]

    def test_caller_keys(self) -> None:
        """Guards against a withdrawn key whose use is not reported."""

        def broken(key: str, in_touch: bool = True, **changes: object) -> str:
            result = ORDER._replace(caller_key=key, **changes)
            violations = checker.check_caller_keys(
                [result],
                checker.UpstreamActivity([], []),
                (10.0, 30.0),
                lambda *arguments: in_touch,
            )
            return ''.join(each.invariant for each in violations)

        late = {'sent_at': 13.1, 'ended_at': 13.2}
        withdrawn = callers.WITHDRAWN_KEY
        self.assertEqual('withdrawn key', broken(withdrawn, **late))
        self.assertEqual('', broken(withdrawn, False, **late))
        self.assertEqual('', broken(withdrawn, status=401, **late))
        self.assertEqual('', broken(withdrawn, sent_at=12.9, ended_at=13.2))
        # The store was restored meanwhile.
        self.assertEqual('', broken(withdrawn, sent_at=29.9, ended_at=30.1))
        self.assertEqual('unknown key', broken(callers.UNKNOWN_KEY))
        self.assertEqual('', broken(callers.UNKNOWN_KEY, status=503))
        self.assertEqual('known key', broken(callers.KEY, status=401))
        self.assertEqual('', broken(callers.KEY))

    def test_no_violation(self) -> None:
        """Guards against false reports of violations."""
        runs = [checker.Run(1.0, 'a', 'o1', None)]
        grants = [grant('a', 0.0, 2.0, 1), grant('b', 2.0, 4.0, 2)]
        self.assertEqual([], self.broken_invariants(ORDER, runs, grants))

    def test_each_violation(self) -> None:
        """Guards against violations that the checker doesn't report."""
        run = checker.Run(1.0, 'a', 'o1', None)
        self.assertEqual(
            ['at most once'], self.broken_invariants(ORDER, [run, run], [])
        )
        refused = ORDER._replace(status=503)
        self.assertEqual(
            ['refused means not run'],
            self.broken_invariants(refused, [run], []),
        )
        wrong = ORDER._replace(right=False)
        self.assertEqual(
            ['whole answer'], self.broken_invariants(wrong, [run], [])
        )
        grants = [grant('a', 0.0, 3.0, 5), grant('b', 1.0, 4.0, 6)]
        runs = [checker.Run(2.0, 'a', 'x', 9), checker.Run(2.1, 'b', 'y', 9)]
        self.assertEqual(
            ['one owner'], self.broken_invariants(ORDER, runs, grants)
        )
        grants = [grant('a', 0.0, 1.0, 5), grant('b', 1.0, 4.0, 5)]
        self.assertEqual(
            ['rising tokens'], self.broken_invariants(ORDER, [], grants)
        )

    def test_requests_to_a_leaving_upstream(self) -> None:
        """Guards against a missed request after a notice, and false ones."""
        runs = [
            checker.Run(1.05, 'a', 'o1', None),
            checker.Run(2.5, 'a', 'o2', None),
            checker.Run(3.5, 'a', 'o3', None),
        ]
        results = [
            ORDER,
            ORDER._replace(request='o2', sent_at=2.4, ended_at=2.6),
            ORDER._replace(request='o3', sent_at=3.4, ended_at=3.6),
        ]
        activity = checker.UpstreamActivity(
            runs, [], [], {'a': [(0.5, math.inf)]}
        )
        found = checker.check_notices(results, activity, lambda *_: True)
        self.assertEqual(['leaving upstream'], [each[0] for each in found])
        self.assertEqual(
            [], checker.check_notices(results, activity, lambda *_: False)
        )
        unaware = activity._replace(leaving={'a': [(2.0, math.inf)]})
        self.assertEqual(
            [], checker.check_notices(results, unaware, lambda *_: True)
        )

    def test_notice_of_an_earlier_process(self) -> None:
        """Guards against a report of requests to the next process of a name.

        In seeds 910002, 910003, 930006 and 930009 an upstream that had said
        that it leaves was killed and started again under its name.
        """
        events: list[dict[str, object]] = [
            {'at': 0.1, 'event': 'started'},
            {'at': 0.5, 'event': 'trouble', 'leaving': True},
            {'at': 1.05, 'event': 'run', 'request': 'o1', 'key': None},
            {'at': 1.2, 'event': 'started'},
            {'at': 3.5, 'event': 'run', 'request': 'o2', 'key': None},
        ]
        results = [
            ORDER,
            ORDER._replace(request='o2', sent_at=3.4, ended_at=3.6),
        ]
        for expected in (0, 1):
            with tempfile.TemporaryDirectory() as folder:
                log = pathlib.Path(folder) / 'a.log'
                log.write_text('\n'.join(map(json.dumps, events)))
                activity = checker.read_logs(log.parent, ['a'])
            found = checker.check_notices(results, activity, lambda *_: True)
            self.assertEqual(expected, len(found))
            # Without the start, the same process is still leaving.
            del events[3]

    def test_requests_during_a_pause(self) -> None:
        """Guards against a missed request during a pause, and false ones."""
        times = (1.0, 1.2, 1.7, 1.9, 2.1)
        refusals = [
            checker.Refusal(at, 'a', f'o{at}', 2.0) for at in times[:1]
        ]
        runs = [checker.Run(at, 'a', f'o{at}', None) for at in times[1:]]
        results = [ORDER._replace(request=f'o{at}') for at in times]
        activity = checker.UpstreamActivity(runs, [], refusals)
        found = checker.check_notices(results, activity, lambda *_: True)
        self.assertEqual(['pause'], [each[0] for each in found])
        fewer = activity._replace(runs=runs[:-1])
        self.assertEqual(
            [], checker.check_notices(results, fewer, lambda *_: True)
        )

    def test_requests_that_a_stop_gives_up(self) -> None:
        """Guards against a missed 504 in a stop, and false ones."""
        given_up = ORDER._replace(
            host='x', sent_at=1.0, ended_at=4.0, status=504, deadline=7.0
        )
        activity = checker.UpstreamActivity(
            [checker.Run(1.05, 'a', 'o1', None)], []
        )
        for expected, result, signal_at in (
            (1, given_up, 0.5),
            # Without a signal, after the time limit, from the upstream, or
            # not run.
            (0, given_up, 5.0),
            (0, given_up._replace(deadline=4.0), 0.5),
            (0, given_up._replace(signed=True), 0.5),
            (0, given_up._replace(request='o2'), 0.5),
            # The last sixth of the grace time excuses requests of the first
            # 3 s only.
            (0, given_up._replace(ended_at=5.6), 0.5),
            (1, given_up._replace(sent_at=3.6, ended_at=5.6), 0.5),
        ):
            with self.subTest(result=result):
                for broken, names in (
                    (expected, ()),
                    (0, ('a',)),
                    (0, ('r',)),
                ):
                    found = checker.check_stops(
                        [result],
                        activity,
                        {'r': [signal_at]},
                        lambda name, *_: name not in names,
                    )
                    self.assertEqual(broken, len(found))

    def test_responses_that_end_early(self) -> None:
        """Guards against a missed cut response, and false ones."""
        run = soak.Soak(soak.SMALL, 1, pathlib.Path())
        cut = ORDER._replace(status=0, deadline=2.5)
        activity = checker.UpstreamActivity(
            [checker.Run(1.05, 'a', 'o1', None)], []
        )
        began = cut._replace(began=True)
        late = began._replace(ended_at=2.6)
        by_upstream = activity._replace(cut=frozenset(('o1',)))
        gave_up = cut._replace(gave_up=True)
        for expected, result, seen in (
            (1, cut, activity),
            (1, began, activity),
            (0, late, activity),
            # In seed 990061, a probe did not wait until its time limit. Later
            # than that, the router should have answered.
            (0, gave_up, activity),
            (1, gave_up._replace(ended_at=2.6), activity),
            # The router reads a response before it answers, also with 502.
            (1, cut, by_upstream),
            (1, began, by_upstream),
        ):
            with self.subTest(result=result):
                self.assertEqual(
                    expected, len(run._check_cut_requests([result], seen))
                )
        run.disruptions['a'].append((1.0, 2.0))
        for result in (cut, began):
            self.assertEqual(
                1, len(run._check_cut_requests([result], activity))
            )

    def test_requests_sent_while_the_soak_stands_still(self) -> None:
        """Guards against a lost request that only its caller noticed late.

        In seed 990083 the soak's process stood still for 0.7 s as a stop
        closed the connection. A wait of the caller itself is no reason.
        """
        late = ORDER._replace(status=0, sent_whole_at=1.0, ended_at=1.7)
        for broken, stalls in (
            (1, []),
            (0, [(1.05, 1.7)]),
            (0, [(0.5, 1.3), (1.4, 2.0)]),
            (1, [(0.5, 1.3)]),
        ):
            with self.subTest(stalls=stalls):
                run = soak.Soak(soak.SMALL, 1, pathlib.Path())
                run.stalls = stalls
                link = mock.Mock(undelivered=[], refused=[])
                run.deployment = mock.Mock()
                run.deployment.routers = {'r': mock.Mock(front=link)}
                activity = checker.UpstreamActivity([], [])
                found = run._check_cut_requests([late], activity)
                self.assertEqual(broken, len(found))

    def test_requests_in_the_link_at_a_close(self) -> None:
        """Guards against a request that counts as lost before it arrived.

        In seed 970009, a full link held requests when their router closed
        idle connections. Any other request without an answer is cut.
        """
        late = ORDER._replace(status=0, sent_whole_at=1.0, ended_at=1.5)
        runs = [checker.Run(1.05, 'a', 'o1', None)]
        head, body = b'X-Attempt-Id: o1\r\n', b'rest of a body'
        for broken, undelivered, refused, signal_at, seen in (
            (0, head, b'', 0.5, []),
            (1, body, body, 0.5, []),
            (1, head, b'', 1.6, []),
            (1, head, b'', 0.5, runs),
            # In seed 990040, the process had ended.
            (0, b'', head, 1.6, []),
            (1, b'', head, 1.6, runs),
        ):
            with self.subTest(undelivered=undelivered, signal_at=signal_at):
                run = soak.Soak(soak.SMALL, 1, pathlib.Path())
                run._log = mock.Mock()
                run.signalled_at['r'] = [signal_at]
                run.deployment = mock.Mock()
                link = mock.Mock(undelivered=[undelivered], refused=[refused])
                run.deployment.routers = {'r': mock.Mock(front=link)}
                activity = checker.UpstreamActivity(seen, [])
                found = run._check_cut_requests([late], activity)
                self.assertEqual(broken, len(found))

    def test_hosts_that_the_configuration_has(self) -> None:
        """Guards against a missed 404 for a confirmed host, and false ones."""
        missing = ORDER._replace(
            host='h', sent_at=5.0, ended_at=5.1, status=404
        )
        for expected, host, confirmed, in_touch in (
            (1, 'h', (2.0, math.inf), True),
            (0, 'h', (2.0, math.inf), False),
            # Confirmed less than 2 s before, or lost by the store since.
            (0, 'h', (3.5, math.inf), True),
            (0, 'h', (2.0, 4.0), True),
            # A host of the first configuration.
            (1, 'orders', (2.0, math.inf), False),
        ):
            with self.subTest(host=host, confirmed=confirmed):
                result = missing._replace(host=host)
                found = checker.check_configurations(
                    [result], {'h': confirmed}, lambda *_: in_touch
                )
                self.assertEqual(expected, len(found))
        # An upstream's own response.
        found = checker.check_configurations(
            [missing._replace(signed=True)],
            {'h': (2.0, math.inf)},
            lambda *_: True,
        )
        self.assertEqual([], found)

    def test_pause_of_an_earlier_process(self) -> None:
        """Guards against a report of requests to the next process of a name.

        In seed 970006 an upstream that had asked for a pause was killed and
        started again under its name. The new process had asked for none.
        """
        events: list[dict[str, object]] = [
            {'at': 0.1, 'event': 'started'},
            {
                'at': 1.0,
                'event': 'turned_away',
                'request': 'o0',
                'pause_s': 2.0,
            },
            {'at': 1.6, 'event': 'started'},
        ]
        events += [
            {'at': at, 'event': 'run', 'request': f'o{at}', 'key': None}
            for at in (1.7, 1.8, 1.9)
        ]
        results = [
            ORDER._replace(request=request)
            for request in ('o0', 'o1.7', 'o1.8', 'o1.9')
        ]
        for expected in (0, 1):
            with tempfile.TemporaryDirectory() as folder:
                log = pathlib.Path(folder) / 'a.log'
                log.write_text('\n'.join(map(json.dumps, events)))
                activity = checker.read_logs(log.parent, ['a'])
            found = checker.check_notices(results, activity, lambda *_: True)
            self.assertEqual(expected, len(found))
            # Without the start, the process that asked is still running.
            del events[2]
