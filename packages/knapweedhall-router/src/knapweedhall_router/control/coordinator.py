"""One term as the coordinator of all divided services."""

from __future__ import annotations

import asyncio
import functools
import math
import typing

from knapweedhall_adapter import errors
from knapweedhall_adapter import orders as order_client
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.control import feed
from knapweedhall_router.control import lease as lease_module
from knapweedhall_router.control import moves
from knapweedhall_router.control import order_sender
from knapweedhall_router.control import renewals
from knapweedhall_router.control import service_state
from knapweedhall_router.control import takeover
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import instance_links
from knapweedhall_router.links import messages
from knapweedhall_router import logs
from knapweedhall_router import settings
from knapweedhall_router import state as state_module
from knapweedhall_router import tasks
from knapweedhall_routing import announcements
from knapweedhall_routing import concurrency
from knapweedhall_routing import holdings
from knapweedhall_routing import load as load_module
from knapweedhall_routing import planning
from knapweedhall_routing import quorum
from knapweedhall_routing import quotas

RENEWAL_CHECK_PERIOD_S = 0.1
# Longer than the check period, as a plan sums the rates of all keys.
PLAN_PERIOD_S = 0.25
# Share of the cold budget of an upstream that its keys may use.
COLD_BUDGET_SHARE = 0.8
# Period of requests for assignments that the store has lost.
ASSIGNMENT_RETRY_S = 0.3
# Time for which the set of connected instances must not change before it is
# stored, so that a restart of all instances makes only a few records.
FLEET_STABLE_S = 0.5
# Time after an outage of the store for which a heartbeat is sent before each
# relayed message of records; longer than `directory.RECENT_OUTAGE_S`.
OUTAGE_REPORT_S = 5.0
# Period in which the pool of the quotas follows the connected instances; they
# wait longer before they use their own shares.
POOL_UPDATE_S = 0.05


class Coordinator:
    """Assigns keys to upstreams and sends the owners to the instances.

    Attributes
    ----------
    store : coordinator_store.CoordinatorStore
        Stores the record of the term and the assignments.
    state : state.State
        State of the instance.
    lease : lease.Lease
        Lease of the coordinator.
    sender : order_sender.OrderSender
        Sends grants and releases.
    services : dict of str to service_state.ServiceState
        Divided services, by name.
    load : load.Load
        Load of the services and service times of the upstreams.
    limits : concurrency.Limits
        Learned limits of all upstreams.
    announcements : announcements.Announcements
        Conditions of upstreams that the instances were told.
    announces : bool
        Whether conditions were sent in this term.
    pauses : dict of str to float
        Until when upstreams want no requests, by name, seconds.
    links : instance_links.InstanceLinks
        Connections to the instances.
    keeps_links : bool
        Whether the connections outlast the term, as the next term of this
        process begins at once.
    tasks : set of asyncio.Task
        Running moves and renewals.
    mover : moves.Mover
        Executes moves.
    renewer : renewals.Renewer
        Renews grants.
    pool : quotas.Pool
        Tokens of the workspaces' quotas.
    sharers : quotas.Sharers or None
        Instances that divide the quotas; None before the record of the last
        term was read.
    pool_updated_at : float
        When the pool last followed the connected instances, seconds.
    load_was_known : bool
        Whether the load was known in the last plan.
    has_begun : bool
        Whether the assignments were read.
    hand_over_at : float or None
        When the coordinator was requested to hand over, seconds; None before.
    initial_checkpoint : coordinator_store.Checkpoint or None
        Assignments of this instance's last term, which ended with the store's
        era.
    former : str
        Member ID of the last coordinator that this instance was connected to;
        '' if there was none.
    """

    def __init__(
        self,
        client: store.StoreClient,
        order_client: order_client.OrderClient,
        state: state_module.State,
        lease_expires_at: float,
        checkpoint: coordinator_store.Checkpoint | None = None,
        links: instance_links.InstanceLinks | None = None,
        load: load_module.Load | None = None,
        former: str = '',
    ) -> None:
        self.initial_checkpoint = checkpoint
        self.former = former
        self.store = coordinator_store.CoordinatorStore(client, state.settings)
        self.state = state
        self.lease = lease_module.Lease(state, lease_expires_at)
        self.sender = order_sender.OrderSender(
            order_client, holdings.FencingTokens(0)
        )
        self.services: dict[str, service_state.ServiceState] = {}
        self.pauses: dict[str, float] = {}
        self.keeps_links = False
        self.has_begun = False
        self.hand_over_at: float | None = None
        if links is None:
            links = instance_links.InstanceLinks(
                self.initial_messages, self.record_report, self.make_heartbeat
            )
        else:
            links.initial_messages = self.initial_messages
            links.on_report = self.record_report
            links.make_heartbeat = self.make_heartbeat
            # Nobody reads again what is not relayed over these connections.
            state.feed.relay = self.relay_records
        links.grant_tokens = self.grant_tokens
        self.links = links
        self.pool = quotas.Pool(clock.now())
        self.sharers: quotas.Sharers | None = None
        self.pool_updated_at = -math.inf
        self.load = load or load_module.Load(len(state.instances), clock.now())
        self.limits = concurrency.Limits(state.conditions.limits(clock.now()))
        self.limits.list_upstreams(state.directory.entries)
        self.announcements = announcements.Announcements()
        self.announces = False
        self.load_was_known = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.mover = moves.Mover(
            self.store, self.sender, self.state, self.lease
        )
        self.renewer = renewals.Renewer(
            self.sender, self.state, self.lease, self.may_renew
        )

    def must_stop(self) -> bool:
        """Return whether no more orders may be sent."""
        return self._is_over() or self.store.restored

    def _is_over(self) -> bool:
        """Return whether another coordinator has taken over, or may have."""
        return self.lease.must_stop_renewals() or self.sender.fenced

    def may_renew(self) -> bool:
        """Return whether existing grants may be renewed."""
        return not self.must_stop() and self._is_sole()

    def _is_sole(self) -> bool:
        """Return whether no other coordinator can have changed owners."""
        if self._is_over():
            return False
        if not self.lease.is_expired():
            return True
        reports, now = self.links.reports(), clock.now()
        return all(
            quorum.is_general_outage(fleet, reports, now)
            for fleet in self.store.fleets()
        )

    def checkpoint(self) -> coordinator_store.Checkpoint | None:
        """Return the assignments if nobody else can have changed them."""
        if self.store.epoch < 0 or self.store.deposed:
            return None
        if not self._is_sole():
            return None
        return self.store.checkpoint()

    def handover(self, era: int) -> coordinator_store.Checkpoint | None:
        """Return the assignments for a coordinator in a later era.

        With a lease of its own era, this was the only coordinator when the
        store was restored, and the store does not name the assignments that
        it had confirmed since its copy. Reports of an outage are no evidence
        here, as they are up to a second old.
        """
        if not 0 <= self.store.era < era or self.store.epoch < 0:
            return None
        if self.store.deposed or self.sender.fenced or self.lease.is_expired():
            return None
        return self.store.checkpoint()._replace(era=era)

    async def run(self) -> None:
        """Begin the term and coordinate until cancelled or deposed."""
        # Instances connect while the term begins, and rely on the relay.
        self.state.feed.relay = self.relay_records
        try:
            await self._begin_term()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.links.run())
                group.create_task(self._end_predecessors())
                group.create_task(self._request_assignments())
                group.create_task(self._update_fleet())
                group.create_task(self._renew())
                group.create_task(self._plan())
        finally:
            if not self.keeps_links:
                self.close_links()
            for task in list(self.tasks):
                task.cancel()
            logs.info('tenure_ended', epoch=self.store.epoch)

    def close_links(self) -> None:
        """Stop relaying records and close the connections."""
        self.state.feed.relay = None
        self.links.close()

    async def _begin_term(self) -> None:
        assignments = await self.store.begin(self.initial_checkpoint)
        self.sender.fences = holdings.FencingTokens(self.store.epoch)
        now = clock.now()
        # A store that lost the record knows no instance, but others of the
        # former term may use their own shares.
        former = {*(self.store.lost or self.state.instances)}
        if former == {self.state.settings.name}:
            former = set()
        self.sharers = quotas.Sharers(former, now)
        for name in self._known_services() - assignments.keys():
            # The store came back from a copy that lacks the assignment.
            assignments[name] = None
        for name, stored in assignments.items():
            self.services[name] = service_state.ServiceState(name)
            restored = self.services[name].holdings
            if name in self.store.outdated:
                # Nobody was granted its keys in this era, as assignments are
                # recorded before. Terms may end before this wait does, so it
                # does not begin with the term.
                restored.restore_unreadable(
                    min(now, self.state.former_leases_until)
                )
            elif stored is None:
                restored.restore_unreadable(now)
            else:
                restored.restore(stored, now)
        # Instances may have connected while the records were read.
        for table in self.tables():
            self.links.send(table)
        self.has_begun = True
        logs.info('tenure_begun', epoch=self.store.epoch)

    def _known_services(self) -> set[str]:
        """Return the services of which this instance knows an owner."""
        return {
            name
            for name, table in self.state.owner_tables.items()
            if any(owned.upstream for owned in table.owned_ranges)
        }

    async def _end_predecessors(self) -> None:
        request = self._takeover()
        await takeover.end_predecessors(
            self.store.predecessors, request, self.links.connected_at
        )
        now = clock.now()
        if self.store.knows_predecessors:
            for service in self.services.values():
                service.holdings.record_predecessors_ended(now)
        await self._write_term(self.store.clear_predecessors())

    def _takeover(self) -> messages.Takeover:
        return messages.Takeover(
            self.store.epoch,
            coordinator_link.member_id(self.state.settings),
            self.store.era,
        )

    async def _request_assignments(self) -> None:
        """Get the assignments that the restored store lacks.

        The coordinator at the time of the restore may know them. Otherwise
        the keys wait until no grant can be left.
        """
        addresses = {
            predecessor.address for predecessor in self.store.predecessors
        }
        address = coordinator_link.member_address(self.former)
        if address is not None:
            addresses.add(str(address))
        while any(
            service.holdings.has_unknown_holder(clock.now())
            for service in self.services.values()
        ):
            for confirmed in await asyncio.gather(
                *(
                    takeover.request_step_down(each, self._takeover())
                    for each in addresses
                )
            ):
                if confirmed is not None:
                    await self._write_term(self._adopt(confirmed.assignments))
            if self.must_stop():
                return
            await asyncio.sleep(ASSIGNMENT_RETRY_S)

    async def _adopt(self, assignments: dict[str, bytes]) -> None:
        """Begin with assignments of the coordinator before the restore."""
        for name, raw in assignments.items():
            service = self.services.get(name)
            if service is None or not service.holdings.is_unknown(clock.now()):
                continue
            if name in self.store.unreadable:
                # Its owners may have changed after the restore.
                continue
            try:
                stored = coordinator_store.decode_assignment(raw)
            except errors.DecodeError as error:
                logs.warning(
                    'predecessor_odd', address=self.former, reason=str(error)
                )
                continue
            await self.store.adopt(name, stored)
            now = clock.now()
            if service.holdings.is_unknown(now):
                service.holdings.restore(stored, now)
                self.links.send(service.new_table(self.store.epoch))
                logs.info('assignments_adopted', service=name)

    async def _update_fleet(self) -> None:
        """Keep the connected instances in the record of the term.

        A majority of them is needed for offline renewals.
        """
        previous: list[str] = []
        while True:
            await asyncio.sleep(FLEET_STABLE_S)
            connected = self.links.instances()
            if self.store.restored:
                return
            lost = self._lost_instances(clock.now())
            if connected != previous or self.lease.is_expired():
                previous = connected
            elif (connected, lost) != (self.store.fleet, self.store.lost):
                await self._write_term(self.store.write_fleet(connected, lost))

    # Quotas

    def grant_tokens(
        self, request: messages.TokenRequest
    ) -> messages.TokenLease:
        """Return the tokens for an instance."""
        now = clock.now()
        if now - self.pool_updated_at >= POOL_UPDATE_S:
            self._update_pool(now)
        return messages.TokenLease(
            [self.pool.grant(ask, now) for ask in request.asks]
        )

    def _update_pool(self, now: float) -> None:
        """Let the pool follow the configuration and the instances."""
        self.pool_updated_at = now
        if self.state.configuration is not None:
            self.pool.configure(quotas.quotas(self.state.configuration), now)
        if self.sharers is None:
            return
        self.sharers.update(self.links.instances(), now)
        fresh = self.links.fresh(quotas.MAX_HEARTBEAT_AGE_S)
        self.pool.set_share(self.sharers.pooled_share(fresh, now), now)

    def _deputies(self) -> dict[str, str]:
        return self.links.deputies(
            coordinator_link.member_id(self.state.settings)
        )

    def _lost_instances(self, now: float) -> list[str]:
        self._update_pool(now)
        return sorted(self.sharers.lost) if self.sharers is not None else []

    def _tell_sharers(self, now: float) -> int:
        """Return the number of sharers for a heartbeat."""
        self._update_pool(now)
        if self.sharers is None:
            return 0
        return self.sharers.tell({*self.store.fleet, *self.store.lost}, now)

    async def _write_term(
        self, writing: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Write the record of the term, unless the store was restored.

        The membership then begins the next term, which takes over the
        connections only if this one has not ended by itself.
        """
        try:
            await writing
        except coordinator_store.RestoredError:
            logs.info('table_not_written', reason='the store was restored')

    # Instances

    def initial_messages(self, topics: list[str]) -> list[messages.Message]:
        """Return the first messages for an instance that connected.

        Parameters
        ----------
        topics : list of str
            Topics of which the instance requests all records.
        """
        return [
            *self.tables(),
            *(
                messages.Records(
                    topic, True, self.state.feed.list_records(topic)
                )
                for topic in topics
                if topic in self.state.feed.newest
            ),
        ]

    def make_heartbeat(
        self, number: int, joined: list[str], left: list[str], is_first: bool
    ) -> messages.Heartbeat:
        """Return a heartbeat.

        Parameters
        ----------
        number : int
            Its number.
        joined, left : list of str
            Member IDs of the instances that joined and left.
        is_first : bool
            Whether it is the first one of a connection.
        """
        now = clock.now()
        # Connections that outlast a term have the numbers of the last one.
        is_full = is_first or not self.announces
        if is_first:
            changes = self.announcements.all()
        else:
            self.announces = True
            changes = self._learn(now)
        return messages.Heartbeat(
            number,
            joined,
            left,
            self.lease.is_expired(),
            self.state.feed.read_ages(now),
            now - self.state.directory.last_outage_at,
            self.state.directory.unlisted_leaving(),
            self.state.feed.read_offsets,
            self._tell_sharers(now),
            messages.pack_conditions(changes, now),
            [
                (change.number, change.name)
                for change in changes
                if change.name
            ],
            is_full,
            self._deputies() if joined or left else {},
        )

    def _learn(self, now: float) -> list[announcements.Change]:
        """Learn limits from the reports; return what instances are told.

        A failure leaves the heartbeat and the term alone.
        """
        try:
            self.limits.list_upstreams(self.state.directory.entries)
            self.limits.learn(now)
            use = self.state.settings.upstream_limits
            return self.announcements.changes(
                self.limits,
                0 if use == settings.LIMITS_OFF else len(self.links.active),
                now,
            )
        except Exception as error:
            logs.warning('coordinator_fault', reason=tasks.describe(error))
            return []

    def relay_records(self, topic: str, records: feed.Records) -> None:
        """Send records that were read from the store to all instances."""
        now = clock.now()
        if now - self.state.directory.last_outage_at < OUTAGE_REPORT_S:
            # The heartbeat contains the time since the outage. Without it,
            # instances would treat removals right after the outage as final.
            self.links.send_heartbeat()
        self.links.send(
            messages.Records(
                topic,
                False,
                [
                    (record.offset, record.key, record.value)
                    for record in records
                ],
            )
        )

    def overview(self) -> messages.Overview:
        """Return the overview for knapweedhallctl."""
        return messages.Overview(
            self.state.settings.name,
            self.store.epoch,
            self.lease.is_expired(),
            self.links.versions(),
            {table.service: table.owned_ranges for table in self.tables()},
            {
                name: (
                    round(known.limit, 2),
                    round(known.load, 2),
                    round(known.service_s, 4),
                    known.slots,
                )
                for name, known in self.limits.upstreams.items()
            },
        )

    def tables(self) -> list[messages.Table]:
        """Return the table of owners of each service."""
        epoch = self.store.epoch
        return [service.table(epoch) for service in self.services.values()]

    def record_report(self, instance: str, report: messages.Report) -> None:
        """Add the measurements of an instance."""
        self.load.add_report(
            instance,
            self._only_known(report.keys),
            report.times,
            report.recent
            and [
                (age_s, self._only_known(counts))
                for age_s, counts in report.recent
            ],
            clock.now(),
        )
        for upstream, born_ms in report.leaving:
            self.state.record_leaving(upstream, 'report', born_ms)
        now = clock.now()
        self.limits.add_report(
            instance,
            report.loads,
            report.overdue,
            report.recent is not None,
            now,
        )
        for upstream, left_s in report.pauses.items():
            until = now + left_s
            self.pauses[upstream] = max(until, self.pauses.get(upstream, 0.0))

    def _only_known(self, counts: load_module.Counts) -> load_module.Counts:
        """Return the requests for services that have owners of keys.

        Instances may connect before the assignments are read.
        """
        known = {*self.services, *self.state.divided_services()}
        return {name: counts[name] for name in counts if name in known}

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
            if self.sender.fenced:
                raise coordinator_store.DeposedError
            for service in self.services.values():
                announce = functools.partial(self._announce, service)
                for due in self.renewer.due(service.holdings, now):
                    self._start_task(
                        self.renewer.renew(service.holdings, due, announce)
                    )
            await asyncio.sleep(RENEWAL_CHECK_PERIOD_S)

    def request_hand_over(self) -> None:
        """Begin no more moves, and renew each grant once more."""
        now = self.hand_over_at = clock.now()
        for service in self.services.values():
            for holding in service.holdings.items:
                holding.renew_at = min(holding.renew_at, now)

    def is_handed_over(self) -> bool:
        """Return whether the next term finds grants that were just renewed.

        An upstream that did not answer its last grant is not waited for.
        """
        if not self.has_begun or self.hand_over_at is None:
            return False
        now = clock.now()
        return not any(
            holding.moving
            or holding.in_flight
            or (
                holding.sent_at < self.hand_over_at
                and holding.upstream not in self.sender.backoffs
                and self.renewer.is_renewable(holding, now)
            )
            for service in self.services.values()
            for holding in service.holdings.items
        )

    def _start_task(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            if isinstance(error, coordinator_store.RestoredError):
                # The membership begins a new term. Until then no order is
                # sent: the owner that was to be written has no grant yet.
                return
            if isinstance(error, coordinator_store.DeposedError):
                self.sender.fenced = True
                return
            logs.warning('coordinator_fault', reason=repr(error))

    # Plans

    async def _plan(self) -> None:
        while True:
            await asyncio.sleep(PLAN_PERIOD_S)
            if self.hand_over_at is not None or self.store.restored:
                # A move would leave its keys to the next term, released.
                continue
            if self.lease.is_expired() or self.lease.is_store_unresponsive():
                continue
            if not self.state.upstreams_listed:
                continue
            now = clock.now()
            self.load.service_times.keep_only(self.state.directory.entries)
            self.pauses = {
                name: until
                for name, until in self.pauses.items()
                if until > now
            }
            self._log_known_load(now)
            self._plan_all(now)

    def _log_known_load(self, now: float) -> None:
        if self.load_was_known or not self.load.is_known(now):
            return
        self.load_was_known = True
        logs.info(
            'load_known',
            epoch=self.store.epoch,
            informed=len(self.load.informed),
            instances=self.load.instances,
            after_s=round(now - self.load.begun_at, 3),
        )

    def _plan_all(self, now: float) -> None:
        """Plan each service; a failure leaves the others alone."""
        for name in self.state.divided_services():
            if name not in self.services:
                self._add_service(name)
            try:
                self._plan_service(self.services[name], now)
            except Exception as error:
                logs.warning('coordinator_fault', reason=tasks.describe(error))

    def _add_service(self, name: str) -> None:
        added = self.services[name] = service_state.ServiceState(name)
        self.links.send(added.table(self.store.epoch))

    def _plan_service(
        self, service: service_state.ServiceState, now: float
    ) -> None:
        self.load.rates_of(service.holdings.service).decay(now)
        items = service.holdings.items
        inputs = self._plan_inputs(service, now)
        if not service.is_assignable(len(inputs.capacity), now):
            return
        orphans = [
            holding
            for holding in items
            if not holding.moving
            and not holding.in_flight
            and self._is_orphan(holding, now)
            and (
                holding.is_free(now)
                or self.mover.may_release(holding.upstream, now)
            )
        ]
        planned_moves = planning.place_orphans(items, inputs, orphans)
        # The assignment that the term found was planned by the load.
        if not planned_moves and self.load.is_known(now):
            planned_moves = planning.rebalance(items, inputs, now)
        for move in planned_moves:
            self._start_move(service, move, now)

    def _is_orphan(self, holding: holdings.Holding, now: float) -> bool:
        """Return whether a range must be assigned to another upstream."""
        entry = self.state.directory.entries.get(holding.upstream)
        if entry is None:
            return True
        if holding.born_ms and entry.born_ms != holding.born_ms:
            # The new incarnation holds none of the old one's ranges, but a
            # grant for the old one may have reached it or may still do so.
            return True
        if not self.state.directory.is_usable(entry):
            return True
        return holding.is_free(now)

    def _plan_inputs(
        self, service: service_state.ServiceState, now: float
    ) -> planning.Inputs:
        name = service.holdings.service
        usable = [
            upstream
            for upstream in self.state.directory.usable(name)
            if upstream.name not in self.state.directory.pending_removals
            and not self.sender.is_backing_off(upstream.name, now)
        ]
        warm = [upstream for upstream in usable if upstream.cold_until <= now]
        cold_per_s = self.state.service(name).cold_per_s
        capacity = {
            upstream.name: self.load.service_times.capacity(upstream)
            for upstream in warm
        }
        if not warm:
            capacity = {
                upstream.name: max(1.0, cold_per_s * COLD_BUDGET_SHARE)
                for upstream in usable
            }
        inputs = planning.Inputs(
            capacity,
            self.load.rates_of(name),
            self.state.movement_rules_for(name),
        )
        pauses = {
            upstream: until - now for upstream, until in self.pauses.items()
        }
        return planning.with_pauses(service.holdings.items, inputs, pauses)

    # Moves

    def _start_move(
        self,
        service: service_state.ServiceState,
        move: planning.Move,
        now: float,
    ) -> None:
        try:
            holding = service.holdings.split(move.first, move.last)
        except ValueError:
            return
        target = self.state.directory.entries.get(move.target)
        # The target may be the last holder, if its grants have expired.
        if target is None or holding.in_flight:
            return
        holding.moving, holding.target = True, target.name
        self._announce(service, [holding])
        announce = functools.partial(self._announce, service)
        self._start_task(
            self.mover.move(service.holdings, holding, target, announce)
        )
