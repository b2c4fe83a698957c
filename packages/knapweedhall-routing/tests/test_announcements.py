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

    def measure_rate(self) -> None:
        """Let the term measure the rate of responses."""
        for _ in range(5):
            self.changes({})

    def changes(
        self, loads: dict[str, int], instances: int = 100
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
        self.measure_rate()
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

    def announced(
        self, instances: int, upstreams: int, responses: int
    ) -> list[announcements.Change]:
        """Return what is announced after 30 s of even load near the limit.

        Parameters
        ----------
        instances, upstreams : int
            Size of the fleet.
        responses : int
            Number of responses of each upstream in a period of reports.
        """
        sample = load.Sample(responses, 300, 6, 6, 100)
        changes: list[announcements.Change] = []
        for _ in range(100):
            self.now += 0.3
            self.limits.add_report(
                'i',
                {f'u{number}': sample for number in range(upstreams)},
                {},
                False,
                self.now,
            )
            self.limits.learn(self.now)
            changes += self.told.changes(self.limits, instances, self.now)
        return changes

    def test_small_fleet_is_told_nothing(self) -> None:
        """Guards against knowledge that is older than an instance's own.

        With 11 instances, 36 upstreams and 394 requests/s, each instance gets
        a response of each upstream once a second. When they shared their
        knowledge, all chose the same upstreams, and a day without faults had
        a worth of 0.598 instead of 0.752.
        """
        self.assertEqual([], self.announced(11, 36, 3))

    def test_large_fleet_is_told(self) -> None:
        """Guards against decisions by knowledge that is ten seconds old."""
        self.assertTrue(self.announced(72, 160, 2))

    def test_bytes_of_many_instances(self) -> None:
        """Guards against a link that is full of conditions."""
        self.measure_rate()
        loads = {f'u{number}': 9 for number in range(COUNT)}
        self.assertEqual(25, len(self.changes(loads, 195)))
        sent = {change.number for change in self.told.all()}
        for _ in range(20):
            sent |= {each.number for each in self.changes(loads, 195)}
        # All are told in turn.
        self.assertEqual(COUNT, len(sent))
