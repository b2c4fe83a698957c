"""Tests of cold-start detection and the cold budget."""

from __future__ import annotations

import unittest

from knapweedhall_traffic import cold
from knapweedhall_traffic import limits

WARM = cold.Sample(0.01, 1)


def warmed() -> cold.ColdState:
    state = cold.ColdState()
    for _ in range(20):
        state.answer(WARM, 8, 1)
    return state


class DetectionTest(unittest.TestCase):
    def test_signs(self) -> None:
        """Guards against a missed sign of a cold start."""
        for sample, sign in (
            (WARM._replace(says_cold=True), 'says-cold'),
            (WARM._replace(sheds=True), 'shed'),
            (WARM._replace(incarnation=b'2'), 'new-incarnation'),
        ):
            with self.subTest(sign):
                state = warmed()
                state.answer(WARM._replace(incarnation=b'1'), 8, 1)
                self.assertEqual(sign, state.answer(sample, 8, 1))
                self.assertEqual(1, state.allowed(8, 1))

    def test_refused_then_accepted(self) -> None:
        """Guards against full load on an upstream that just came back."""
        state = warmed()
        self.assertEqual('', state.connect_accepted(1))
        state.connect_refused()
        self.assertEqual('refused-then-accepted', state.connect_accepted(1))
        self.assertEqual('', state.connect_accepted(1))

    def test_latency_jump(self) -> None:
        """Guards against taking outliers, queues or own pauses for a start."""
        slow = cold.Sample(0.05, 1)
        state = warmed()
        signs = [
            state.answer(slow._replace(sent=sent), 8, 1)
            for sent in (1.0, 1.04, 1.05, 1.06, 1.1)
        ]
        self.assertEqual(['', '', '', '', 'latency'], signs)
        paused = slow._replace(pause=0.03)
        state = warmed()
        signs = [
            state.answer(paused._replace(sent=sent), 8, 1)
            for sent in (1.0, 1.1, 1.2, 1.3)
        ]
        self.assertEqual([''] * 4, signs)
        state = warmed()
        busy = [state.answer(slow._replace(outstanding=8), 8, 1)] * 9
        self.assertEqual([''] * 9, busy)


class GrowthTest(unittest.TestCase):
    def grow(self, state: cold.ColdState, sample: cold.Sample) -> list[int]:
        sizes = []
        for _ in range(16):
            state.answer(sample, 8, 1)
            sizes.append(state.allowed(8, 1))
        return sizes

    def test_doubles_after_sixteen_good_answers(self) -> None:
        """Guards against a budget that grows too fast or never."""
        state = warmed()
        state.answer(WARM._replace(says_cold=True), 8, 1)
        sizes = [self.grow(state, WARM)[-1] for _ in range(3)]
        self.assertEqual([2, 4, 8], sizes)
        self.assertEqual([1] * 15, self.grow_first())
        self.assertTrue(state.cold)
        self.grow(state, WARM._replace(says_cold=True))
        self.assertTrue(state.cold)
        self.grow(state, WARM)
        self.assertFalse(state.cold)

    def grow_first(self) -> list[int]:
        state = warmed()
        state.answer(WARM._replace(says_cold=True), 8, 1)
        return self.grow(state, WARM)[:-1]

    def test_slow_answers_do_not_grow_it(self) -> None:
        """Guards against more load while the upstream is still slow."""
        state = warmed()
        state.answer(WARM._replace(says_cold=True), 8, 1)
        self.assertEqual([1] * 16, self.grow(state, cold.Sample(0.03, 1)))

    def test_lasting_slowness_becomes_warm(self) -> None:
        """Guards against a cold budget that never ends."""
        state = warmed()
        state.answer(WARM._replace(says_cold=True), 8, 1)
        for _ in range(12):
            self.grow(state, cold.Sample(0.03, 1))
        self.assertFalse(state.cold)

    def test_shedding_shrinks_it(self) -> None:
        """Guards against growth in spite of refusals."""
        state = warmed()
        state.answer(WARM._replace(says_cold=True), 8, 1)
        for _ in range(2):
            self.grow(state, WARM)
        state.answer(WARM._replace(sheds=True), 8, 1)
        self.assertEqual(2, state.allowed(8, 1))

    def test_no_cold_share_sends_nothing(self) -> None:
        """Guards against a sum of budgets above what the upstream bears."""
        state = warmed()
        state.answer(WARM._replace(says_cold=True), 8, 0)
        self.assertEqual(0, state.allowed(8, 0))
        self.assertEqual(1, state.allowed(8, 1))


class LimitsTest(unittest.TestCase):
    def test_share(self) -> None:
        """Guards against more requests than slots or connections."""
        share = limits.UpstreamLimits()
        self.assertFalse(share.admit())
        share.set_share(3, 2, 1)
        self.assertEqual(
            [True, True, False], [share.admit() for _ in range(3)]
        )
        share.set_share(1, 8, 1)
        share.finish()
        self.assertFalse(share.admit())
        share.finish()
        self.assertTrue(share.admit())

    def test_work_that_cannot_finish(self) -> None:
        """Guards against late work, and against refusing it for ever."""
        share = limits.UpstreamLimits()
        share.set_share(4, 4, 1)
        self.assertTrue(share.can_finish(10.0, 10.01))
        share.answer(cold.Sample(0.5, 1), 10.0)
        self.assertFalse(share.can_finish(10.1, 10.2))
        self.assertTrue(share.can_finish(10.1, 10.7))
        self.assertTrue(share.can_finish(11.1, 11.2))
        self.assertFalse(share.can_finish(11.1, 11.1))
