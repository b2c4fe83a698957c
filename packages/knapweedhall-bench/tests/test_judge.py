"""Tests of the judge of the soak, with one broken promise each."""

from __future__ import annotations

import unittest

from knapweedhall_bench import callers
from knapweedhall_bench import judge

ORDER = callers.Told('o1', 'r', 'orders', False, None, 1.0, 1.1, 200, True)


def hold(upstream: str, begin: float, end: float, fence: int) -> judge.Hold:
    """Return a hold of all keys."""
    return judge.Hold(0, 65535, fence, begin, end, upstream)


class JudgeTest(unittest.TestCase):
    """Promises that are kept or broken."""

    def promises(
        self,
        told: callers.Told,
        runs: list[judge.Run],
        holds: list[judge.Hold],
    ) -> list[str]:
        """Return the names of the broken promises."""
        found = judge.judge([told], judge.Evidence(runs, holds))
        return [one.promise for one in found]

    def test_nothing_is_broken(self) -> None:
        """Guards against a judge that cries wolf."""
        runs = [judge.Run(1.0, 'a', 'o1', None)]
        holds = [hold('a', 0.0, 2.0, 1), hold('b', 2.0, 4.0, 2)]
        self.assertEqual([], self.promises(ORDER, runs, holds))

    def test_broken_promises(self) -> None:
        """Guards against a judge that sees nothing."""
        run = judge.Run(1.0, 'a', 'o1', None)
        self.assertEqual(
            ['at most once'], self.promises(ORDER, [run, run], [])
        )
        refused = ORDER._replace(status=503)
        self.assertEqual(
            ['refused means not run'], self.promises(refused, [run], [])
        )
        wrong = ORDER._replace(right=False)
        self.assertEqual(['whole answer'], self.promises(wrong, [run], []))
        holds = [hold('a', 0.0, 3.0, 5), hold('b', 1.0, 4.0, 6)]
        runs = [judge.Run(2.0, 'a', 'x', 9), judge.Run(2.1, 'b', 'y', 9)]
        self.assertEqual(['one owner'], self.promises(ORDER, runs, holds))
        holds = [hold('a', 0.0, 1.0, 5), hold('b', 1.0, 4.0, 5)]
        self.assertEqual(['rising tokens'], self.promises(ORDER, [], holds))
