"""One tenure as the coordinator of all divided services."""

from __future__ import annotations

import asyncio
import functools
import typing

from knapweedhall_adapter import orders as order_client
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router import coordinator_link
from knapweedhall_router import coordinator_store
from knapweedhall_router import feed
from knapweedhall_router import instance_links
from knapweedhall_router import lease as lease_module
from knapweedhall_router import logs
from knapweedhall_router import messages
from knapweedhall_router import moves
from knapweedhall_router import order_sender
from knapweedhall_router import renewals
from knapweedhall_router import service_state
from knapweedhall_router import state as state_module
from knapweedhall_router import takeover
from knapweedhall_routing import holdings
from knapweedhall_routing import planning
from knapweedhall_routing import quorum
from knapweedhall_routing import rates

# Period of renewals, and of plans; a plan sums the rates of all keys.
TICK_S = 0.1
PLAN_S = 0.25
# Share of its cold budget that an upstream's keys may bring.
COLD_USE = 0.8
# Time for which the connected instances must be the same before they are
# recorded, so that a restart of all makes a few records.
FLEET_CALM_S = 0.5
# Time after an outage for which it is told with each record: longer than the
# memory of outages in `directory`.
OUTAGE_NEWS_S = 5.0


class Coordinator:
    """Grants keys to upstreams and tells instances who owns them.

    Attributes
    ----------
    store : coordinator_store.CoordinatorStore
        The tenure and the assignments in the store.
    lease : lease.Lease
        How long the tenure lasts.
    """

    def __init__(
        self,
        client: store.StoreClient,
        order_client: order_client.OrderClient,
        state: state_module.State,
        leased_until: float,
    ) -> None:
        self.store = coordinator_store.CoordinatorStore(client, state.settings)
        self.state = state
        self.lease = lease_module.Lease(state, leased_until)
        self.orders = order_sender.OrderSender(
            order_client, holdings.FencingTokens(0)
        )
        self.services: dict[str, service_state.ServiceState] = {}
        self.times = rates.ServiceTimes()
        self.links = instance_links.InstanceLinks(
            self.greeting, self.report, self.heartbeat
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.mover = moves.Mover(
            self.store, self.orders, self.state, self.lease
        )
        self.renewer = renewals.Renewer(
            self.orders, self.state, self.lease, self.may_renew
        )

    def must_stop(self) -> bool:
        """Return whether nothing may be sent any more."""
        return self.lease.must_stop_renewals() or self.orders.fenced

    def may_renew(self) -> bool:
        """Return whether grants that exist may still be renewed."""
        if self.must_stop():
            return False
        if not self.lease.is_expired():
            return True
        reports, now = self.links.reports(), clock.now()
        return all(
            quorum.is_general_outage(fleet, reports, now)
            for fleet in self.store.fleets()
        )

    async def run(self) -> None:
        """Take over and coordinate until cancelled or deposed."""
        try:
            await self._take_over()
            self.state.feed.relay = self.pass_on
            async with asyncio.TaskGroup() as group:
                group.create_task(self.links.run())
                group.create_task(self._end_predecessors())
                group.create_task(self._record_fleet())
                group.create_task(self._renew())
                group.create_task(self._plan())
        finally:
            self.state.feed.relay = None
            for task in list(self.tasks):
                task.cancel()
            logs.info('tenure_ended', epoch=self.store.epoch)

    async def _take_over(self) -> None:
        found = await self.store.begin()
        self.orders.fences = holdings.FencingTokens(self.store.epoch)
        now = clock.now()
        for name, rows in found.items():
            self.services[name] = service_state.ServiceState(name)
            self.services[name].ranges.restore(rows, now)
        # Instances may have connected while the store was asked.
        for table in self.tables():
            self.links.send(table)
        logs.info('tenure_begun', epoch=self.store.epoch)

    async def _end_predecessors(self) -> None:
        order = messages.Takeover(
            self.store.epoch, coordinator_link.member_id(self.state.settings)
        )
        await takeover.end_predecessors(
            self.store.predecessors, order, self.links.connected_at
        )
        now = clock.now()
        for service in self.services.values():
            service.ranges.record_predecessors_ended(now)
        await self.store.predecessors_ended()

    async def _record_fleet(self) -> None:
        """Keep the instances whose majority counts in the store."""
        known: list[str] = []
        while True:
            await asyncio.sleep(FLEET_CALM_S)
            found = self.links.instances()
            if found != known or self.lease.is_expired():
                known = found
            elif found != self.store.fleet:
                await self.store.record_fleet(found)

    # Instances

    def greeting(self, wanted: list[str]) -> list[messages.Message]:
        """Return what an instance gets that connects."""
        return [
            *self.tables(),
            *(
                messages.Records(topic, True, self.state.feed.listing(topic))
                for topic in wanted
                if topic in self.state.feed.newest
            ),
        ]

    def heartbeat(
        self, number: int, joined: list[str], left: list[str]
    ) -> messages.Heartbeat:
        """Return a heartbeat."""
        now = clock.now()
        return messages.Heartbeat(
            number,
            joined,
            left,
            self.lease.is_expired(),
            self.state.feed.ages(now),
            now - self.state.directory.last_outage_at,
        )

    def pass_on(self, topic: str, records: feed.Records) -> None:
        """Send records of the store to all instances."""
        now = clock.now()
        if now - self.state.directory.last_outage_at < OUTAGE_NEWS_S:
            # Without the heartbeat, which tells how recent the outage was,
            # the removals after it would be taken as departures.
            self.links.beat()
        self.links.send(
            messages.Records(
                topic,
                False,
                [(one.offset, one.key, one.value) for one in records],
            )
        )

    def overview(self) -> messages.Overview:
        """Return what an operator is shown."""
        return messages.Overview(
            self.state.settings.name,
            self.store.epoch,
            self.lease.is_expired(),
            self.links.versions(),
            {table.service: table.owned_ranges for table in self.tables()},
        )

    def tables(self) -> list[messages.Table]:
        """Return all tables of owners."""
        epoch = self.store.epoch
        return [one.table(epoch) for one in self.services.values()]

    def report(self, report: messages.Report) -> None:
        """Take over what an instance measured."""
        for name, counts in report.keys.items():
            if name in self.services:
                self.services[name].rates.add(counts)
        for upstream, (count, service_s) in report.times.items():
            self.times.add(upstream, count, service_s)

    def _announce(
        self,
        service: service_state.ServiceState,
        changed: typing.Iterable[holdings.Holding],
    ) -> None:
        self.links.send(service.change(self.store.epoch, changed))

    # Renewals

    async def _renew(self) -> None:
        while True:
            now = clock.now()
            if self.orders.fenced:
                raise coordinator_store.DeposedError
            for service in self.services.values():
                announce = functools.partial(self._announce, service)
                for due in self.renewer.due(service.ranges, now):
                    self._start(
                        self.renewer.renew(service.ranges, due, announce)
                    )
            await asyncio.sleep(TICK_S)

    def _start(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            if isinstance(error, coordinator_store.DeposedError):
                self.orders.fenced = True
                return
            logs.warning('coordinator_fault', reason=repr(error))

    # Plans

    async def _plan(self) -> None:
        while True:
            await asyncio.sleep(PLAN_S)
            if self.lease.is_expired() or self.lease.is_store_unresponsive():
                continue
            if not self.state.listed:
                continue
            now = clock.now()
            self.times.keep_only(self.state.directory.entries)
            for name in self.state.divided_services():
                if name not in self.services:
                    self._add(name)
                self._plan_service(self.services[name], now)

    def _add(self, name: str) -> None:
        added = self.services[name] = service_state.ServiceState(name)
        self.links.send(added.table(self.store.epoch))

    def _plan_service(
        self, service: service_state.ServiceState, now: float
    ) -> None:
        service.rates.decay(now)
        items = service.ranges.items
        view = self._view(service, now)
        if not service.is_settled(len(view.capacity), now):
            return
        orphans = [
            one
            for one in items
            if not one.moving
            and not one.in_flight
            and self._is_orphan(one, now)
            and (one.is_free(now) or self.mover.may_release(one.upstream, now))
        ]
        planned = planning.place_orphans(items, view, orphans)
        if not planned:
            planned = planning.rebalance(items, view, now)
        for move in planned:
            self._begin(service, move, now)

    def _is_orphan(self, one: holdings.Holding, now: float) -> bool:
        """Return whether a range has to go to another upstream."""
        entry = self.state.directory.entries.get(one.upstream)
        if entry is None:
            return True
        if one.born_ms and entry.born_ms != one.born_ms:
            # It holds nothing of before, but a grant that was meant for the
            # incarnation before may have reached it, or may do so yet.
            return True
        if not self.state.directory.is_usable(entry):
            return True
        return one.is_free(now)

    def _view(
        self, service: service_state.ServiceState, now: float
    ) -> planning.Inputs:
        name = service.ranges.service
        usable = [
            one
            for one in self.state.directory.usable(name)
            if one.name not in self.state.directory.pending_removals
            and not self.orders.is_silent(one.name, now)
        ]
        warm = [one for one in usable if one.cold_until <= now]
        cold_per_s = self.state.service(name).cold_per_s
        capacity = {one.name: self.times.capacity(one) for one in warm}
        if not warm:
            capacity = {
                one.name: max(1.0, cold_per_s * COLD_USE) for one in usable
            }
        return planning.Inputs(
            capacity, service.rates, self.state.movement(name)
        )

    # Moves

    def _begin(
        self,
        service: service_state.ServiceState,
        move: planning.Move,
        now: float,
    ) -> None:
        try:
            one = service.ranges.split(move.first, move.last)
        except ValueError:
            return
        target = self.state.directory.entries.get(move.target)
        # A range whose grants have ended may go to its last holder again.
        if target is None or one.in_flight:
            return
        one.moving, one.target = True, target.name
        self._announce(service, [one])
        announce = functools.partial(self._announce, service)
        self._start(self.mover.move(service.ranges, one, target, announce))
