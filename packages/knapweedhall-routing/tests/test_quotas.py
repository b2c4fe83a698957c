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
# Delay of the own share, and time to connect to a deputy.
DEPUTY_S = quotas.OWN_SHARE_DELAY_S + 0.01
# After that, most instances have found a new coordinator.
SETTLE_S = 1.0
INSTANCE_TIMEOUT_S, COORDINATOR_TIMEOUT_S, RECORD_S = 1.5, 2.0, 0.6


class Coordinator:
    """A term: its pool, and what it knows of its links."""

    def __init__(self, former: typing.Collection[str], now: float) -> None:
        self.pool = quotas.Pool(now)
        self.sharers = quotas.Sharers(former, now)
        self.heard: dict[str, float] = {}
        self.begun_at = now
        self.shares: list[tuple[float, float]] = []
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
        self.shares.append((now, self.pool.share))
        if now - self.next_record[1] > RECORD_S:
            self.recorded = self.next_record[0]
            known = self.heard.keys() | self.sharers.lost.keys()
            self.next_record = (set(known), now)

    def share_at(self, now: float) -> float:
        """Return the share that was pooled at a time."""
        place = bisect.bisect_right(self.shares, (now, 1.0))
        return self.shares[place - 1][1] if place else 0.0


class Deputy(Coordinator):
    """An instance that pools the shares of its domain."""

    def __init__(self, now: float) -> None:
        super().__init__([], now)
        self.deputies = quotas.Deputies()
        self.pool = self.deputies.new_pool(now)

    def update(self, limits: dict[str, quotas.Quota], now: float) -> None:
        """Follow the quotas and the links."""
        self.pool.set_share(self.deputies.pooled_share(now), now)
        self.pool.configure(limits, now)
        self.shares.append((now, self.pool.share))


class Replay:
    """Instances and coordinators on one clock that only the replay moves.

    Attributes
    ----------
    arrivals, runs, refusals : dict of str to list of float
        When requests arrived at instances with a coordinator, with that, ran
        anywhere, and were refused by such instances, by workspace.
    alone : dict of str to int
        Requests that instances without a coordinator ran, by instance.
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
        self.domains: dict[int, Deputy] = {}
        self.current: Coordinator | None = None
        self.waiting: dict[int, str] = {}
        self.arrivals = collections.defaultdict(list)
        self.runs = collections.defaultdict(list)
        self.refusals = collections.defaultdict(list)
        self.alone = collections.Counter()
        self.messages = 0
        self.has_deputies = True
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
        if self.has_deputies:
            self.at(self.now + DEPUTY_S, lambda: self.join_deputy(name))

    def join_deputy(self, name: str) -> None:
        """Connect to the deputy of the domain, unless it has ended."""
        domain = int(name[1:]) % 3
        if self.links[name] is None and self.leases[name].sharers:
            deputy = self.domains.setdefault(domain, Deputy(self.now))
            self.links[name] = deputy
            deputy.deputies.join(name, self.leases[name].sharers, self.now)
            self.leases[name].join_deputy()

    def beat(self) -> None:
        """Exchange heartbeats and reports; connect who has no coordinator."""
        for name, leases in self.leases.items():
            link = self.links[name]
            if isinstance(link, Deputy):
                link.deputies.heard_at[name] = self.now
                if self.current is None or name in self.cut:
                    continue
                link.deputies.leave(name)
                if not link.deputies.shares:
                    self.domains.pop(int(name[1:]) % 3, None)
                link = self.links[name] = None
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
        if self.has_coordinator(name):
            self.arrivals[workspace].append((self.now, self.links[name]))
        result = self.leases[name].request(workspace, number, self.now, until)
        if result is not None:
            self.finish(name, workspace, result)
            return
        self.waiting[number] = workspace
        self.at(self.now, lambda: self.ask(name))
        self.at(until, lambda: self.give_up(name, number))

    def give_up(self, name: str, number: int) -> None:
        """Refuse a request that has waited."""
        workspace = self.waiting.pop(number, None)
        if workspace is not None:
            denial = self.leases[name].give_up(workspace, number, self.now)
            self.finish(name, workspace, denial)

    def has_coordinator(self, name: str) -> bool:
        """Return whether an instance has a coordinator that pools shares."""
        link = self.links[name]
        if link is None or not self.reaches(name, link):
            return False
        return self.now - link.begun_at > SETTLE_S

    def reaches(self, name: str, link: Coordinator) -> bool:
        """Return whether messages pass; each domain has its own network."""
        return isinstance(link, Deputy) or name not in self.cut

    def finish(
        self, name: str, workspace: str, result: quotas.Token | quotas.Denial
    ) -> None:
        """Record the result of a request."""
        if isinstance(result, quotas.Token):
            self.runs[workspace].append(max(self.now, result.due_at))
            self.alone[name] += not self.has_coordinator(name)
        elif self.has_coordinator(name):
            self.refusals[workspace].append(self.now)

    def ask(self, name: str) -> None:
        """Send what an instance asks for, if it is due."""
        leases, link = self.leases[name], self.links[name]
        asks = leases.ask(self.now)
        if asks and link is not None and self.reaches(name, link):
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
            if self.links[name] is not link or not self.reaches(name, link):
                return
            results = self.leases[name].receive(grants, self.now)
            for number, result in results:
                workspace = self.waiting.pop(number, None)
                if workspace is not None:
                    self.finish(name, workspace, result)
            self.ask(name)

        self.at(self.now + LATENCY_S, receive)


class ReplayTest(unittest.TestCase):
    """71 workspaces on 58 instances, some with 7.5 times their demand."""

    surging = ('w0', 'w9', 'w70')

    def setUp(self) -> None:
        """Prepare 289 requests/s, most of them of a few workspaces."""
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
        for name in self.surging:
            self.replay.load(name, 6.5 * self.demand[name], 12, 18.5)

    def check_bound(self) -> None:
        """Check the number of runs in each window."""
        for name, quota in self.limits.items():
            times = sorted(self.replay.runs[name])
            limit = quota.rate_per_s * quotas.WINDOW_S + quota.burst
            for index, begin in enumerate(times):
                end = bisect.bisect_right(times, begin + quotas.WINDOW_S)
                self.assertLessEqual(end - index, limit * 1.1 + 20, name)

    def check_ordinary(self) -> None:
        """Check the refusals of workspaces that do not surge.

        Only requests at instances with a coordinator count. Buckets without
        leases would refuse some too, as the demand is random.
        """
        count = refused = 0
        for name in self.demand.keys() - set(self.surging):
            count += len(self.replay.arrivals[name])
            refused += len(self.replay.refusals[name])
            refused -= self.unavoidable(name)
        self.assertLessEqual(refused / count, 0.01)

    def unavoidable(self, name: str) -> int:
        """Return the refusals by one bucket for each coordinator."""
        quota, count = self.limits[name], 0
        buckets: dict[Coordinator, tuple[float, float]] = {}
        for at, link in self.replay.arrivals[name]:
            rate = quota.rate_per_s * link.share_at(at)
            level, filled_at = buckets.get(link, (0.0, link.begun_at))
            level += (at - filled_at) * rate
            level = min(level, max(1.0, quota.burst * link.share_at(at)))
            is_refused = level + rate * MAX_WAIT_S < 1
            buckets[link] = (level if is_refused else level - 1, at)
            count += is_refused
        return count

    def test_surges(self) -> None:
        """Guards against surges that take the tokens of others.

        A surging workspace gets its quota, and messages are fewer than
        requests.
        """
        self.replay.run(30)
        self.check_bound()
        self.check_ordinary()
        for name in self.surging[:2]:
            quota = self.limits[name]
            count = sum(12 <= at < 18.5 for at in self.replay.runs[name])
            least = quota.burst * 0.4 + quota.rate_per_s * 6.5
            self.assertGreaterEqual(count, 0.9 * least)
        requests = sum(map(len, self.replay.arrivals.values()))
        self.assertLess(self.replay.messages, requests)

    def test_domain_is_cut_off(self) -> None:
        """Guards against shares in use at both sides of a partition."""
        cut = INSTANCES[::3]
        self.replay.at(13, lambda: self.replay.cut.update(cut))
        self.replay.at(24, self.replay.cut.clear)
        self.replay.run(30)
        self.check_bound()
        self.check_ordinary()
        # Shares of two cut-off instances in five seconds.
        for name in cut[:2]:
            self.assertGreater(self.replay.alone[name], 0)

    def test_terms_end(self) -> None:
        """Guards against a burst for each term of a series."""
        for begin in (13, 15.5, 17):
            self.replay.at(begin, self.replay.end_term)
            self.replay.at(
                begin + 1, lambda: self.replay.begin_term(INSTANCES)
            )
        self.replay.run(30)
        self.check_bound()
        self.check_ordinary()

    def test_instances_join(self) -> None:
        """Guards against new instances that add to the quotas."""
        for number in range(30):
            at = 12 + number / 10
            name = f'j{number:02}'
            self.replay.at(at, lambda name=name: self.replay.add(name))
        self.replay.at(15, self.replay.end_term)
        self.replay.at(
            16, lambda: self.replay.begin_term(list(self.replay.leases))
        )
        self.replay.run(30)
        self.check_bound()
        self.check_ordinary()

    def test_two_coordinators(self) -> None:
        """Guards against a coordinator that is cut off and goes on.

        Half of the instances stay with it, in a partition.
        """

        def divide() -> None:
            for name in INSTANCES[::2]:
                self.replay.disconnect(name)
            self.replay.begin_term(INSTANCES)

        self.replay.at(14, divide)
        self.replay.run(30)
        self.check_bound()
        self.check_ordinary()


class PoolTest(unittest.TestCase):
    """Pauses, restarts and lower quotas."""

    def test_standstill_of_the_coordinator(self) -> None:
        """Guards against tokens of the time in which nobody was connected."""
        pool, sharers = quotas.Pool(0.0), quotas.Sharers(['a', 'b'], 0.0)
        sharers.update(['a', 'b'], 0.0)
        sharers.tell(['a', 'b'], 0.0)
        pool.configure({'w': quotas.Quota(10.0, 100.0)}, 0.0)
        pool.set_share(sharers.pooled_share(['a', 'b'], 0.0), 0.0)
        pool.set_share(sharers.pooled_share([], 60.0), 60.0)
        pool.set_share(sharers.pooled_share(['a'], 60.1), 60.1)
        ask = quotas.Ask('w', 50, 0, 0.0)
        self.assertEqual(0, pool.grant(ask, 60.1).tokens)
        self.assertEqual(5, pool.grant(ask, 61.1).tokens)

    def test_lost_instances_own_shares(self) -> None:
        """Guards against shares that are used by two."""
        sharers = quotas.Sharers(['a', 'b', 'c', 'd'], 0.0)
        sharers.update(['a', 'b'], 0.0)
        self.assertAlmostEqual(0.5, sharers.pooled_share(['a', 'b'], 0.0))
        # A new instance is not told the number before it is recorded.
        sharers.update(['a', 'b', 'e'], 1.0)
        self.assertEqual(0, sharers.tell(['a', 'b', 'c', 'd'], 1.0))
        self.assertEqual(5, sharers.tell(['a', 'b', 'c', 'd', 'e'], 2.0))
        sharers.update(['a', 'b'], 30.0)
        self.assertAlmostEqual(0.3, sharers.pooled_share(['a', 'b'], 30.0))
        sharers.update(['a', 'b'], 95.0)
        self.assertAlmostEqual(1.0, sharers.pooled_share(['a', 'b'], 95.0))

    def test_instance_is_lost_before_it_knows_the_number(self) -> None:
        """Guards against a new instance that takes the whole quota.

        The coordinator was alone, and had told itself that it is.
        """
        sharers = quotas.Sharers((), 0.0)
        sharers.update(['a'], 0.0)
        self.assertEqual(1, sharers.tell(['a'], 1.0))
        sharers.update(['a', 'b', 'c'], 2.0)
        sharers.update(['a', 'c'], 2.1)
        self.assertAlmostEqual(1.0, sharers.pooled_share(['a', 'c'], 2.1))
        self.assertEqual(2, sharers.tell(['a', 'c'], 2.2))
        # An instance of the former term knows the number of that term.
        sharers = quotas.Sharers(['a', 'b'], 0.0)
        sharers.update(['a', 'b'], 0.1)
        sharers.update(['a'], 0.2)
        self.assertAlmostEqual(0.5, sharers.pooled_share(['a'], 0.2))

    def test_instance_alone(self) -> None:
        """Guards against an own share that is used too long or too early."""
        leases = quotas.Leases('a', random.Random(1))
        leases.configure({'w': quotas.Quota(10.0, 10.0)})
        self.assertIsNone(leases.request('w', 1, 0.0, 0.1))
        leases.connect(0.0)
        leases.set_sharers(2, ['a', 'b'])
        leases.disconnect(20.0, 19.0)
        served = [
            second
            for second in range(20, 80)
            if leases.request('w', second, second + 0.5, second + 0.6)
        ]
        self.assertEqual(list(range(20, 74)), served)

    def test_answer_after_a_standstill(self) -> None:
        """Guards against a request within its quota that is refused."""
        leases = quotas.Leases('a', random.Random(1))
        leases.configure({'w': quotas.Quota(10.0, 10.0)})
        leases.connect(0.0)
        self.assertIsNone(leases.request('w', 1, 0.0, 0.1))
        self.assertEqual(1, leases.ask(0.0)[0].needed)
        grant = quotas.Grant('w', 1, 1, 0.1, 0.1, 0.1, 0.1)
        self.assertEqual([], leases.receive([grant], 2.0))
        self.assertEqual(1, leases.ask(2.0)[0].needed)
        ((number, token),) = leases.receive([grant], 2.01)
        self.assertEqual((1, 2.01), (number, token.due_at))

    def test_lower_quota(self) -> None:
        """Guards against leased tokens that outlast their quota."""
        leases = quotas.Leases('a', random.Random(1))
        leases.configure({'w': quotas.Quota(10.0, 10.0)})
        leases.connect(0.0)
        leases.give_back('w', quotas.Token(0.0, 1.0), 0.0)
        leases.configure({'w': quotas.Quota(5.0, 10.0)})
        self.assertIsNone(leases.request('w', 1, 0.0, 0.1))
