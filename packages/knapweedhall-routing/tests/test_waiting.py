"""Tests of the order and the bounds of waiting requests."""

from __future__ import annotations

import collections
import random
import time
import typing
import unittest

import hypothesis
from hypothesis import strategies

from knapweedhall_routing import waiting

OBJECTIVE_S = 1.0
TIME_LIMIT_S = 2.5
SERVICE_S = 0.1


def new_entry(
    number: int, now: float = 0.0, **changes: typing.Any
) -> waiting.Entry:
    """Return a request that came now."""
    entry = waiting.Entry(
        number,
        '',
        1,
        now + OBJECTIVE_S,
        waiting.patience_until(now, OBJECTIVE_S),
        now + TIME_LIMIT_S - SERVICE_S,
        100,
    )
    return entry._replace(**changes)


def new_queue(max_entries: int = 300, max_bytes: int = 10**6) -> waiting.Queue:
    """Return an empty queue."""
    return waiting.Queue(max_entries, max_bytes)


class Overload:
    """Replays requests of several groups at a service of one lane.

    Attributes
    ----------
    served, asked : collections.Counter
        Requests by group.
    waits : list of tuple of float and str
        Times from arrival to refusal, and the reasons.
    """

    def __init__(self, drain_per_s: float, with_rate: bool) -> None:
        self.queue = new_queue()
        self.drain_per_s = drain_per_s
        self.room = waiting.Room(drain_per_s) if with_rate else None
        self.served: collections.Counter[object] = collections.Counter()
        self.asked: collections.Counter[object] = collections.Counter()
        self.entries: dict[int, tuple[waiting.Entry, float]] = {}
        self.waits: list[tuple[float, str]] = []

    def run(
        self,
        kinds: typing.Sequence[tuple[int, str, float]],
        seconds: float,
        rng: random.Random,
    ) -> None:
        """Replay requests; each kind has a priority, workspace and rate."""
        arrivals = sorted(
            (at, priority, workspace)
            for priority, workspace, per_s in kinds
            for at in _poisson_times(per_s, seconds, rng)
        )
        number, sends = 0, 0
        for at, priority, workspace in arrivals:
            while (sends + 1) / self.drain_per_s <= at:
                sends += 1
                self._send(sends / self.drain_per_s)
            number += 1
            entry = new_entry(
                number, at, priority=priority, workspace=workspace
            )
            self.entries[number] = entry, at
            self.asked.update([priority, workspace, 'all'])
            self._refuse(self.queue.add(entry, at, self.room), at)
            self._refuse(self.queue.expire(at), at)

    def fraction(self, group: object) -> float:
        """Return the fraction that was served of a group."""
        return self.served[group] / max(1, self.asked[group])

    def _send(self, now: float) -> None:
        self._refuse(self.queue.expire(now), now)
        number = self.queue.take('', now)
        if number is not None:
            entry, _ = self.entries[number]
            self.served.update([entry.priority, entry.workspace, 'all'])

    def _refuse(
        self, refusals: typing.Iterable[waiting.Refusal], now: float
    ) -> None:
        for number, reason in refusals:
            self.waits.append((now - self.entries[number][1], reason))


def _poisson_times(
    per_s: float, seconds: float, rng: random.Random
) -> typing.Iterator[float]:
    at = rng.expovariate(per_s)
    while at < seconds:
        yield at
        at += rng.expovariate(per_s)


class OrderTest(unittest.TestCase):
    """Order of the requests of one lane."""

    def take_all(self, queue: waiting.Queue) -> list[int | None]:
        """Return the numbers of all requests in the order of sending."""
        return [queue.take('', 0.0) for _ in range(len(queue))]

    def test_urgent_requests_go_first(self) -> None:
        """Guards against an urgent request behind less urgent ones."""
        queue = new_queue()
        for number, priority, objective_at in (
            (1, 2, 0.5),
            (2, 0, 2.0),
            (3, 0, 1.0),
            (4, 1, 0.1),
        ):
            queue.add(
                new_entry(
                    number, priority=priority, objective_at=objective_at
                ),
                0.0,
            )
        self.assertEqual([3, 2, 4, 1], self.take_all(queue))

    def test_less_urgent_kind_keeps_a_tenth(self) -> None:
        """Guards against a kind that starves beside a more urgent one."""
        queue = new_queue()
        for number in range(100):
            queue.add(new_entry(number, priority=0), 0.0)
            queue.add(new_entry(100 + number, priority=2), 0.0)
        # It would not get its share if it were served better than the other.
        for _ in range(10):
            queue.record_refused(2, '', 0.0)
        sent = self.take_all(queue)[:50]
        self.assertEqual(5, sum(number >= 100 for number in sent if number))

    def test_moved_request_keeps_its_place(self) -> None:
        """Guards against a request that follows its key to the end."""
        queue = new_queue()
        for number, lane in ((1, 'a'), (2, 'b'), (3, 'b')):
            queue.add(new_entry(number, number / 100, lane=lane), 0.0)
        moved = queue.remove(1)
        assert moved is not None
        queue.add(moved._replace(lane='b'), 0.1)
        self.assertEqual([], queue.numbers('a'))
        self.assertEqual(1, queue.take('b', 0.1))

    @hypothesis.settings(max_examples=20, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.sampled_from(['a', 'b', 'c']),
                strategies.floats(3.0, 150.0),
            ),
            min_size=1,
            max_size=5,
        ),
        strategies.floats(20.0, 100.0),
        strategies.booleans(),
        strategies.integers(0, 1000),
    )
    def test_nobody_starves(
        self,
        kinds: list[tuple[int, str, float]],
        drain_per_s: float,
        with_rate: bool,
        seed: int,
    ) -> None:
        """Guards against a kind or workspace below a quarter of the rest.

        Each replay lasts 20 s; groups with fewer than 100 requests are left
        to chance.
        """
        overload = Overload(drain_per_s, with_rate)
        overload.run(kinds, 20.0, random.Random(seed))
        for group, asked in overload.asked.items():
            if asked >= 100:
                self.assertGreaterEqual(
                    overload.fraction(group),
                    overload.fraction('all') / 4,
                    group,
                )

    @hypothesis.settings(max_examples=20, deadline=None, derandomize=True)
    @hypothesis.example([5.0, 113.0, 5.0], 20.0, False, 0)
    @hypothesis.given(
        strategies.lists(
            strategies.floats(5.0, 150.0), min_size=2, max_size=4
        ),
        strategies.floats(20.0, 100.0),
        strategies.booleans(),
        strategies.integers(0, 1000),
    )
    def test_urgent_kinds_are_not_served_worse(
        self,
        rates: list[float],
        drain_per_s: float,
        with_rate: bool,
        seed: int,
    ) -> None:
        """Guards against a floor that prefers less urgent requests."""
        overload = Overload(drain_per_s, with_rate)
        kinds = [(kind, '', rate) for kind, rate in enumerate(rates)]
        overload.run(kinds, 20.0, random.Random(seed))
        for kind in range(len(rates) - 1):
            # A few requests still wait at the end.
            self.assertGreaterEqual(
                overload.fraction(kind) + 0.02, overload.fraction(kind + 1)
            )


class RefusalTest(unittest.TestCase):
    """Requests that must not wait, or no longer."""

    def test_only_the_next_one_waits_beyond_its_patience(self) -> None:
        """Guards against requests held for long that are refused anyway."""
        queue = new_queue()
        for number in (1, 2):
            queue.add(new_entry(number), 0.0)
        self.assertEqual(
            [waiting.Refusal(2, waiting.OVERTAKEN)], queue.expire(0.13)
        )
        self.assertEqual([], queue.expire(0.5))
        queue.add(new_entry(3, 0.5, priority=0), 0.5)
        self.assertEqual(
            [waiting.Refusal(1, waiting.OVERTAKEN)], queue.expire(0.51)
        )
        self.assertEqual(
            [waiting.Refusal(3, waiting.TOO_LATE)], queue.expire(2.91)
        )

    def test_hopeless_request_is_refused_at_once(self) -> None:
        """Guards against holding what has no chance."""
        queue = new_queue()
        room = waiting.Room(40.0)
        for number in range(4):
            self.assertEqual([], queue.add(new_entry(number), 0.0, room))
        for number, send_by, reason in (
            (5, 0.0, waiting.TOO_LATE),
            (6, 2.4, waiting.NO_ROOM),
        ):
            entry = new_entry(number, send_by=send_by)
            self.assertEqual(
                [waiting.Refusal(number, reason)],
                queue.add(entry, 0.0, waiting.Room(20.0)),
            )

    def test_next_one_waits_only_if_room_comes_in_time(self) -> None:
        """Guards against holding the next one for longer than is of use."""
        room = waiting.Room(0.2, 1.0)
        self.assertEqual([], new_queue().add(new_entry(1), 0.0, room))
        refusals = new_queue().add(new_entry(2, send_by=0.9), 0.0, room)
        self.assertEqual([waiting.Refusal(2, waiting.NO_ROOM)], refusals)

    def test_standstill_refuses_nobody_with_time_left(self) -> None:
        """Guards against refusing all that waited during a standstill."""
        queue = new_queue()
        for number in (1, 2, 3):
            queue.add(new_entry(number), 0.0)
        late = new_entry(4, send_by=0.5)
        queue.add(late, 0.0)
        self.assertTrue(queue.observe(1.1))
        self.assertEqual(
            [waiting.Refusal(4, waiting.TOO_LATE)], queue.expire(1.1)
        )
        # Those that come later have no more patience than usual.
        queue.add(new_entry(5, 1.1), 1.1)
        refused = {each.number for each in queue.expire(1.3)}
        self.assertEqual({2, 3, 5}, refused)

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 6),
        strategies.integers(50, 1000),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['add', 'take', 'remove', 'expire']),
                strategies.floats(0.0, 0.2),
                strategies.integers(0, 2),
                strategies.integers(0, 400),
                strategies.sampled_from(['a', 'b']),
            ),
            max_size=80,
        ),
    )
    def test_bounds_and_ends(
        self,
        max_entries: int,
        max_bytes: int,
        steps: list[tuple[str, float, int, int, str]],
    ) -> None:
        """Guards against entries that are lost, or end twice, or too late."""
        queue = new_queue(max_entries, max_bytes)
        now, live = 0.0, dict[int, waiting.Entry]()
        for number, (action, step_s, priority, size, lane) in enumerate(steps):
            now += step_s
            refusals: list[waiting.Refusal] = []
            if action == 'add':
                live[number] = new_entry(
                    number, now, priority=priority, size=size, lane=lane
                )
                refusals = queue.add(live[number], now)
            elif action == 'take':
                head = queue.head(lane, now)
                taken = queue.take(lane, now)
                self.assertEqual(head, taken)
                if taken is not None:
                    self.assertEqual(lane, live.pop(taken).lane)
            elif action == 'remove' and live:
                first = next(iter(live))
                self.assertEqual(live.pop(first), queue.remove(first))
            elif action == 'expire':
                refusals = queue.expire(now)
            for refusal in refusals:
                refused = live.pop(refusal.number)
                if refusal.reason == waiting.TOO_LATE:
                    self.assertLessEqual(refused.send_by, now)
                if refusal.reason == waiting.OVERTAKEN:
                    self.assertLessEqual(refused.patience_until, now)
            self.assertEqual(set(live), set(queue.numbers()))
            self.assertLessEqual(len(live), max_entries)
            self.assertLessEqual(queue.bytes, max_bytes)
            self.assertEqual(
                queue.bytes, sum(entry.size for entry in live.values())
            )
            if action == 'expire':
                for entry in live.values():
                    self.assertGreater(entry.send_by, now)

    def test_least_urgent_one_leaves_a_full_queue(self) -> None:
        """Guards against a full queue that refuses an urgent request."""
        queue = new_queue(2, 1000)
        queue.add(new_entry(1, priority=2), 0.0)
        queue.add(new_entry(2, priority=1, size=800), 0.0)
        full = waiting.FULL
        self.assertEqual(
            [waiting.Refusal(1, full)], queue.add(new_entry(3), 0.0)
        )
        # Nobody leaves for a request that has no room even then.
        self.assertEqual(
            [waiting.Refusal(4, full)],
            queue.add(new_entry(4, priority=0, size=1001), 0.0),
        )
        self.assertEqual([2, 3], queue.numbers())
        self.assertEqual([2, 3], queue.clear())


class CostTest(unittest.TestCase):
    """Cost of the order."""

    def test_cost_grows_slowly(self) -> None:
        """Guards against an order that costs O(n) per request.

        With a hundred times as many entries, a request may cost a few times
        as much (heaps and caches), but by far not a hundred times.
        """

        def cost_s(size: int) -> float:
            queue = new_queue(size, 10**9)
            for number in range(size):
                queue.add(new_entry(number, number / 1e6), 0.0)
            begun_at = time.process_time()
            for number in range(size, size + 2000):
                queue.add(new_entry(number, number / 1e6), 0.0)
                queue.take('', 0.0)
            return time.process_time() - begun_at

        self.assertLess(min(cost_s(30000) for _ in range(3)), 10 * cost_s(300))


if __name__ == '__main__':
    unittest.main()
