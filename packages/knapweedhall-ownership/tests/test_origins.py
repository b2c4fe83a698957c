"""Tests of slices that change their direction between groups."""

from __future__ import annotations

import unittest

from knapweedhall_ownership import origins
from knapweedhall_records import bodies

GROUPS = {'a': 'd0', 'b': 'd1', 'c': 'd2'}


def plan(owner: int, origin: bodies.Origin | None = None) -> bodies.Plan:
    """Return a plan with one slice."""
    origins = {0: origin} if origin else {}
    return bodies.Plan(tuple(GROUPS), ((owner,),), {}, origins)


class OriginTest(unittest.TestCase):
    """Guards against slices without an owner, and with two."""

    def mark(
        self, wanted: bodies.Plan, previous: bodies.Plan
    ) -> dict[int, bodies.Origin]:
        return origins.mark_origins(
            wanted, {0: 3}, previous, GROUPS, lambda number, origin: False
        ).origins

    def test_slice_that_goes_back_waits_for_the_group_between(self) -> None:
        """Guards against a group that waits for its own release.

        It kept the slice and so never released it: the slices that left with
        it stayed without an owner.
        """
        previous = plan(1, origin=bodies.Origin('d0', 2))
        self.assertEqual(
            self.mark(plan(0), previous), {0: bodies.Origin('d1', 3)}
        )

    def test_slice_that_waits_is_not_given_to_a_third_group(self) -> None:
        """Guards against an owner that waits for one of two groups only."""
        previous = plan(1, origin=bodies.Origin('d0', 2))
        kept = origins.keep_in_flight(
            plan(2), previous, GROUPS, lambda number, origin: False
        )
        self.assertEqual(kept.slices, ((0,),))

    def test_released_slice_may_go_to_a_third_group(self) -> None:
        """Guards against slices that never move again."""
        previous = plan(1, origin=bodies.Origin('d0', 2))
        kept = origins.keep_in_flight(
            plan(2), previous, GROUPS, lambda number, origin: True
        )
        self.assertEqual(kept.slices, ((2,),))
