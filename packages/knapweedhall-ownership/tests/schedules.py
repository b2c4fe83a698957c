"""Randomized schedules of instances and upstreams, in simulated real time.

Messages are lost, delayed, duplicated and reordered, processes pause, and
clocks run at rates within 0.2%. The checks use real time, which no process
sees.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
import typing

from knapweedhall_ownership import coordinator
from knapweedhall_ownership import election
from knapweedhall_ownership import groups
from knapweedhall_ownership import messages
from knapweedhall_ownership import orders
from knapweedhall_ownership import permits
from knapweedhall_records import bodies
from knapweedhall_records import ids

GROUP = 'domain/a'
TICK_S = 0.05
SLICES = 4
MAX_WORK_MS = 250
LIMITS = bodies.Limits(4, 100)
SERVICES = {
    'checked': bodies.Service('divided', LIMITS, SLICES, checks_tokens=True),
    'plain': bodies.Service('divided', LIMITS, SLICES),
}
Action = typing.Callable[[], None]


class World:
    """All processes, the network between them and the log."""

    def __init__(self, seed: int, instances: int = 4) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, Action]] = []
        self.violations: list[str] = []
        self.terms: list[int] = []
        self.activations = 0
        self.executed = 0
        self.newest: dict[tuple[str, int], tuple[ids.Token, str]] = {}
        self.upstreams = {
            f'{service}-{i}': Upstream(self, f'{service}-{i}', service)
            for service in SERVICES
            for i in range(3)
        }
        self.instances = [Instance(self, i) for i in range(instances)]
        self.spawned = instances
        self.electors: list[groups.Electors] = []
        self.publish_electors(tuple(each.id for each in self.instances[:3]), 0)
        for service in SERVICES:
            self.publish_plan(service, 1)
        self.later(1.0, self.disturb)

    def later(self, delay: float, action: Action) -> None:
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
        self, target: Process, action: Action, sender: Process | None = None
    ) -> None:
        """Deliver a message, perhaps late, twice or never.

        `sender` is named for votes only, which a cut instance cannot send
        while it still reaches upstreams and other senders.

        Exchanges with upstreams are HTTP over TCP, which duplicates nothing.
        """
        if sender and max(sender.cut_until, target.cut_until) > self.time:
            return
        twice = isinstance(target, Instance) and self.rng.random() < 0.05
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
        processes: list[Process] = [*self.instances, *self.upstreams.values()]
        if kind < 0.5:
            paused = self.rng.choice(processes)
            paused.paused_until = self.time + self.rng.expovariate(1.2)
        elif kind < 0.6:
            cut = self.rng.choice(self.instances)
            cut.cut_until = self.time + self.rng.uniform(0.5, 2.5)
        elif kind < 0.75:
            service = self.rng.choice(list(SERVICES))
            self.publish_plan(service, self.plan_versions[service] + 1)
        elif kind < 0.85:
            self.rng.choice(list(self.upstreams.values())).restart()
        elif kind < 0.93:
            for instance in self.instances:
                instance.do(instance.close)
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
        self.instances.append(Instance(self, self.spawned))
        self.spawned += 1
        self.instances[-1].read_log()

    plan_versions: dict[str, int] = {}
    plans: dict[str, bodies.Plan] = {}

    def publish_plan(self, service: str, version: int) -> None:
        """Append a plan with random lists."""
        names = [f'{service}-{i}' for i in range(3)]
        lists = tuple(
            tuple(self.rng.sample(range(3), 3)) for _ in range(SLICES)
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
        for instance in self.instances:
            self.later(
                self.rng.expovariate(4.0),
                functools.partial(instance.do, instance.read_log),
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


class Process:
    """Something with a clock of its own that can pause."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.ended = False
        self.offset = world.rng.uniform(0, 1000)
        self.rate = world.rng.choice([0.998, 0.999, 1.001, 1.002])

    def now(self) -> float:
        """Return the process's monotonic clock."""
        return self.offset + self.world.time * self.rate

    def do(self, action: Action) -> None:
        """Run an action, after the end of a pause."""
        if self.ended:
            return
        wait = self.paused_until - self.world.time
        if wait > 0:
            self.world.later(wait, functools.partial(self.do, action))
        else:
            action()


class Upstream(Process):
    """An upstream; `plain` ones check deadlines only."""

    def __init__(self, world: World, name: str, service: str) -> None:
        super().__init__(world)
        self.name = name
        self.service = service
        self.incarnation = 1
        self.clear()

    def clear(self) -> None:
        """Forget everything but the name."""
        self.grants: dict[int, ids.Token] = {}
        self.deadline_ms = 0
        self.highest_term = 0
        self.seen: dict[int, ids.Token] = {}
        self.running: list[tuple[int, float]] = []

    def restart(self) -> None:
        """Start another run, whose clock is lower."""
        self.incarnation += 1
        self.offset -= self.world.rng.uniform(0, 500)
        self.clear()

    def clock_ms(self) -> int:
        """Return the clock as responses carry it."""
        return int(self.now() * 1000)

    def grant(
        self, body: messages.GrantBody
    ) -> messages.GrantAnswer | int | None:
        """Apply a grant; return the answer, or the highest term."""
        if body.term < self.highest_term:
            return self.highest_term
        held = [
            messages.Grant(self.service, str(token), [number])
            for number, token in self.grants.items()
        ]
        if self.accepts(body):
            self.highest_term = body.term
            self.deadline_ms = body.deadline_ms
            self.grants = {
                number: ids.Token.parse(grant.token)
                for grant in body.grants
                for number in grant.slices
                if ids.Token.parse(grant.token)
                >= self.grants.get(number, ids.Token(0, 0))
            }
            self.check_grants()
        return messages.GrantAnswer(
            self.incarnation, self.clock_ms(), False, 4, 100, held
        )

    def accepts(self, body: messages.GrantBody) -> bool:
        """Return whether the deadline refers to this run's clock."""
        return body.incarnation == self.incarnation

    def owns(self, number: int) -> bool:
        """Return whether a grant for a slice is in force."""
        return number in self.grants and self.clock_ms() < self.deadline_ms

    def check_grants(self) -> None:
        """Note when another upstream owns one of the slices, too."""
        if self.service != 'checked':
            return
        for other in self.world.upstreams.values():
            both = [
                number
                for number in self.grants
                if self.owns(number)
                and other is not self
                and other.service == self.service
                and other.owns(number)
            ]
            if both:
                self.world.violations.append(f'two owners of slices {both}')

    def release(self, body: messages.ReleaseBody, answer: Action) -> None:
        """Give slices up; answer when none of their work runs."""
        for number in body.slices:
            if body.term >= self.highest_term:
                self.grants.pop(number, None)
        ends = [end for number, end in self.running if number in body.slices]
        wait = max([0.0, *(end - self.world.time for end in ends)])
        self.world.later(wait, functools.partial(self.do, answer))

    def work(self, number: int, token: ids.Token, deadline_ms: int) -> bool:
        """Run a request unless it is refused; check whose turn it is."""
        work_s = self.world.rng.uniform(0.0, 0.1)
        if self.clock_ms() + work_s * 1000 >= deadline_ms:
            return False
        if self.service == 'checked':
            if not self.owns(number) or self.grants[number] != token:
                return False
        key = self.service, number
        newest, owner = self.world.newest.get(key, (token, self.name))
        if token < newest and owner != self.name:
            self.world.violations.append(
                f'{key} {token} ran at {self.name} after {newest} at {owner}'
            )
        for other in self.world.upstreams.values():
            if other is not self and other.service == self.service:
                busy = [
                    end
                    for running, end in other.running
                    if running == number and end > self.world.time
                ]
                if busy and self.service == 'plain':
                    self.world.violations.append(f'slice {key} ran twice')
        self.world.newest[key] = max((newest, owner), (token, self.name))
        self.world.executed += 1
        self.running.append((number, self.world.time + work_s))
        return True


class Instance(Process):
    """An instance: elector, candidate, coordinator and sender."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world)
        self.id = ids.InstanceId(f'i{number}', number)
        self.elector = election.Elector()
        self.candidate = election.Candidate(
            self.id, GROUP, random.Random(world.rng.random())
        )
        self.coordinator: coordinator.Coordinator | None = None
        self.table = permits.PermitTable(GROUP)
        self.clocks: dict[tuple[str, int], tuple[int, float]] = {}
        for name, service in SERVICES.items():
            self.table.set_service(
                name, SLICES, service.checks_tokens, MAX_WORK_MS
            )
        world.later(0.0, functools.partial(self.do, self.tick))
        world.later(0.0, functools.partial(self.do, self.ask))
        world.later(0.5, functools.partial(self.do, self.work))

    def lease(self) -> election.Lease | None:
        """Return the lease as the instance sees it, also in a pause."""
        return self.candidate.lease(self.now())

    def read_log(self) -> None:
        """Take the newest records."""
        version = len(self.world.electors)
        self.elector.set_electors_version(GROUP, version)
        self.candidate.set_electors(version, self.world.electors[-1])
        if self.coordinator:
            for service, plan in self.world.plans.items():
                self.coordinator.set_plan(
                    service, 0, self.world.plan_versions[service], plan
                )

    def find(self, instance: ids.InstanceId) -> Instance | None:
        """Return a live instance."""
        found = (each for each in self.world.instances if each.id == instance)
        return next(found, None)

    def tick(self) -> None:
        """Poll the candidate and the coordinator."""
        self.world.later(TICK_S, functools.partial(self.do, self.tick))
        until = self.elector.promised_until(GROUP)
        for name, request in self.candidate.poll(self.now(), until):
            target = self.find(name)
            if target:
                vote = functools.partial(target.vote, self, request)
                self.world.send(target, vote, self)
        self.release_votes(self.candidate.abandoned())
        self.world.check_leases()
        lease = self.lease()
        if lease:
            self.coordinate(lease)

    def release_votes(self, releases: election.VoteReleases) -> None:
        """Send votes back to the electors."""
        for name, release in releases:
            target = self.find(name)
            if target:
                give = functools.partial(
                    target.elector.release, self.id, release
                )
                self.world.send(target, typing.cast(Action, give), self)

    def vote(self, candidate: Instance, request: messages.VoteRequest) -> None:
        """Answer a candidate."""
        vote = self.elector.request(self.now(), candidate.id, request)

        def count() -> None:
            candidate.candidate.vote(candidate.now(), self.id, vote)
            self.world.check_leases()

        self.world.send(candidate, count, self)

    def coordinate(self, lease: election.Lease) -> None:
        """Run one step of the coordinator."""
        if self.coordinator is None or self.coordinator.term != lease.term:
            self.coordinator = self.start(lease.term)
            self.read_log()
        self.change_electors()
        found = self.coordinator.step(self.now(), lease.deadline)
        # A pause between the decision and the sending.
        if self.world.rng.random() < 0.01:
            pause = self.world.rng.expovariate(0.8)
            self.paused_until = self.world.time + pause
        self.do(functools.partial(self.execute, self.coordinator, found))
        self.release(self.coordinator)

    def close(self) -> None:
        """Begin a planned release of the lease, if there is one."""
        if self.coordinator and self.lease():
            self.coordinator.close(self.now() + 0.5)

    def release(self, leader: coordinator.Coordinator) -> None:
        """Give the lease back when all permits and grants have ended."""
        if leader.closing > self.now():
            return
        given = self.candidate.release(self.now(), leader.quiet_at())
        self.release_votes(given)

    def start(self, term: int) -> coordinator.Coordinator:
        """Return the coordinator of a new term."""
        started = coordinator.Coordinator(GROUP, term, self.now())
        for name, service in SERVICES.items():
            started.set_service(name, service)
        started.set_upstreams(
            self.now(),
            [
                orders.UpstreamView(
                    each.name, each.service, 'a', 'live', LIMITS
                )
                for each in self.world.upstreams.values()
            ],
        )
        started.set_instances(
            {'a': [each.id for each in self.world.instances]}
        )
        return started

    def change_electors(self) -> None:
        """Append the next step towards the wanted electors."""
        live = [groups.Instance(i.id, 'a') for i in self.world.instances]
        current = self.candidate.electors
        wanted = groups.elector_set(GROUP, live, current)
        step = groups.next_electors(current, wanted)
        if step and self.candidate.may_change_electors(self.now()):
            version = self.candidate.electors_version
            self.world.publish_electors(step, version)

    def execute(
        self, leader: coordinator.Coordinator, found: orders.Orders
    ) -> None:
        """Send what a step has ordered."""
        for name in found.probes:
            self.probe(leader, name)
        for grant in found.grants:
            self.send_grant(leader, grant)
        for release in found.releases:
            self.send_release(leader, release)
        for instance, offer in found.offers:
            self.send_offer(instance, offer)
        self.world.activations += sum(
            isinstance(event, orders.Activation) for event in found.events
        )

    def probe(self, leader: coordinator.Coordinator, name: str) -> None:
        """Read an upstream's clock."""
        upstream = self.world.upstreams[name]

        def respond() -> None:
            found = upstream.incarnation, upstream.clock_ms()
            self.world.send(
                self, lambda: leader.clock_read(self.now(), name, *found)
            )

        self.world.send(upstream, respond)

    def send_grant(
        self, leader: coordinator.Coordinator, order: orders.GrantOrder
    ) -> None:
        """Send a grant and take its answer; one without one fails."""
        upstream = self.world.upstreams[order.upstream]
        name, number = order.upstream, order.number

        def respond() -> None:
            answer = upstream.grant(order.body)
            if isinstance(answer, messages.GrantAnswer):
                self.world.send(
                    self,
                    lambda: leader.granted(self.now(), name, number, answer),
                )

        self.world.send(upstream, respond)
        self.world.later(
            0.3,
            lambda: self.do(
                lambda: leader.grant_failed(self.now(), name, number)
            ),
        )

    def send_release(
        self, leader: coordinator.Coordinator, order: orders.ReleaseOrder
    ) -> None:
        """Send a release; it fails when the answer takes too long."""
        upstream = self.world.upstreams[order.upstream]
        name, number = order.upstream, order.number

        def answer() -> None:
            self.world.send(
                self, lambda: leader.released(self.now(), name, number)
            )

        self.world.send(upstream, lambda: upstream.release(order.body, answer))
        self.world.later(
            0.5,
            lambda: self.do(
                lambda: leader.release_failed(self.now(), name, number)
            ),
        )

    def ask(self) -> None:
        """Send a permit request to all instances."""
        self.world.later(0.25, functools.partial(self.do, self.ask))
        self.table.forget(self.now())
        request = self.table.request(self.now(), {}, {})
        for target in self.world.instances:
            self.world.send(
                target, functools.partial(target.answer, self, request)
            )

    def answer(
        self, sender: Instance, request: messages.PermitRequest
    ) -> None:
        """Answer a permit request if this is the coordinator."""
        lease = self.lease()
        if not lease or not self.coordinator:
            return
        if self.coordinator.term != lease.term:
            return
        offer = self.coordinator.permit_request(
            self.now(), lease.deadline, sender.id, request
        )
        if offer:
            self.send_offer(sender.id, offer)

    def send_offer(
        self, instance: ids.InstanceId, offer: messages.PermitOffer
    ) -> None:
        """Send a permit."""
        target = self.find(instance)
        if target:

            def take() -> None:
                if target.table.take(target.now(), offer):
                    request = target.table.request(target.now(), {}, {})
                    self.world.send(
                        self, functools.partial(self.answer, target, request)
                    )

            self.world.send(target, take)

    def check_senders(self, service: str, key: str, owner: str) -> None:
        """Note when another instance sends a key elsewhere."""
        for other in self.world.instances:
            route = other.table.route(other.now(), service, key)
            if isinstance(route, permits.Route) and route.upstream != owner:
                self.world.violations.append(f'two owners of key {key}')

    def work(self) -> None:
        """Send a request to the owner of a random key."""
        self.world.later(
            self.world.rng.expovariate(15.0),
            functools.partial(self.do, self.work),
        )
        service = self.world.rng.choice(list(SERVICES))
        key = self.world.rng.choice([*map(str, range(8)), f'{service} hot'])
        route = self.table.route(self.now(), service, key)
        if isinstance(route, permits.NoRoute):
            return
        if not self.table.still_valid(self.now(), service, route):
            return
        self.check_senders(service, key, route.upstream)
        caller = self.now() + 5.0
        deadline = self.table.request_deadline(service, caller)
        self.table.begin(service, route, deadline)
        upstream = self.world.upstreams[route.upstream]
        # Readings belong to a connection and so to one run of the upstream.
        run = upstream.incarnation
        reading = self.clocks.get((route.upstream, run))
        if reading is None:
            reading = upstream.clock_ms(), self.now()
        length = (deadline - reading[1]) * 0.99
        deadline_ms = reading[0] + int(length * 1000)

        def arrive() -> None:
            if upstream.incarnation != run:
                return
            ran = upstream.work(route.slice, route.token, deadline_ms)
            clock = upstream.clock_ms()
            wait = max((end for _, end in upstream.running), default=0.0)
            self.world.later(
                max(0.0, wait - self.world.time) if ran else 0.0,
                lambda: self.world.send(self, lambda: answered(clock)),
            )

        def answered(clock: int) -> None:
            self.clocks[route.upstream, run] = clock, self.now()
            self.table.finish(service, route, deadline)

        self.world.send(upstream, arrive)
