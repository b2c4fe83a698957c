"""Tests of the checks between records of different kinds."""

from __future__ import annotations

import unittest

from knapweedhall_ownership import configuration
from knapweedhall_records import bodies

LIMITS = bodies.Limits(4, 100)


class ConsistencyTest(unittest.TestCase):
    """Guards against slice numbers with two meanings."""

    def setUp(self) -> None:
        self.store = configuration.Store()
        self.put('service', bodies.Service('divided', LIMITS, slices=4))

    def put(
        self, kind: str, body: bodies.Body, replaces: int = 0
    ) -> configuration.Outcome:
        offset = self.store.next_offset
        record = bodies.Record(
            kind, 2, 'a', replaces + 1, replaces, 'op', 1, offset, body
        )
        return self.store.apply(offset, record)

    def test_plan_of_another_length_is_refused(self) -> None:
        """Guards against a plan that leaves slices without an owner."""
        short = self.put('plan', bodies.Plan(('u',), ((0,),)))
        self.assertIsInstance(short, configuration.Refused)
        whole = self.put('plan', bodies.Plan(('u',), ((0,),) * 4))
        self.assertIsInstance(whole, configuration.InForce)

    def test_number_of_slices_is_fixed(self) -> None:
        """Guards against two instances that hash a key differently."""
        more = bodies.Service('divided', LIMITS, slices=8)
        outcome = self.put('service', more, replaces=1)
        self.assertIsInstance(outcome, configuration.Refused)
        same = bodies.Service('divided', LIMITS, slices=4, hedging=True)
        outcome = self.put('service', same, replaces=1)
        self.assertIsInstance(outcome, configuration.InForce)
