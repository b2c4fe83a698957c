"""Measures the costs of the decisions in knapweedhall_ownership.

Run with ``python -m knapweedhall_bench.decision_costs``; prints a Markdown
table of processor times in microseconds.
"""

from __future__ import annotations

import argparse
import statistics
import time
import typing

from knapweedhall_ownership import configuration
from knapweedhall_ownership import coordinator
from knapweedhall_ownership import messages
from knapweedhall_ownership import orders
from knapweedhall_ownership import permits
from knapweedhall_ownership import placement
from knapweedhall_records import bodies
from knapweedhall_records import ids

LIMITS = bodies.Limits(4, 130)
SERVICE = 'service-0'
GROUP = 'service/service-0'
TERM = ids.Term(1, 1).encode()
KEYS = 1000
BATCH = 20
STEP_S = 0.05
Action = typing.Callable[[], typing.Any]


class Size(typing.NamedTuple):
    """Size of one group."""

    slices: int
    upstreams: int
    instances: int


SIZES = (Size(256, 20, 11), Size(4096, 100, 50), Size(65536, 450, 450))
RECORDS = (100, 1000, 10000)


class Cost(typing.NamedTuple):
    """Processor time of one call in microseconds."""

    name: str
    size: str
    median_us: float
    highest_us: float
    runs: int


def measure(
    name: str,
    size: list[tuple[str, int]],
    actions: typing.Iterable[Action],
    batch: int = 1,
) -> Cost:
    """Time actions, each of which makes `batch` calls."""
    times = []
    for action in actions:
        start = time.process_time_ns()
        action()
        elapsed = time.process_time_ns() - start
        times.append(elapsed / 1000 / batch)
    text = ', '.join(f'{value} {field}' for field, value in size)
    return Cost(name, text, statistics.median(times), max(times), len(times))


def fields_of(size: Size) -> list[tuple[str, int]]:
    """Return names and values of a size."""
    return list(size._asdict().items())


def upstreams(size: Size) -> list[placement.Candidate]:
    """Return upstreams in seven failure domains."""
    return [
        placement.Candidate(f'upstream-{i:03}', f'domain-{i % 7}')
        for i in range(size.upstreams)
    ]


def plan_costs(size: Size) -> typing.Iterator[Cost]:
    """Measure a first plan and one after the loss of an upstream."""
    found = upstreams(size)
    plan = placement.make_plan(size.slices, found)
    runs = 3 if size.slices > 10000 else 10

    def first() -> None:
        placement.make_plan(size.slices, found)

    def after_loss() -> None:
        placement.make_plan(size.slices, found[1:], plan)

    fields = fields_of(size)[:2]
    yield measure('make_plan, first', fields, [first] * runs)
    yield measure('make_plan, one upstream lost', fields, [after_loss] * runs)


def store_costs(count: int) -> typing.Iterator[Cost]:
    """Measure winners and losers beside a number of records in force."""
    store = configuration.Store()

    def mark(i: int, version: int) -> bodies.Record:
        name, state = f'instance/{i}', bodies.Mark('out')
        return bodies.Record(
            'mark', 2, name, version, version - 1, 'w', 1, i, state
        )

    for i in range(count):
        store.apply(i, mark(i, 1))
    records = [mark(i % count, 2) for i in range(BATCH * 50)]

    def apply(start: int) -> Action:
        def run() -> None:
            for i in range(start, start + BATCH):
                store.apply(count + i, records[i])

        return run

    actions = [apply(start) for start in range(0, len(records), BATCH)]
    fields = [('records in force', count)]
    yield measure('Store.apply', fields, actions, BATCH)
    yield measure(
        'Store.snapshot', fields, [typing.cast(Action, store.snapshot)] * 5
    )


def route_costs(size: Size) -> typing.Iterator[Cost]:
    """Measure the choice of a request's owner and the check of it."""
    table = permits.PermitTable(GROUP)
    table.set_service(SERVICE, size.slices, True)
    table.request(0.0, {}, {})
    entries = [
        messages.TableEntry(SERVICE, i, f'upstream-{i % size.upstreams}', 1)
        for i in range(size.slices)
    ]
    offer = messages.PermitOffer(GROUP, TERM, 1, 1000, 1, 0, entries, 1, {})
    table.take(0.0, offer)
    keys = [f'key-{i}' for i in range(KEYS)]

    def run() -> None:
        for key in keys:
            route = table.route(0.5, SERVICE, key)
            assert isinstance(route, permits.Route)
            table.still_valid(0.5, SERVICE, route)

    yield measure(
        'PermitTable.route and still_valid',
        fields_of(size)[:1],
        [run] * BATCH,
        KEYS,
    )


class Group:
    """A coordinator whose upstreams and instances answer at once."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.now = 0.0
        self.silent: set[str] = set()
        self.leader = coordinator.Coordinator(GROUP, TERM, 0.0)
        service = bodies.Service('divided', LIMITS, size.slices)
        service = service._replace(checks_tokens=True)
        self.leader.set_service(SERVICE, service)
        found = upstreams(size)
        views = [
            orders.UpstreamView(
                each.name, SERVICE, each.failure_domain, 'live', LIMITS
            )
            for each in found
        ]
        self.leader.set_upstreams(0.0, views)
        plan = placement.make_plan(size.slices, found)
        for name, chunk in placement.divide(SERVICE, plan).items():
            first = int(name.partition('/')[2] or 0)
            self.leader.set_plan(SERVICE, first, 1, chunk)
        self.instances = [
            ids.InstanceId(f'instance-{i:03}', 1)
            for i in range(size.instances)
        ]
        by_domain: dict[str, list[ids.InstanceId]] = {}
        for i, each in enumerate(self.instances):
            by_domain.setdefault(f'domain-{i % 7}', []).append(each)
        self.leader.set_instances(by_domain)
        self.held: dict[ids.InstanceId, messages.PermitOffer] = {}
        self.number = 0

    def step(self) -> None:
        """Run one step and answer what it sends."""
        self.now += STEP_S
        found = self.leader.step(self.now, self.now + 1.0)
        clock_ms = int(self.now * 1000)
        for name in found.probes:
            self.leader.clock_read(self.now, name, 1, clock_ms)
        answer = messages.GrantAnswer(1, clock_ms, False, 4, 130, [])
        for grant in found.grants:
            if grant.upstream not in self.silent:
                self.leader.granted(
                    self.now, grant.upstream, grant.number, answer
                )
        for instance, offer in found.offers:
            self.held[instance] = offer

    def ask(self, instance: ids.InstanceId) -> None:
        """Ask for a permit and acknowledge the last one."""
        self.number += 1
        held = self.held.get(instance)
        request = messages.PermitRequest(
            GROUP,
            self.number,
            held.term if held else 0,
            held.table_version if held else 0,
            held.shares_version if held else 0,
        )
        offer = self.leader.permit_request(
            self.now, self.now + 1.0, instance, request
        )
        if offer:
            self.held[instance] = offer

    def settle(self) -> None:
        """Bring all instances to the newest table."""
        version = -1
        while version != self.leader.slices.table.version:
            version = self.leader.slices.table.version
            for _ in range(6):
                self.step()
            for instance in self.instances:
                self.ask(instance)
                while self.held[instance].table_version < version:
                    self.ask(instance)

    def lose_upstream(self) -> None:
        """Make one upstream silent until it is about to be declared lost."""
        self.silent = {upstreams(self.size)[0].name}
        contact = self.leader.contacts[upstreams(self.size)[0].name]
        while self.now + STEP_S < contact.last_answer + 0.5:
            self.step()


def coordinator_costs(size: Size) -> typing.Iterator[Cost]:
    """Measure steps and permit requests of a coordinator."""
    fields = fields_of(size)
    group = Group(size)
    yield measure('coordinator, first steps', fields, [group.step] * 6)
    group.settle()
    yield measure('coordinator, step', fields, [group.step] * 20)
    asks = [
        typing.cast(Action, lambda each=each: group.ask(each))
        for each in group.instances[:20]
    ]
    yield measure('coordinator, permit request', fields, asks)
    group.lose_upstream()
    yield measure(
        'coordinator, step that withdraws a lost upstream',
        fields,
        [group.step],
    )


def all_costs() -> typing.Iterator[Cost]:
    """Measure everything at all sizes."""
    for size in SIZES:
        yield from plan_costs(size)
    for count in RECORDS:
        yield from store_costs(count)
    for size in SIZES:
        yield from route_costs(size)
    for size in SIZES:
        yield from coordinator_costs(size)


def main() -> None:
    """Print the costs."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print('| decision | size | median us | highest us | runs |')
    print('|---|---|---|---|---|')
    for cost in all_costs():
        times = f'{cost.median_us:.1f} | {cost.highest_us:.1f}'
        print(f'| {cost.name} | {cost.size} | {times} | {cost.runs} |')


if __name__ == '__main__':
    main()
