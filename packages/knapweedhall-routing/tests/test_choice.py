"""Tests of the choice among interchangeable upstreams."""

from __future__ import annotations

import collections
import random
import unittest

from knapweedhall_routing import choice
from knapweedhall_routing import health
from knapweedhall_routing import model

SLOTS = 4
SERVICE_S = 0.1


def candidate(name: str, domain: str = 'a') -> choice.Candidate:
    """Return a measured upstream without load."""
    measured = health.Health(SLOTS)
    measured.record_response(
        SERVICE_S, model.LoadReport(0, 0, SLOTS, 1.0), 0.0
    )
    address = model.Address('127.0.0.1', 1)
    return choice.Candidate(
        model.Upstream(name, address, 's', domain, SLOTS, False, 0.0, 1),
        measured,
    )


class ChoiceTest(unittest.TestCase):
    """Choice under load, failures and silence."""

    def setUp(self) -> None:
        """Create three upstreams in each of two failure domains."""
        self.rng = random.Random(1)
        self.pool = [candidate(f'{d}{n}', d) for d in 'ab' for n in range(3)]

    def picks(
        self, body_bytes: int = 0, now: float = 1.0, count: int = 300
    ) -> collections.Counter[str]:
        """Return how often each upstream was chosen."""
        preference = choice.Preference('a', body_bytes, now + 0.4)
        chosen: collections.Counter[str] = collections.Counter()
        for _ in range(count):
            best = choice.choose(self.pool, now, preference, self.rng)
            assert best is not None
            chosen[best.upstream.name] += 1
        return chosen

    def test_failing_upstream_is_avoided(self) -> None:
        """Guards against an upstream that fails fast and seems the best."""
        for _ in range(10):
            self.pool[0].health.record_result(True, 1.0)
        self.assertLess(self.picks()['a0'], 10)
        self.assertGreater(self.picks(now=20.0)['a0'], 10)

    def test_silent_upstream_is_avoided(self) -> None:
        """Guards against requests waiting for a dead upstream."""
        self.pool[0].health.record_sent(1, 0.0)
        self.assertLess(self.picks(now=2.0)['a0'], 10)

    def test_idle_connection_is_reused(self) -> None:
        """Guards against a new connection for each request.

        An instance that sends a few requests per second to many upstreams
        would otherwise never find a connection that may still be reused.
        """
        self.pool = [candidate(f'a{n}') for n in range(50)]
        self.pool[7] = self.pool[7]._replace(connected=True)
        self.assertGreater(self.picks()['a7'], 290)

    def test_idle_connection_is_not_preferred_under_load(self) -> None:
        """Guards against queueing at an upstream while others are idle."""
        self.pool = [candidate(f'a{n}') for n in range(50)]
        self.pool[7] = self.pool[7]._replace(connected=True)
        for number in range(SLOTS + 1):
            self.pool[7].health.record_sent(number, 0.9)
        self.assertEqual(0, self.picks()['a7'])

    def test_large_body_stays_local_while_there_is_time(self) -> None:
        """Guards against uploads that cross failure domains without need."""
        remote = sum(
            count
            for name, count in self.picks(60000).items()
            if name.startswith('b')
        )
        self.assertEqual(0, remote)

    def test_large_body_goes_remote_if_local_upstreams_are_busy(self) -> None:
        """Guards against uploads waiting while remote upstreams are idle."""
        for local in self.pool[:3]:
            for number in range(14):
                local.health.record_sent(number, 1.0)
        remote = sum(
            count
            for name, count in self.picks(60000).items()
            if name.startswith('b')
        )
        self.assertEqual(300, remote)

    def test_request_stays_local_while_there_is_a_free_slot(self) -> None:
        """Guards against responses that cross failure domains without need.

        In a fleet of 72 instances, requests without keys caused two thirds of
        the traffic between failure domains.
        """
        self.assertEqual({'a0', 'a1', 'a2'}, set(self.picks()))
        for local in self.pool[:2]:
            for number in range(SLOTS):
                local.health.record_sent(number, 1.0)
        self.assertEqual({'a2'}, set(self.picks()))

    def test_request_goes_remote_if_no_local_slot_is_free(self) -> None:
        """Guards against queueing while remote upstreams are idle."""
        for local in self.pool[:3]:
            for number in range(SLOTS):
                local.health.record_sent(number, 1.0)
        self.assertLessEqual(set(self.picks()), {'b0', 'b1', 'b2'})

    def test_room_over_all_instances(self) -> None:
        """Guards against requests to slots that other instances have filled.

        Each instance had sent too few requests to know.
        """
        for number in range(2):
            self.pool[number] = self.pool[number]._replace(room=0.5)
        self.assertEqual({'a2'}, set(self.picks()))
        self.pool[2] = self.pool[2]._replace(room=0.0)
        self.assertEqual({'b0', 'b1', 'b2'}, set(self.picks()))

    def test_instances_with_the_same_knowledge(self) -> None:
        """Guards against all instances choosing the same upstream at once."""
        self.pool = [
            candidate(f'b{n}', 'b')._replace(
                room=float(n % 4), latency_s=SERVICE_S * (1 + n / 100)
            )
            for n in range(16)
        ]
        chosen = self.picks()
        self.assertLess(max(chosen.values()), 100)
        self.assertEqual(0, sum(chosen[f'b{n}'] for n in (0, 4, 8, 12)))
        least = sum(chosen[f'b{n}'] for n in (1, 5, 9, 13))
        most = sum(chosen[f'b{n}'] for n in (3, 7, 11, 15))
        self.assertGreater(most, least)

    def test_shared_latency(self) -> None:
        """Guards against an upstream that only others know to be slow."""
        self.pool[0] = self.pool[0]._replace(room=3.0, latency_s=0.5)
        self.assertNotIn('a0', self.picks())

    def test_all_upstreams_failed_to_connect(self) -> None:
        """Guards against refusing while a connection might be possible."""
        for unreachable in self.pool:
            unreachable.health.record_connect_failure(1.0)
        self.assertEqual(300, sum(self.picks().values()))


class HealthTest(unittest.TestCase):
    """Expected latencies."""

    def test_queue_adds_to_the_expected_latency(self) -> None:
        """Guards against sending requests to a fully loaded upstream."""
        measured = candidate('u').health
        self.assertAlmostEqual(SERVICE_S, measured.expected_latency_s(0.1), 2)
        measured.record_load(model.LoadReport(4, 8, SLOTS, 1.0), 1.0)
        self.assertGreater(measured.expected_latency_s(1.0), 2.5 * SERVICE_S)

    def test_queueing_time_is_not_service_time(self) -> None:
        """Guards against taking a busy upstream for a slow one."""
        measured = health.Health(SLOTS)
        for number in range(20):
            report = model.LoadReport(4, 8, SLOTS, 1.0)
            measured.record_response(3 * SERVICE_S, report, float(number))
        self.assertAlmostEqual(SERVICE_S, measured.service_s, 3)
