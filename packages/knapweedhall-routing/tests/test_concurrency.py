"""Tests of learned limits under replayed load."""

from __future__ import annotations

import collections
import heapq
import random
import typing
import unittest

from knapweedhall_routing import concurrency
from knapweedhall_routing import conditions
from knapweedhall_routing import health
from knapweedhall_routing import load
from knapweedhall_routing import model

SLOTS = 6
INSTANCES = 24
QUEUE = 24
REPORT_S = 0.3
STEP_S = 0.01
# Number of replays whose mean is compared; single ones vary by half.
SEEDS = 4
ADDRESS = model.Address('127.0.0.1', 9)


def listed(name: str, born_ms: int = 1) -> model.Upstream:
    """Return the entry of an upstream."""
    return model.Upstream(name, ADDRESS, 's', 'a', SLOTS, False, 0.0, born_ms)


class _Instance:
    """An instance that sends requests and reports what it measured."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.measured = load.Measurements()
        self.healths: dict[str, health.Health] = {}
        self.shared = conditions.Conditions(self.healths)


class Replay:
    """Upstreams with slots and a queue that get requests from instances.

    Attributes
    ----------
    service_s : dict of str to callable
        Service time by upstream, from the time and the running requests.
    lost_share : float
        Share of the reports that are lost.
    """

    def __init__(
        self,
        service_s: dict[str, typing.Callable[[float, int], float]],
        per_s: float,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.service_s = service_s
        self.per_s = per_s
        self.lost_share = 0.0
        self.now = 0.0
        self.running: collections.Counter[str] = collections.Counter()
        self.waiting: dict[str, collections.deque[typing.Any]] = {
            name: collections.deque() for name in service_s
        }
        self.ends: list[tuple[float, int, str, float, _Instance]] = []
        self.number = 0
        self.report_at = 0.0
        self.instances = [_Instance(f'i{n}') for n in range(INSTANCES)]
        self.limits = concurrency.Limits()
        self.limits.list_upstreams({name: listed(name) for name in service_s})

    def run(self, until: float) -> None:
        """Replay the load until a time."""
        names = list(self.service_s)
        while self.now < until:
            self.now += STEP_S
            while self.ends and self.ends[0][0] <= self.now:
                self._end(*heapq.heappop(self.ends)[1:])
            if self.rng.random() < self.per_s * STEP_S:
                self._send(
                    self.rng.choice(names), self.rng.choice(self.instances)
                )
            if self.now >= self.report_at:
                self.report_at = self.now + REPORT_S
                self._report()

    def _send(self, name: str, sender: _Instance) -> None:
        own = sender.healths.setdefault(name, health.Health(SLOTS))
        if sender.shared.earliest_at(
            name, self.now
        ) > self.now or own.outstanding >= sender.shared.share(name, self.now):
            return
        if len(self.waiting[name]) >= QUEUE:
            return
        self.number += 1
        own.record_sent(self.number, self.now)
        sender.shared.record_sent(name, self.now)
        self.waiting[name].append((self.number, self.now, sender))
        self._start(name)

    def _start(self, name: str) -> None:
        while self.waiting[name] and self.running[name] < SLOTS:
            number, sent_at, sender = self.waiting[name].popleft()
            self.running[name] += 1
            # Half of the variation of an exponential distribution.
            work_s = self.service_s[name](self.now, self.running[name])
            work_s *= self.rng.gammavariate(4, 0.25)
            heapq.heappush(
                self.ends, (self.now + work_s, number, name, sent_at, sender)
            )

    def _end(
        self, number: int, name: str, sent_at: float, sender: _Instance
    ) -> None:
        self.running[name] -= 1
        stated = model.LoadReport(
            self.running[name], len(self.waiting[name]), SLOTS, 1.0
        )
        own = sender.healths[name]
        service_s = own.record_response(self.now - sent_at, stated, self.now)
        own.record_ended(number)
        sender.measured.add_load(name, stated, service_s, self.now)
        self._start(name)

    def _report(self) -> None:
        for each in self.instances:
            _, _, samples = each.measured.take(self.now)
            overdue = {
                name: own.overdue_s(self.now)
                for name, own in each.healths.items()
            }
            if self.rng.random() >= self.lost_share:
                self.limits.add_report(
                    each.name, samples, overdue, False, self.now
                )
        self.limits.learn(self.now)
        told = {
            name: (
                known.condition(self.now)
                if known.notable_until > self.now
                else None
            )
            for name, known in self.limits.upstreams.items()
        }
        for each in self.instances:
            each.shared.update(told, False, self.now)

    def limit(self, name: str) -> float:
        """Return a learned limit."""
        return self.limits.upstreams[name].limit


def steady(base_s: float) -> typing.Callable[[float, int], float]:
    """Return the service time of an upstream that uses all its slots."""
    return lambda now, running: base_s


def congested(base_s: float) -> typing.Callable[[float, int], float]:
    """Return that of one that is slower from half of its slots on."""
    half = SLOTS / 2
    return lambda now, running: base_s * (1 + 2 * max(0, running / half - 1))


def mean_limits(replay: Replay, until: float) -> dict[str, float]:
    """Replay on and return the mean limits over that time."""
    sums: collections.Counter[str] = collections.Counter()
    count = 0
    while replay.now < until:
        replay.run(replay.now + 1)
        count += 1
        for name, known in replay.limits.upstreams.items():
            sums[name] += known.limit  # type: ignore[assignment]
    return {name: total / count for name, total in sums.items()}


class LearningTest(unittest.TestCase):
    """Limits learned from the reports of 24 instances."""

    def test_different_speeds(self) -> None:
        """Guards against limits that fall as an upstream is merely slow."""
        base_s = {'a': 0.15, 'b': 0.3, 'c': 0.45}
        replay = Replay(
            {name: steady(value) for name, value in base_s.items()}, 60
        )
        replay.run(20)
        for name, limit in mean_limits(replay, 60).items():
            with self.subTest(upstream=name):
                self.assertGreater(limit, 0.8 * SLOTS)
                known = replay.limits.upstreams[name]
                self.assertGreater(known.service_s, base_s[name] / 1.5)
                self.assertLess(known.service_s, base_s[name] * 1.5)

    def test_slower_from_half_of_its_slots_on(self) -> None:
        """Guards against load at which an upstream gets nothing more done.

        With all slots it needs three times as long for each request.
        """
        service_s = {
            'a': congested(0.3),
            'b': steady(0.3),
            'c': steady(0.3),
        }
        for lost_share in 0.0, 0.3:
            with self.subTest(lost_share=lost_share):
                sums: collections.Counter[str] = collections.Counter()
                for seed in range(SEEDS):
                    replay = Replay(service_s, 60, seed)
                    replay.lost_share = lost_share
                    replay.run(40)
                    sums.update(mean_limits(replay, 100))
                self.assertGreater(sums['a'] / SEEDS, 0.3 * SLOTS)
                self.assertLess(sums['a'] / SEEDS, 0.8 * SLOTS)
                self.assertGreater(sums['b'] / SEEDS, 0.8 * SLOTS)
                self.assertGreater(sums['c'] / SEEDS, 0.8 * SLOTS)

    def test_slower_for_some_seconds(self) -> None:
        """Guards against a slowdown that is noticed late or kept."""
        replay = Replay(
            {
                'a': lambda now, running: 1.5 if 20 <= now < 26.5 else 0.3,
                'b': steady(0.3),
                'c': steady(0.3),
            },
            45,
        )
        replay.run(21.6)
        slow = replay.limits.upstreams['a']
        self.assertGreater(slow.current_service_s(replay.now), 3 * 0.3)
        self.assertGreater(slow.notable_until, replay.now)
        replay.run(31)
        self.assertLess(slow.current_service_s(replay.now), 1.5 * 0.3)
        self.assertGreater(mean_limits(replay, 45)['a'], 0.7 * SLOTS)

    def test_reports_that_stop(self) -> None:
        """Guards against limits by a load that nobody measures any more."""
        replay = Replay({'a': steady(0.5)}, 30)
        replay.run(10)
        known = replay.limits.upstreams['a']
        self.assertGreater(known.notable_until, replay.now)
        self.assertEqual(INSTANCES, known.condition(replay.now).users)
        replay.lost_share = 1.0
        replay.run(20)
        self.assertLess(known.notable_until, replay.now)


class LimitsTest(unittest.TestCase):
    """Limits of single upstreams."""

    def setUp(self) -> None:
        """Begin a term in which `u` is known to take three requests."""
        self.limits = concurrency.Limits({'u': 3.0, 'v': 99.0})
        self.limits.list_upstreams({'u': listed('u'), 'v': listed('v')})

    def report(self, now: float, sample: load.Sample) -> None:
        """Report a sample of both upstreams, and one of an unknown one."""
        samples = {'u': sample, 'v': sample, 'w': sample}
        self.limits.add_report('i', samples, {}, False, now)
        self.limits.learn(now)

    def test_new_term(self) -> None:
        """Guards against a new term that lets an upstream be overloaded."""
        self.report(0.0, load.Sample(1, 300, 3, SLOTS, 100))
        limits = self.limits.upstreams
        self.assertEqual({'u', 'v'}, limits.keys())
        self.assertEqual(3.0, limits['u'].limit)
        self.assertEqual(SLOTS, limits['v'].limit)

    def test_restart_under_the_same_name(self) -> None:
        """Guards against limits of a process that ended."""
        self.report(0.0, load.Sample(1, 300, 3, SLOTS, 100))
        self.limits.list_upstreams({'u': listed('u', 2)})
        self.assertEqual({}, self.limits.upstreams)
        self.report(1.0, load.Sample(1, 300, 3, SLOTS, 100))
        self.assertEqual(SLOTS, self.limits.upstreams['u'].limit)

    def test_one_estimate_moves_it_a_little(self) -> None:
        """Guards against a limit that a few slow responses take away."""
        now = 0.0
        limits = []
        for load_now, service_ms in ((1, 100), (5, 900)):
            for _ in range(100):
                now += 0.3
                sample = load.Sample(2, service_ms, load_now, SLOTS, 100)
                self.report(now, sample)
                limits.append(self.limits.upstreams['v'].limit)
        step = SLOTS * max(concurrency.MAX_STEP_UP, concurrency.MAX_STEP_DOWN)
        for before, after in zip(limits, limits[1:]):
            self.assertLessEqual(abs(after - before), 1.5 * step)
        self.assertGreaterEqual(min(limits), 1.0)

    def test_idle_upstream(self) -> None:
        """Guards against a division by zero that ended a term.

        An upstream that is idle states a load of 0 with each response.
        """
        for number in range(40):
            self.report(number * 0.3, load.Sample(3, 5, 0, SLOTS, 100))
        self.assertEqual(SLOTS, self.limits.upstreams['v'].limit)

    def test_damaged_reports(self) -> None:
        """Guards against figures that no upstream states."""
        for sample in (
            load.Sample(1, 300, 3, 0, 100),
            load.Sample(1, 300, -3, SLOTS, 100),
            load.Sample(10**9, 300, 3, SLOTS, 100),
            load.Sample(1, 300, 3, 10**9, 100),
        ):
            self.report(0.0, sample)
        self.assertEqual({}, self.limits.upstreams)
        self.report(0.0, load.Sample(1, 10**9, 3, SLOTS, 10**9))
        self.assertEqual(0.0, self.limits.upstreams['u'].service_s)
