"""Publishes plans of divided services."""

from __future__ import annotations

import asyncio
import time
import typing

from knapweedhall_entry import fleet
from knapweedhall_entry import publisher
from knapweedhall_ownership import origins
from knapweedhall_ownership import placement
from knapweedhall_records import bodies

CHECK_INTERVAL_S = 0.25
PUBLISH_TIMEOUT_S = 5.0
# The coordinator has put the slices of a lost upstream on its successors
# long before; a plan that makes it permanent waits for a short freeze to end.
LOST_BEFORE_PLAN_S = 5.0
# Upstreams of a new deployment register one after another; each plan in
# between would move slices for nothing.
SETTLE_S = 1.0
# A plan is not made while the outcome of the last one is unknown.
RETRY_S = 1.0


class Silence(typing.NamedTuple):
    """What coordinators say of upstreams that do not respond.

    Attributes
    ----------
    groups : set of str
        Groups whose coordinator is heard; of the others nothing is known.
    lost : set of str
        Silent upstreams of these groups.
    """

    groups: set[str]
    lost: set[str]


class Planner:
    """Plans the services for which this instance is responsible.

    Parameters
    ----------
    view : fleet.Fleet
        Upstreams and plans.
    appender : publisher.Publisher
        Publishes plans.
    responsible : callable
        Returns whether this instance plans a service; two planners at the
        same time do no harm, as one of their plans loses on the log.
    silence : callable
        Returns which upstreams do not respond.
    """

    def __init__(
        self,
        view: fleet.Fleet,
        appender: publisher.Publisher,
        responsible: typing.Callable[[str, bodies.Service], bool],
        silence: typing.Callable[[], Silence],
    ) -> None:
        self.view = view
        self.appender = appender
        self.responsible = responsible
        self.silence = silence
        self.lost_since: dict[str, float] = {}
        self.wanted_since: dict[str, tuple[frozenset[str], float]] = {}

    def usable(self, service: str, now: float) -> list[placement.Candidate]:
        """Return the upstreams that are to own slices."""
        return [
            placement.Candidate(
                upstream.view.name, upstream.view.failure_domain
            )
            for upstream in self.view.of_service(service)
            if upstream.view.state == 'live'
            and now < self.lost_until(upstream.view.name, now)
        ]

    def lost_until(self, name: str, now: float) -> float:
        """Return until when a silent upstream keeps its place in plans."""
        return self.lost_since.get(name, now) + LOST_BEFORE_PLAN_S

    def note_lost(self, now: float) -> None:
        """Remember since when upstreams do not respond.

        An upstream whose coordinator is not heard keeps its state: a
        partition must not bring a lost upstream back into the plans.
        """
        found = self.silence()
        for name in found.lost:
            self.lost_since.setdefault(name, now)
        for name in set(self.lost_since) - found.lost:
            known = self.view.upstreams.get(name)
            if known is None or known.group in found.groups:
                del self.lost_since[name]

    def current(self, service: str) -> bodies.Plan | None:
        """Return the whole plan in force, None if there is none."""
        chunks = {
            first: record.body
            for first, record in self.view.plan_chunks(service).items()
            if isinstance(record.body, bodies.Plan)
        }
        return placement.join(chunks) if chunks else None

    def settled(self, service: str, names: frozenset[str], now: float) -> bool:
        """Return whether the set of usable upstreams has stopped changing."""
        known, since = self.wanted_since.get(service, (frozenset(), now))
        if known != names:
            since = now
        self.wanted_since[service] = names, since
        return now >= since + SETTLE_S

    def wanted(
        self, name: str, service: bodies.Service, now: float
    ) -> bodies.Plan | None:
        """Return the plan that should be in force, None to keep the present.

        Slices move only when the set of upstreams has changed.
        """
        usable = self.usable(name, now)
        names = frozenset(each.name for each in usable)
        if not usable or not self.settled(name, names, now):
            return None
        previous = self.current(name)
        if previous and set(previous.upstreams) == names:
            return None
        plan = placement.make_plan(
            service.slices,
            usable,
            previous,
            same_domain=service.partition_mode == 'stay',
            pinned=tuple(previous.origins) if previous else (),
        )
        return self.with_origins(name, plan, previous)

    def with_origins(
        self, name: str, plan: bodies.Plan, previous: bodies.Plan | None
    ) -> bodies.Plan:
        """Return the plan with the groups that give slices up first."""
        chunks = self.view.plan_chunks(name)
        versions = {
            first: chunks[first].version + 1 if first in chunks else 1
            for first in range(0, len(plan.slices), placement.PLAN_CHUNK)
        }
        known = {
            each.view.name: each.group for each in self.view.of_service(name)
        }

        def released(number: int, origin: bodies.Origin) -> bool:
            return self.view.has_release(name, number, origin)

        plan = origins.keep_in_flight(plan, previous, known, released)
        return origins.mark_origins(plan, versions, previous, known, released)

    async def publish(self, name: str, plan: bodies.Plan) -> None:
        """Publish the chunks of a plan that differ from those in force."""
        for record_name, chunk in placement.divide(name, plan).items():
            record = self.view.store.get('plan', record_name)
            if record is not None and record.body == chunk:
                continue
            version = record.version if record else 0
            draft = publisher.Draft('plan', record_name, version, chunk)
            outcome = await self.appender.publish(
                draft, time.monotonic() + PUBLISH_TIMEOUT_S
            )
            if not isinstance(outcome, publisher.Published):
                await asyncio.sleep(RETRY_S)
                return

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            self.note_lost(now)
            for name, service in self.view.services().items():
                if service.mode != 'divided':
                    continue
                if not self.responsible(name, service):
                    continue
                plan = self.wanted(name, service, now)
                if plan is not None:
                    await self.publish(name, plan)
