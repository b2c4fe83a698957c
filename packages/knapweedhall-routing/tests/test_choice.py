"""Tests of the choice among upstreams that are all alike."""

from __future__ import annotations

import collections
import random
import unittest

from knapweedhall_routing import choice
from knapweedhall_routing import health
from knapweedhall_routing import model

SLOTS = 4
WORK_S = 0.1


def candidate(name: str, domain: str = 'a') -> choice.Candidate:
    """Return a measured upstream without load."""
    found = health.Health(SLOTS)
    found.record_answer(WORK_S, model.LoadReport(0, 0, SLOTS, 1.0), 0.0)
    address = model.Address('127.0.0.1', 1)
    return choice.Candidate(
        model.Upstream(name, address, 's', domain, SLOTS, False, 0.0, 1),
        found,
    )


class ChoiceTest(unittest.TestCase):
    """Placement under load, failures and silence."""

    def setUp(self) -> None:
        """Start with three upstreams in each of two failure domains."""
        self.rng = random.Random(1)
        self.pool = [candidate(f'{d}{n}', d) for d in 'ab' for n in range(3)]

    def picks(
        self, body_bytes: int = 0, now: float = 1.0, count: int = 300
    ) -> collections.Counter[str]:
        """Return how often each upstream was chosen."""
        preference = choice.Preference('a', body_bytes, now + 0.4)
        found: collections.Counter[str] = collections.Counter()
        for _ in range(count):
            one = choice.choose(self.pool, now, preference, self.rng)
            assert one is not None
            found[one.upstream.name] += 1
        return found

    def test_failing_upstream_is_avoided(self) -> None:
        """Guards against an upstream that fails fast and attracts all."""
        for _ in range(10):
            self.pool[0].health.record_result(True, 1.0)
        self.assertLess(self.picks()['a0'], 10)
        self.assertGreater(self.picks(now=20.0)['a0'], 10)

    def test_silent_upstream_is_avoided(self) -> None:
        """Guards against requests that wait for a dead upstream."""
        self.pool[0].health.record_sent(1, 0.0)
        self.assertLess(self.picks(now=2.0)['a0'], 10)

    def test_kept_connection_is_used_again(self) -> None:
        """Guards against a new connection for each request.

        Instances that each send a few requests per second to many upstreams
        would never find a connection that is still fresh.
        """
        self.pool = [candidate(f'a{n}') for n in range(50)]
        self.pool[7] = self.pool[7]._replace(connected=True)
        self.assertGreater(self.picks()['a7'], 290)

    def test_kept_connection_does_not_bind_under_load(self) -> None:
        """Guards against a queue at an upstream while others are idle."""
        self.pool = [candidate(f'a{n}') for n in range(50)]
        self.pool[7] = self.pool[7]._replace(connected=True)
        for number in range(SLOTS + 1):
            self.pool[7].health.record_sent(number, 0.9)
        self.assertEqual(0, self.picks()['a7'])

    def test_large_body_stays_near_while_there_is_time(self) -> None:
        """Guards against uploads that cross failure domains for nothing."""
        far = sum(
            count
            for name, count in self.picks(60000).items()
            if name.startswith('b')
        )
        self.assertEqual(0, far)

    def test_large_body_goes_far_when_near_ones_are_busy(self) -> None:
        """Guards against uploads that wait beside idle upstreams."""
        for one in self.pool[:3]:
            for number in range(14):
                one.health.record_sent(number, 1.0)
        far = sum(
            count
            for name, count in self.picks(60000).items()
            if name.startswith('b')
        )
        self.assertEqual(300, far)

    def test_all_blocked(self) -> None:
        """Guards against a refusal while a connection might be made."""
        for one in self.pool:
            one.health.record_connect_failure(1.0)
        self.assertEqual(300, sum(self.picks().values()))


class HealthTest(unittest.TestCase):
    """Expected times."""

    def test_queue_adds_to_the_expected_time(self) -> None:
        """Guards against requests that are sent to a full upstream."""
        found = candidate('u').health
        self.assertAlmostEqual(WORK_S, found.expected_latency_s(0.1), 2)
        found.record_load(model.LoadReport(4, 8, SLOTS, 1.0), 1.0)
        self.assertGreater(found.expected_latency_s(1.0), 2.5 * WORK_S)

    def test_slow_answers_in_a_queue_are_not_slow_work(self) -> None:
        """Guards against a busy upstream that is taken for a slow one."""
        found = health.Health(SLOTS)
        for number in range(20):
            report = model.LoadReport(4, 8, SLOTS, 1.0)
            found.record_answer(3 * WORK_S, report, float(number))
        self.assertAlmostEqual(WORK_S, found.service_s, 3)
