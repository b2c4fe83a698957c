"""Tests of which conditions instances are told."""

from __future__ import annotations

import unittest

from knapweedhall_routing import announcements
from knapweedhall_routing import concurrency
from knapweedhall_routing import load
from knapweedhall_routing import model

ADDRESS = model.Address('127.0.0.1', 9)
COUNT = 200


class AnnouncementsTest(unittest.TestCase):
    """Conditions of 200 upstreams."""

    def setUp(self) -> None:
        """Begin a term."""
        names = [f'u{number}' for number in range(COUNT)]
        self.limits = concurrency.Limits()
        self.limits.list_upstreams(
            {
                name: model.Upstream(name, ADDRESS, 's', 'a', 6, False, 0.0, 1)
                for name in names
            }
        )
        self.told = announcements.Announcements()
        self.now = 100.0

    def changes(
        self, loads: dict[str, int], instances: int = 10
    ) -> list[announcements.Change]:
        """Report loads and return what is announced."""
        self.now += 0.3
        samples = {
            name: load.Sample(6, 300, stated, 6, 100)
            for name, stated in loads.items()
        }
        self.limits.add_report('i', samples, {}, False, self.now)
        self.limits.learn(self.now)
        return self.told.changes(self.limits, instances, self.now)

    def test_only_what_changed_near_a_limit(self) -> None:
        """Guards against bytes for upstreams that are as usual."""
        first = self.changes({'u0': 3, 'u1': 8})
        self.assertEqual([(0, 'u1')], [change[:2] for change in first])
        self.assertEqual([], self.changes({'u0': 3, 'u1': 8}))
        again = self.changes({'u1': 20})
        self.assertEqual([(0, '')], [change[:2] for change in again])
        self.assertEqual('u1', self.told.all()[0].name)
        last: list[announcements.Change] = []
        for _ in range(int(concurrency.NOTABLE_S / 0.3) + 10):
            last = self.changes({'u1': 0}) or last
        self.assertEqual([(0, '', None)], last)
        # An instance that connects must know the number later on.
        self.assertEqual([(0, 'u1', None)], self.told.all())

    def test_bytes_of_many_instances(self) -> None:
        """Guards against a link that is full of conditions."""
        loads = {f'u{number}': 9 for number in range(COUNT)}
        self.assertEqual(25, len(self.changes(loads, 195)))
        sent = {change.number for change in self.told.all()}
        for _ in range(20):
            sent |= {each.number for each in self.changes(loads, 195)}
        # All are told in turn.
        self.assertEqual(COUNT, len(sent))
