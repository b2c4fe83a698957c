"""Runs the coordinator of one group while its lease lasts."""

from __future__ import annotations

import asyncio
import functools
import time
import typing

from knapweedhall_entry import coordinator_inputs
from knapweedhall_entry import election_task
from knapweedhall_entry import messenger
from knapweedhall_entry import publisher
from knapweedhall_entry import upstream_client
from knapweedhall_events import trace
from knapweedhall_ownership import coordinator
from knapweedhall_ownership import orders as order_types
from knapweedhall_peering import envelope
from knapweedhall_records import bodies

STEP_S = 0.05
FEED_S = 0.1
# Below the time after which an upstream counts as lost, so that one call that
# hangs does not hide the next one.
CALL_TIMEOUT_S = 0.4
RELEASE_TIMEOUT_S = 1.0
APPEND_TIMEOUT_S = 5.0
# Bounds the work between two steps.
MAX_BATCH = 64


class HealthResult(typing.NamedTuple):
    """Answer to a first contact."""

    upstream: str
    outcome: upstream_client.HealthOutcome


class GrantResult(typing.NamedTuple):
    """Answer to a grant."""

    upstream: str
    number: int
    outcome: upstream_client.GrantOutcome


class ReleaseResult(typing.NamedTuple):
    """Answer to a release."""

    upstream: str
    number: int
    outcome: upstream_client.ReleaseOutcome


Item = HealthResult | GrantResult | ReleaseResult | envelope.Received


class CoordinatorTask:
    """One term of one group.

    Parameters
    ----------
    group : str
        Lease group.
    term : int
        Encoded term of the lease.
    elections : election_task.ElectionTask
        Tells whether the lease is still held.
    inputs : coordinator_inputs.Inputs
        Feeds records, list and members.
    calls : upstream_client.UpstreamClient
        Calls the upstreams.
    sender : messenger.Messenger
        Sends offers.
    appender : publisher.Publisher
        Appends release records.
    events : trace.TraceWriter
        Receives slices_* and upstream_* events.

    Attributes
    ----------
    queue : asyncio.Queue
        Permit requests and results of calls.
    lost : set of str
        Upstreams that do not respond.
    """

    def __init__(
        self,
        group: str,
        term: int,
        elections: election_task.ElectionTask,
        inputs: coordinator_inputs.Inputs,
        calls: upstream_client.UpstreamClient,
        sender: messenger.Messenger,
        appender: publisher.Publisher,
        events: trace.TraceWriter,
    ) -> None:
        self.group = group
        self.term = term
        self.elections = elections
        self.inputs = inputs
        self.calls = calls
        self.sender = sender
        self.appender = appender
        self.events = events
        now = time.monotonic()
        self.coordinator = coordinator.Coordinator(group, term, now)
        self.queue: asyncio.Queue[Item] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()
        self.calling: set[tuple[str, str]] = set()
        self.appending: set[str] = set()
        self.reasons: dict[str, str] = {}
        self.lost: set[str] = set()
        self.next_feed = now
        self.fed: coordinator_inputs.Revision | None = None
        self.closed_until: float | None = None

    async def run(self) -> None:
        """Coordinate until the term ends."""
        try:
            while self.elections.term(self.group) == self.term:
                self.step(time.monotonic())
                await self.take_batch()
        finally:
            for task in list(self.tasks):
                task.cancel()

    async def take_batch(self) -> None:
        """Take what has arrived, or wait until the next step is due."""
        try:
            async with asyncio.timeout(STEP_S):
                take(await self.queue.get(), self)
        except TimeoutError:
            return
        for _ in range(MAX_BATCH):
            if self.queue.empty():
                return
            take(self.queue.get_nowait(), self)

    def lease_deadline(self, now: float) -> float | None:
        """Return the end of the lease of this term, None if it is lost."""
        lease = self.elections.lease(now, self.group)
        if lease is None or lease.term != self.term:
            return None
        return lease.deadline

    def step(self, now: float) -> None:
        """Do what is due while the lease is held."""
        deadline = self.lease_deadline(now)
        if deadline is None:
            return
        if now >= self.next_feed:
            self.next_feed = now + FEED_S
            revision = self.inputs.revision(now)
            if revision != self.fed:
                self.fed = revision
                self.inputs.feed(self.coordinator, self.group, now)
        orders = self.coordinator.step(now, deadline)
        self.note_states()
        self.record(orders.events)
        for name in orders.probes:
            self.start('health', name, self.probe(name))
        for grant in orders.grants:
            self.start('grant', grant.upstream, self.grant(grant))
        for release in orders.releases:
            self.spawn(self.release(release))
        for instance, offer in orders.offers:
            self.sender.send(instance.name, offer)
        for given_up in orders.group_releases:
            self.append_release(given_up)

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a call beside this task."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start(
        self,
        kind: str,
        upstream: str,
        work: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a call unless one of its kind is under way to the upstream.

        Two grants under way at once could arrive in the wrong order.
        """
        if (kind, upstream) in self.calling:
            work.close()
            return
        self.calling.add((kind, upstream))

        async def call() -> None:
            try:
                await work
            finally:
                self.calling.discard((kind, upstream))

        self.spawn(call())

    async def probe(self, name: str) -> None:
        """Read an upstream's clock."""
        outcome = await self.calls.health(
            self.inputs.address(name), time.monotonic() + CALL_TIMEOUT_S
        )
        self.queue.put_nowait(HealthResult(name, outcome))

    async def grant(self, order: order_types.GrantOrder) -> None:
        """Send a grant."""
        outcome = await self.calls.grant(
            self.inputs.address(order.upstream),
            order.body,
            time.monotonic() + CALL_TIMEOUT_S,
        )
        self.queue.put_nowait(
            GrantResult(order.upstream, order.number, outcome)
        )

    async def release(self, order: order_types.ReleaseOrder) -> None:
        """Ask an upstream for slices back."""
        outcome = await self.calls.release(
            self.inputs.address(order.upstream),
            order.body,
            time.monotonic() + RELEASE_TIMEOUT_S,
        )
        self.queue.put_nowait(
            ReleaseResult(order.upstream, order.number, outcome)
        )

    def append_release(self, given_up: order_types.GroupRelease) -> None:
        """Append the record that slices have left this group."""
        name = f'{given_up.plan}/{given_up.plan_version}/{self.group}'
        if name in self.appending:
            return
        # A later record replaces the earlier one, so it names its slices, too.
        version, earlier = self.inputs.release(name)
        slices = tuple(sorted({*earlier, *given_up.slices}))
        if slices == earlier:
            return
        # A later coordinator of this group must not win without knowing the
        # plan, so a majority of its electors has to know it first.
        offset = self.inputs.plan_offset(given_up.service)
        if not self.elections.majority_has_read(self.group, offset):
            return
        body = bodies.Release(
            given_up.service, given_up.plan_version, self.group, slices
        )
        draft = publisher.Draft('release', name, version, body)

        self.appending.add(name)

        async def append() -> None:
            deadline = time.monotonic() + APPEND_TIMEOUT_S
            try:
                await self.appender.publish(draft, deadline)
            finally:
                self.appending.discard(name)

        self.spawn(append())

    def record(self, events: list[order_types.Event]) -> None:
        """Write the coordinator's events to the trace."""
        for event in events:
            if isinstance(event, order_types.Activation):
                self.events.emit(
                    'slices_activated',
                    group=self.group,
                    service=event.service,
                    upstream=event.upstream,
                    token=str(event.token),
                    slices=list(event.slices),
                )
            else:
                self.events.emit(
                    'slices_released',
                    group=self.group,
                    service=event.service,
                    upstream=event.upstream,
                    slices=list(event.slices),
                    reason=event.reason,
                )

    def note_states(self) -> None:
        """Emit events for upstreams that fell silent, returned or leave."""
        contacts = self.coordinator.contacts
        lost = {name for name, each in contacts.items() if each.lost}
        for name in sorted(lost - self.lost):
            self.events.emit('upstream_lost', group=self.group, upstream=name)
        for name in sorted((self.lost - lost) & set(contacts)):
            self.events.emit('upstream_back', group=self.group, upstream=name)
        self.lost = lost
        for name, each in contacts.items():
            reason = each.reason()
            if self.reasons.get(name) == reason:
                continue
            self.reasons[name] = reason
            if reason in ('leaving', 'out', 'gone'):
                self.events.emit(
                    'upstream_draining', upstream=name, reason=reason
                )
        for name in set(self.reasons) - set(contacts):
            del self.reasons[name]

    def knows(self, upstream: str) -> bool:
        """Return whether the coordinator still has an upstream.

        A call may end after its upstream has left the group.
        """
        return upstream in self.coordinator.contacts


@functools.singledispatch
def take(item: object, task: CoordinatorTask) -> None:
    """Hand one queued item to the coordinator."""
    raise TypeError(f'unexpected item {item!r}')


@take.register
def _take_request(item: envelope.Received, task: CoordinatorTask) -> None:
    now = time.monotonic()
    deadline = task.lease_deadline(now)
    if deadline is None:
        return
    offer = task.coordinator.permit_request(
        now, deadline, item.sender, item.body
    )
    if offer is not None:
        task.sender.send(item.sender.name, offer)


@take.register
def _take_health(item: HealthResult, task: CoordinatorTask) -> None:
    if not task.knows(item.upstream):
        return
    if isinstance(item.outcome, upstream_client.Healthy):
        task.coordinator.clock_read(
            item.outcome.received,
            item.upstream,
            item.outcome.incarnation,
            item.outcome.clock_ms,
        )


@take.register
def _take_grant(item: GrantResult, task: CoordinatorTask) -> None:
    outcome = item.outcome
    if not task.knows(item.upstream):
        return
    if isinstance(outcome, upstream_client.Accepted):
        task.coordinator.granted(
            outcome.received, item.upstream, item.number, outcome.answer
        )
        return
    now = time.monotonic()
    if isinstance(outcome, upstream_client.Failed):
        task.coordinator.grant_failed(now, item.upstream, item.number)
        return
    task.events.emit(
        'grant_refused',
        upstream=item.upstream,
        term=task.term,
        highest_term=outcome.highest_term,
    )
    task.coordinator.grant_rejected(
        now, item.upstream, item.number, outcome.highest_term
    )


@take.register
def _take_release(item: ReleaseResult, task: CoordinatorTask) -> None:
    now = time.monotonic()
    if isinstance(item.outcome, upstream_client.Released):
        task.coordinator.released(now, item.upstream, item.number)
    else:
        task.coordinator.release_failed(now, item.upstream, item.number)
