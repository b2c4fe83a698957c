"""The simulated network, log and faults, and the checks."""

from __future__ import annotations

import functools
import heapq
import itertools
import random

from knapweedhall_bench.schedules import instance
from knapweedhall_bench.schedules import processes
from knapweedhall_bench.schedules import upstream
from knapweedhall_ownership import groups
from knapweedhall_records import bodies
from knapweedhall_records import ids


class World:
    """All processes, the network between them and the log."""

    def __init__(self, seed: int, instances: int = 4) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, processes.Action]] = []
        self.violations: list[str] = []
        self.terms: list[int] = []
        self.activations = 0
        self.executed = 0
        self.newest: dict[tuple[str, int], tuple[ids.Token, str]] = {}
        self.upstreams = {
            f'{service}-{i}': upstream.Upstream(
                self, f'{service}-{i}', service
            )
            for service in processes.SERVICES
            for i in range(3)
        }
        self.instances = [instance.Instance(self, i) for i in range(instances)]
        self.spawned = instances
        self.electors: list[groups.Electors] = []
        self.publish_electors(tuple(each.id for each in self.instances[:3]), 0)
        for service in processes.SERVICES:
            self.publish_plan(service, 1)
        self.later(1.0, self.disturb)

    def later(self, delay: float, action: processes.Action) -> None:
        """Run an action after a delay in real seconds."""
        entry = self.time + delay, next(self.order), action
        heapq.heappush(self.events, entry)

    def run(self, until: float) -> list[str]:
        """Run the schedule; stop at the first violation."""
        while self.events and not self.violations:
            self.time, _, action = heapq.heappop(self.events)
            if self.time > until:
                break
            action()
        return self.violations

    def send(
        self,
        target: processes.Process,
        action: processes.Action,
        sender: processes.Process | None = None,
    ) -> None:
        """Deliver a message, perhaps late, twice or never.

        `sender` is named for votes only, which a cut instance cannot send
        while it still reaches upstreams and other senders.

        Exchanges with upstreams are HTTP over TCP, which duplicates nothing.
        """
        if sender and max(sender.cut_until, target.cut_until) > self.time:
            return
        twice = (
            isinstance(target, instance.Instance) and self.rng.random() < 0.05
        )
        for _ in range(1 + twice):
            if self.rng.random() < 0.08:
                continue
            slow = self.rng.random() < 0.06
            delay = self.rng.expovariate(0.8 if slow else 300.0)
            self.later(delay, functools.partial(target.do, action))

    def disturb(self) -> None:
        """Pause, restart or freeze a process, or append to the log."""
        self.later(self.rng.expovariate(2.0), self.disturb)
        kind = self.rng.random()
        pausing: list[processes.Process] = [
            *self.instances,
            *self.upstreams.values(),
        ]
        if kind < 0.5:
            paused = self.rng.choice(pausing)
            paused.paused_until = self.time + self.rng.expovariate(1.2)
        elif kind < 0.6:
            cut = self.rng.choice(self.instances)
            cut.cut_until = self.time + self.rng.uniform(0.5, 2.5)
        elif kind < 0.75:
            service = self.rng.choice(list(processes.SERVICES))
            self.publish_plan(service, self.plan_versions[service] + 1)
        elif kind < 0.85:
            self.rng.choice(list(self.upstreams.values())).restart()
        elif kind < 0.93:
            for each in self.instances:
                each.do(each.close)
        else:
            self.replace_instance()

    def replace_instance(self) -> None:
        """End an instance and start another one."""
        live = {each.id for each in self.instances}
        if not live.issuperset(self.electors[-1]):
            # A second lost elector could end the majority for good.
            return
        ended = self.instances.pop(self.rng.randrange(len(self.instances)))
        ended.ended = True
        self.instances.append(instance.Instance(self, self.spawned))
        self.spawned += 1
        self.instances[-1].read_log()

    plan_versions: dict[str, int] = {}
    plans: dict[str, bodies.Plan] = {}

    def publish_plan(self, service: str, version: int) -> None:
        """Append a plan with random lists."""
        names = [f'{service}-{i}' for i in range(3)]
        lists = tuple(
            tuple(self.rng.sample(range(3), 3))
            for _ in range(processes.SLICES)
        )
        hot = {f'{service} hot': tuple(self.rng.sample(range(3), 3))}
        self.plan_versions = {**self.plan_versions, service: version}
        plan = bodies.Plan(
            tuple(names), lists, hot if self.rng.random() < 0.5 else {}
        )
        self.plans = {**self.plans, service: plan}
        self._announce()

    def publish_electors(self, electors: groups.Electors, base: int) -> None:
        """Append an electors record that replaces version `base`."""
        if base == len(self.electors):
            self.electors.append(electors)
            self._announce()

    def _announce(self) -> None:
        for each in self.instances:
            self.later(
                self.rng.expovariate(4.0),
                functools.partial(each.do, each.read_log),
            )

    def check_leases(self) -> None:
        """Note when two coordinators hold a lease at once."""
        found = [each.lease() for each in self.instances]
        held = {lease.term for lease in found if lease}
        if sum(lease is not None for lease in found) > 1:
            self.violations.append(f'leases overlap: {held}')
        for term in held - set(self.terms):
            if self.terms and term < self.terms[-1]:
                self.violations.append(f'term {term} after {self.terms[-1]}')
            self.terms.append(term)
