"""Simulated instances: electors, candidates, coordinators and senders."""

from __future__ import annotations

import functools
import random
import typing

from knapweedhall_bench.schedules import processes
from knapweedhall_ownership import coordinator
from knapweedhall_ownership import election
from knapweedhall_ownership import groups
from knapweedhall_ownership import messages
from knapweedhall_ownership import orders
from knapweedhall_ownership import permits
from knapweedhall_records import ids

if typing.TYPE_CHECKING:
    from knapweedhall_bench.schedules import world


class Instance(processes.Process):
    """An instance: elector, candidate, coordinator and sender."""

    def __init__(self, schedule: world.World, number: int) -> None:
        super().__init__(schedule)
        self.id = ids.InstanceId(f'i{number}', number)
        self.elector = election.Elector()
        self.candidate = election.Candidate(
            self.id, processes.GROUP, random.Random(schedule.rng.random())
        )
        self.coordinator: coordinator.Coordinator | None = None
        self.table = permits.PermitTable(processes.GROUP)
        self.clocks: dict[tuple[str, int], tuple[int, float]] = {}
        for name, service in processes.SERVICES.items():
            self.table.set_service(
                name,
                processes.SLICES,
                service.checks_tokens,
                processes.MAX_WORK_MS,
            )
        schedule.later(0.0, functools.partial(self.do, self.tick))
        schedule.later(0.0, functools.partial(self.do, self.ask))
        schedule.later(0.5, functools.partial(self.do, self.work))

    def lease(self) -> election.Lease | None:
        """Return the lease as the instance sees it, also in a pause."""
        return self.candidate.lease(self.now())

    def read_log(self) -> None:
        """Take the newest records."""
        version = len(self.world.electors)
        self.elector.set_electors_version(processes.GROUP, version)
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
        self.world.later(
            processes.TICK_S, functools.partial(self.do, self.tick)
        )
        until = self.elector.promised_until(processes.GROUP)
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
                self.world.send(
                    target, typing.cast(processes.Action, give), self
                )

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
        started = coordinator.Coordinator(processes.GROUP, term, self.now())
        for name, service in processes.SERVICES.items():
            started.set_service(name, service)
        started.set_upstreams(
            self.now(),
            [
                orders.UpstreamView(
                    each.name, each.service, 'a', 'live', processes.LIMITS
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
        wanted = groups.elector_set(processes.GROUP, live, current)
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
        service = self.world.rng.choice(list(processes.SERVICES))
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
