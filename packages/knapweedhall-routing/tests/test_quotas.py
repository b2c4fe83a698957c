"""Replays of quotas over many instances, without a network."""

from __future__ import annotations

import bisect
import collections
import heapq
import itertools
import random
import typing
import unittest

from knapweedhall_routing import quotas

INSTANCES = [f'i{number:02}' for number in range(58)]
LATENCY_S = 0.0014
# An eighth of the objective of customer A's lookups.
MAX_WAIT_S = 1.018 / 8
HEARTBEAT_S = 0.3
# When an instance and a coordinator notice a silent link, and how long a
# record of the store takes.
INSTANCE_TIMEOUT_S, COORDINATOR_TIMEOUT_S, RECORD_S = 1.5, 2.0, 0.6


class Coordinator:
    """A term: its pool, and what it knows of its links."""

    def __init__(self, former: typing.Collection[str], now: float) -> None:
        self.pool = quotas.Pool(now)
        self.sharers = quotas.Sharers(former, now)
        self.heard: dict[str, float] = {}
        self.recorded = set(former)
        self.next_record: tuple[set[str], float] = (set(former), now)

    def update(self, limits: dict[str, quotas.Quota], now: float) -> None:
        """Follow the quotas and the links."""
        self.heard = {
            name: at
            for name, at in self.heard.items()
            if now - at < COORDINATOR_TIMEOUT_S
        }
        self.pool.configure(limits, now)
        self.sharers.update(self.heard, now)
        fresh = [
            name
            for name, at in self.heard.items()
            if now - at <= quotas.MAX_HEARTBEAT_AGE_S
        ]
        self.pool.set_share(self.sharers.pooled_share(fresh, now), now)
        if now - self.next_record[1] > RECORD_S:
            self.recorded = self.next_record[0]
            known = self.heard.keys() | self.sharers.lost.keys()
            self.next_record = (set(known), now)


class Replay:
    """Instances and coordinators on one clock that only the replay moves.

    Attributes
    ----------
    runs, refusals : dict of str to list of float
        When requests ran and were refused, by workspace.
    """

    def __init__(self, limits: dict[str, quotas.Quota], seed: int) -> None:
        self.rng = random.Random(seed)
        self.limits = limits
        self.now = 0.0
        self.queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.order = itertools.count()
        self.leases: dict[str, quotas.Leases] = {}
        self.links: dict[str, Coordinator | None] = {}
        self.heard: dict[str, float] = {}
        self.cut: set[str] = set()
        self.current: Coordinator | None = None
        self.waiting: dict[int, str] = {}
        self.runs = collections.defaultdict(list)
        self.refusals = collections.defaultdict(list)
        self.messages = 0
        for name in INSTANCES:
            self.add(name)
        self.begin_term(INSTANCES)
        self.at(0.0, self.beat)

    def at(self, when: float, call: typing.Callable[[], None]) -> None:
        """Call something at a time."""
        heapq.heappush(self.queue, (when, next(self.order), call))

    def run(self, until: float) -> None:
        """Move the clock."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()

    def add(self, name: str) -> None:
        """Add an instance."""
        self.leases[name] = quotas.Leases(name, self.rng)
        self.leases[name].configure(self.limits)
        self.links[name], self.heard[name] = None, self.now

    def begin_term(self, former: typing.Collection[str]) -> None:
        """Let another coordinator begin; instances find it within 1 s."""
        self.current = Coordinator(former, self.now)

    def end_term(self) -> None:
        """Kill the coordinator; each instance sees the connection end."""
        self.current = None
        for name, link in self.links.items():
            if link is not None:
                self.disconnect(name)

    def disconnect(self, name: str) -> None:
        """End the connection of an instance, as the instance sees it."""
        link, self.links[name] = self.links[name], None
        self.leases[name].disconnect(self.now, self.heard[name])
        if link is not None and name not in self.cut:
            link.heard.pop(name, None)

    def beat(self) -> None:
        """Exchange heartbeats and reports; connect who has no coordinator."""
        for name, leases in self.leases.items():
            link = self.links[name]
            if name in self.cut:
                if link and self.now - self.heard[name] > INSTANCE_TIMEOUT_S:
                    self.disconnect(name)
            elif link is not None:
                link.heard[name] = self.heard[name] = self.now
                told = link.sharers.tell(link.recorded, self.now)
                leases.set_sharers(told, list(self.leases))
            elif self.current is not None and self.rng.random() < 0.4:
                self.links[name], self.heard[name] = self.current, self.now
                self.current.heard[name] = self.now
                leases.connect(self.now)
        if self.current is not None:
            self.current.update(self.limits, self.now)
        self.at(self.now + HEARTBEAT_S, self.beat)

    def load(
        self, workspace: str, per_s: float, begin: float, end: float
    ) -> None:
        """Send requests to random instances."""
        at = begin
        while (at := at + self.rng.expovariate(per_s)) < end:
            self.at(at, lambda: self.request(workspace))

    def request(self, workspace: str) -> None:
        """Send one request."""
        name = self.rng.choice(list(self.leases))
        number, until = next(self.order), self.now + MAX_WAIT_S
        result = self.leases[name].request(workspace, number, self.now, until)
        if result is not None:
            self.finish(workspace, result)
            return
        self.waiting[number] = workspace
        self.at(self.now, lambda: self.ask(name))
        self.at(until, lambda: self.give_up(name, number))

    def give_up(self, name: str, number: int) -> None:
        """Refuse a request that has waited."""
        workspace = self.waiting.pop(number, None)
        if workspace is not None:
            denial = self.leases[name].give_up(workspace, number, self.now)
            self.finish(workspace, denial)

    def finish(
        self, workspace: str, result: quotas.Token | quotas.Denial
    ) -> None:
        """Record the result of a request."""
        if isinstance(result, quotas.Token):
            self.runs[workspace].append(max(self.now, result.due_at))
        else:
            self.refusals[workspace].append(self.now)

    def ask(self, name: str) -> None:
        """Send what an instance asks for, if it is due."""
        leases, link = self.leases[name], self.links[name]
        asks = leases.ask(self.now)
        if asks and link is not None and name not in self.cut:
            self.messages += 1
            self.at(
                self.now + LATENCY_S, lambda: self.answer(name, link, asks)
            )
        elif leases.ask_at() > self.now and leases.ask_at() < 1e9:
            self.at(leases.ask_at(), lambda: self.ask(name))

    def answer(
        self, name: str, link: Coordinator, asks: list[quotas.Ask]
    ) -> None:
        """Let a coordinator answer."""
        link.update(self.limits, self.now)
        grants = [link.pool.grant(ask, self.now) for ask in asks]

        def receive() -> None:
            if self.links[name] is not link or name in self.cut:
                return
            results = self.leases[name].receive(grants, self.now)
            for number, result in results:
                workspace = self.waiting.pop(number, None)
                if workspace is not None:
                    self.finish(workspace, result)
            self.ask(name)

        self.at(self.now + LATENCY_S, receive)


class QuotaTest(unittest.TestCase):
    """71 workspaces on 58 instances, some with 7.5 times their demand."""

    def setUp(self) -> None:
        """Begin with 289 requests/s, most of them of a few workspaces."""
        weights = [1 / (1 + number / 4) for number in range(71)]
        self.demand = {
            f'w{number}': 289 * weight / sum(weights)
            for number, weight in enumerate(weights)
        }
        self.limits = {
            name: quotas.Quota(1.6 * per_s, 1.6 * per_s)
            for name, per_s in self.demand.items()
        }
        self.replay = Replay(self.limits, 1)
        for name, per_s in self.demand.items():
            self.replay.load(name, per_s, 4, 30)
        for name in ('w0', 'w9', 'w70'):
            self.replay.load(name, 6.5 * self.demand[name], 12, 18.5)

    def check(self, max_refused: float, names: typing.Iterable[str]) -> None:
        """Check the bound, and the share of refused requests of some."""
        for name, quota in self.limits.items():
            times = sorted(self.replay.runs[name])
            allowed = (
                quota.rate_per_s * quotas.WINDOW_S + quota.burst
            ) * 1.1 + 20
            for index, begin in enumerate(times):
                end = bisect.bisect_right(times, begin + quotas.WINDOW_S)
                self.assertLessEqual(end - index, allowed, (name, begin))
        refused = sum(len(self.replay.refusals[name]) for name in names)
        served = sum(len(self.replay.runs[name]) for name in names)
        print(
            f'{self.id()}: refused {refused / (refused + served):.4f}, '
            f'{self.replay.messages} messages'
        )
        self.assertLess(refused / (refused + served), max_refused)

    def ordinary(self) -> list[str]:
        """Return the workspaces within their quotas."""
        return [
            name for name in self.demand if name not in ('w0', 'w9', 'w70')
        ]

    def test_surges(self) -> None:
        self.replay.run(30)
        self.check(0.02, self.ordinary())
        for n in ('w0', 'w9', 'w70'):
            print(
                n,
                self.limits[n],
                len(self.replay.runs[n]),
                len(self.replay.refusals[n]),
                sum(12 <= t < 18.5 for t in self.replay.runs[n]),
            )

    def test_domain(self) -> None:
        cut = INSTANCES[:20]
        self.replay.at(13, lambda: self.replay.cut.update(cut))
        self.replay.at(24, lambda: self.replay.cut.clear())
        self.replay.run(30)
        self.check(1, self.ordinary())

    def test_term(self) -> None:
        self.replay.at(14, self.replay.end_term)
        self.replay.at(16, lambda: self.replay.begin_term(INSTANCES))
        self.replay.run(30)
        self.check(1, self.ordinary())
        ref = sorted(
            t for n in self.ordinary() for t in self.replay.refusals[n]
        )
        print(collections.Counter(int(t * 2) / 2 for t in ref))
