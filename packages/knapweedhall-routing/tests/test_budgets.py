"""Tests of budgets that are divided among the instances."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from knapweedhall_routing import budgets

WINDOW_S = 10.0
RATIO = 0.2
EXTRA = 62.0


def max_in_window(times: list[float]) -> int:
    """Return the largest number of events in any window."""
    return max(
        (
            sum(begin <= at < begin + WINDOW_S for at in times)
            for begin in times
        ),
        default=0,
    )


class RetryBudgetTest(unittest.TestCase):
    """Retries of all instances together."""

    def retries(
        self, instances: int, per_s: float, seconds: int
    ) -> list[float]:
        """Return when retries were sent if each request needs three."""
        times = []
        for _ in range(instances):
            budget = budgets.RetryBudget(RATIO, EXTRA, WINDOW_S)
            budget.instances = instances
            for number in range(int(per_s / instances * seconds)):
                now = number * instances / per_s
                budget.earn(now)
                times += [now for _ in range(3) if budget.spend(now)]
        return times

    def test_all_instances_together_stay_within_the_budget(self) -> None:
        """Guards against a storm of retries during an overload."""
        for instances, per_s in ((1, 20.0), (11, 244.0), (11, 22.0)):
            with self.subTest(instances=instances, per_s=per_s):
                largest = max_in_window(self.retries(instances, per_s, 40))
                self.assertLessEqual(largest, RATIO * per_s * WINDOW_S + EXTRA)

    def test_budget_covers_a_move_of_keys(self) -> None:
        """Guards against a budget far below what the rules allow."""
        largest = max_in_window(self.retries(11, 244.0, 40))
        self.assertGreater(largest, RATIO * 244.0 * WINDOW_S / 4)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 3.0),
                strategies.integers(0, 30),
                strategies.floats(0.0, 1.0),
                strategies.integers(0, 10),
            ),
            max_size=40,
        )
    )
    def test_refusals_never_enlarge_the_budget(
        self, steps: list[tuple[float, int, float, int]]
    ) -> None:
        """Guards against a budget that refusals shift to later retries."""
        shrinking = budgets.RetryBudget(RATIO, EXTRA, WINDOW_S)
        full_size = budgets.RetryBudget(RATIO, EXTRA, WINDOW_S)
        now, spent, spent_in_full = 0.0, 0, 0
        for step_s, requests, refused_share, retries in steps:
            now += step_s
            for number in range(requests):
                shrinking.earn(now)
                full_size.earn(now)
                if number < refused_share * requests:
                    shrinking.record_refused()
            spent += sum(shrinking.spend(now) for _ in range(retries))
            spent_in_full += sum(full_size.spend(now) for _ in range(retries))
            self.assertLessEqual(spent, spent_in_full)

    def test_full_service_gets_no_retries(self) -> None:
        """Guards against retries that displace first attempts in a burst."""
        budget = budgets.RetryBudget(RATIO, EXTRA, WINDOW_S)
        for number in range(1500):
            now = number / 100
            budget.earn(now)
            # A burst of 1.7 times the capacity.
            if now >= 10 and number % 17 < 7:
                budget.record_refused()
            if now in (9.0, 12.0):
                self.assertEqual(now < 10, budget.spend(now), now)
        for number in range(300):
            budget.earn(15.0 + number / 100)
        self.assertTrue(budget.spend(18.0))


class ColdShareTest(unittest.TestCase):
    """Requests to an upstream in a cold start."""

    def test_shares_add_up(self) -> None:
        """Guards against instances that each use the whole budget."""
        for count in (1, 8, 11, 89):
            names = [f'instance-{number}' for number in range(count)]
            total = sum(
                budgets.cold_share('u', name, names, 9.1) for name in names
            )
            self.assertAlmostEqual(9.1, total, msg=str(count))

    def test_no_burst_in_one_second(self) -> None:
        """Guards against all instances sending within the same second."""
        names = [f'instance-{number}' for number in range(89)]
        sent = 0
        for name in names:
            budget = budgets.ColdBudget()
            per_s = budgets.cold_share('u', name, names, 9.1)
            sent += sum(budget.admit(step / 50, per_s) for step in range(50))
        self.assertLessEqual(sent, 9.1 * 1.5 + 5)
