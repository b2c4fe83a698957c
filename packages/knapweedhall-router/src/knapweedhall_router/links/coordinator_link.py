"""An instance's connection to the coordinator."""

from __future__ import annotations

import asyncio

from knapweedhall_adapter import errors
from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router.links import messages
from knapweedhall_router import logs
from knapweedhall_router import settings as settings_module
from knapweedhall_router import state as state_module
from knapweedhall_router import tasks
from knapweedhall_routing import announced
from knapweedhall_routing import load
from knapweedhall_routing import model
from knapweedhall_routing import quotas

COORDINATOR_GROUP = 'knapweedhall'
TERM_TOPIC = 'knapweedhall.tenure'
REPORT_PERIOD_S = 0.3
# Time without a message after which the connection is closed; the coordinator
# sends a heartbeat every 0.3 s.
HEARTBEAT_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
# Initial upper bound of the random pause between two searches for the
# coordinator; each search is a call to the store.
INITIAL_PAUSE_S = 0.3
# The bound doubles up to this maximum while no connection to a coordinator
# lasts.
MAX_PAUSE_S = 1.2
# Duration of a connection after which the bound is the initial one again.
STABLE_CONNECTION_S = 3.0
CALL_TIMEOUT_S = 1.0
# Period of searches for another coordinator while the lease of the connected
# one is expired, as another one may have taken over.
EXPIRED_LEASE_SEARCH_PERIOD_S = 1.0
# What ends a connection in operation.
CONNECTION_ERRORS = (OSError, EOFError, TimeoutError, errors.DecodeError)


def member_id(settings: settings_module.Settings) -> str:
    """Return the member ID of the instance in the store's group.

    It contains the address at which the instance listens for others.
    """
    return f'{settings.name}@{settings.address}:{settings.peer_port}'


def member_address(member: str) -> model.Address | None:
    """Return the address in a member ID; None if it has none."""
    try:
        return model.parse_address(member.rpartition('@')[2])
    except ValueError:
        return None


class CoordinatorLink:
    """Finds the coordinator and keeps a connection to it.

    Attributes
    ----------
    connected : bool
        Whether there is a connection on which a heartbeat was received.
    disconnected_at : float
        When the last such connection ended, or the process began, seconds.
    status_changed : state.Signal
        Notified when the connection ends or the coordinator's lease expires.
    last_received_at : float
        When the last message was received, seconds.
    lease_expired : bool
        Whether the coordinator's lease has expired.
    heartbeat : int
        Number of the last heartbeat; -1 before the first.
    announced : announced.AnnouncedMembers
        Members that the coordinators announced.
    members : set of str
        Member IDs of all instances that are connected to the coordinator.
    coordinator : str
        Member ID of the coordinator of the last connection.
    former_coordinator : str
        Member ID of the last other instance that was the coordinator.
    known_coordinator : str
        Member ID to connect to while the store names no coordinator.
    found : asyncio.Event
        Set with the first heartbeat of the current connection.
    pause_s : float
        Upper bound of the random pause before the next search.
    writer : asyncio.StreamWriter or None
        Writes to the coordinator; None without a connection.
    condition_names : dict of int to str
        Upstreams by the number that stands for them in heartbeats.
    """

    def __init__(
        self, client: store.StoreClient, state: state_module.State
    ) -> None:
        self.client = client
        self.state = state
        self.connected = False
        self.disconnected_at = clock.now()
        self.status_changed = state_module.Signal()
        self.last_received_at = 0.0
        self.lease_expired = False
        self.heartbeat = -1
        self.announced = announced.AnnouncedMembers()
        self.members: set[str] = set()
        self.coordinator = ''
        self.former_coordinator = ''
        self.known_coordinator = ''
        self.found = asyncio.Event()
        self.pause_s = INITIAL_PAUSE_S
        self.writer: asyncio.StreamWriter | None = None
        self.condition_names: dict[int, str] = {}

    async def run(self) -> None:
        """Find the coordinator and connect to it, until cancelled."""
        while True:
            member = await self._find_coordinator()
            address = member_address(member)
            if address is None:
                await asyncio.sleep(INITIAL_PAUSE_S)
                continue
            connected_at = clock.now()
            try:
                await self._run_connection(member, address)
            except Exception as error:
                # Whatever a message caused, a new connection gets the whole
                # state.
                logs.info(
                    'coordinator_lost',
                    coordinator=member,
                    reason=type(error).__name__,
                )
                if not isinstance(error, CONNECTION_ERRORS):
                    logs.warning(
                        'message_fault',
                        peer=member,
                        reason=tasks.describe(error),
                    )
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    # A task group that fails drops a cancellation that
                    # arrives while it waits for its tasks.
                    raise asyncio.CancelledError from error
            if not self.connected and self.known_coordinator == member:
                self.known_coordinator = ''
            if self.connected:
                self.disconnected_at = clock.now()
            self.state.tokens.disconnect(self.last_received_at)
            self.connected = False
            self.status_changed.notify()
            lasted_s = clock.now() - connected_at
            self.pause_s = min(2 * self.pause_s, MAX_PAUSE_S)
            if lasted_s > STABLE_CONNECTION_S:
                self.pause_s = INITIAL_PAUSE_S
            # Random, so that instances do not all connect at once to a
            # coordinator whose network link is busy.
            pause = self.state.rng.uniform(INITIAL_PAUSE_S / 3, self.pause_s)
            await asyncio.sleep(pause)

    async def _find_coordinator(self) -> str:
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        holder = await self.client.find_holder(
            COORDINATOR_GROUP, TERM_TOPIC, deadline
        )
        if isinstance(holder, outcomes.Unavailable):
            logs.info('coordinator_unknown', reason=holder.reason)
            # During an outage of the store the last coordinator continues,
            # or another instance knows the next one.
            return self.known_coordinator or self._random_member()
        return holder

    def _random_member(self) -> str:
        """Return a random other member, which may know the coordinator."""
        own = member_id(self.state.settings)
        others = sorted(self.members - {own})
        return self.state.rng.choice(others) if others else ''

    def redirect(self) -> messages.Redirect:
        """Return the response to a `Hello`; it names the known coordinator."""
        own = member_id(self.state.settings)
        return messages.Redirect(
            '' if self.known_coordinator == own else self.known_coordinator
        )

    async def _run_connection(
        self, member: str, address: model.Address
    ) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            feed, now = self.state.feed, clock.now()
            hello = messages.Hello(
                self.state.settings.name,
                feed.outdated_topics(now),
                member_id(self.state.settings).rpartition('@')[2],
                packs=True,
                failure_domain=self.state.settings.failure_domain,
            )
            writer.write(messages.encode(hello))
            self.writer = writer
            self.last_received_at = now
            self.lease_expired = False
            self.heartbeat = -1
            feed.record_connected(now)
            self.coordinator = member
            self.found = asyncio.Event()
            async with asyncio.TaskGroup() as group:
                reporting = group.create_task(self._send_reports(writer))
                checking = group.create_task(
                    self._check_connection(member, reader)
                )
                try:
                    await self._read(reader)
                finally:
                    reporting.cancel()
                    checking.cancel()
        except* CONNECTION_ERRORS as e:
            raise ConnectionError(repr(e.exceptions[0])) from e
        finally:
            self.writer = None
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while True:
            message = await messages.read(reader)
            self.last_received_at = clock.now()
            self.apply(message)

    async def _check_connection(
        self, member: str, reader: asyncio.StreamReader
    ) -> None:
        """Raise `ConnectionError` if the coordinator is silent or replaced."""
        searched_at = clock.now()
        while True:
            await asyncio.sleep(HEARTBEAT_TIMEOUT_S / 5)
            now = clock.now()
            if now - self.last_received_at > HEARTBEAT_TIMEOUT_S:
                raise ConnectionError('silent')
            if (
                not self.lease_expired
                or now - searched_at < EXPIRED_LEASE_SEARCH_PERIOD_S
            ):
                continue
            searched_at = now
            holder = await self._find_coordinator()
            if holder and holder != member:
                raise ConnectionError('replaced')

    async def _send_reports(self, writer: asyncio.StreamWriter) -> None:
        # A term may end before it has measured the load. An instance that
        # does not coordinate sends no heartbeat, and could not answer an
        # unread report with the coordinator's name.
        await self.found.wait()
        now = clock.now()
        recent, times, loads = self.state.measurements.take_recent(now)
        report = self._report({}, times, loads, now)
        report.recent = recent
        while True:
            writer.write(messages.encode(report))
            await asyncio.sleep(REPORT_PERIOD_S)
            now = clock.now()
            keys, times, loads = self.state.measurements.take(now)
            report = self._report(keys, times, loads, now)

    def _report(
        self,
        keys: load.Counts,
        times: load.Times,
        loads: load.Samples,
        now: float,
    ) -> messages.Report:
        return messages.Report(
            keys,
            times,
            self.heartbeat,
            now - self.state.store_answered_at,
            self.state.configuration_version(),
            self.state.directory.unlisted_leaving(),
            self.state.pauses(),
            loads=loads,
            overdue=self.state.overdue(),
        )

    def _apply_heartbeat(self, message: messages.Heartbeat) -> None:
        now = clock.now()
        if not self.connected:
            self.announced.begin(now)
            logs.info('coordinator_found', coordinator=self.coordinator)
        self.connected = True
        self.found.set()
        self.known_coordinator = self.coordinator
        if self.coordinator != member_id(self.state.settings):
            self.former_coordinator = self.coordinator
        if message.lease_expired and not self.lease_expired:
            self.status_changed.notify()
        self.lease_expired = message.lease_expired
        self.heartbeat = message.number
        self.state.feed.record_heartbeat(message.ages, message.offsets, now)
        self.state.feed.coordinator_outage_at = now - message.outage_age_s
        for name, born_ms in message.leaving:
            self.state.record_leaving(name, 'heartbeat', born_ms)
        self._apply_conditions(message, now)
        self.announced.update(message.joined, message.left)
        self.members = set(self.announced.current)
        alive = self.announced.members(now)
        if alive:
            names = {member.rpartition('@')[0] for member in alive}
            self.state.instances = tuple(sorted(names))
        if message.sharers >= 0:
            leases = self.state.tokens.leases
            if not leases.connected or self.state.tokens.alone.is_set():
                self.state.tokens.connect(self._ask_for_tokens)
            leases.set_sharers(message.sharers, self.state.instances)
            if message.deputies:
                self.state.tokens.deputies = message.deputies

    def _ask_for_tokens(self, asks: list[quotas.Ask]) -> None:
        if self.writer is not None:
            self.writer.write(messages.encode(messages.TokenRequest(asks)))

    def _apply_conditions(
        self, message: messages.Heartbeat, now: float
    ) -> None:
        if message.conditions is None:
            return
        if message.all_conditions:
            self.condition_names.clear()
        self.condition_names.update(message.condition_names)
        self.state.conditions.update(
            messages.unpack_conditions(
                message.conditions, self.condition_names, now
            ),
            message.all_conditions,
            now,
        )

    def apply(self, message: messages.Message) -> None:
        """Update the state from a message of the coordinator.

        Raises
        ------
        ConnectionError
            If a change is missing, so that a new connection gets the whole
            table, or if the message is a redirect.
        """
        if isinstance(message, messages.PackedRecords):
            message = messages.unpack(message)
        if isinstance(message, messages.Heartbeat):
            self._apply_heartbeat(message)
            return
        if isinstance(message, messages.TokenLease):
            self.state.tokens.receive(message.grants)
            return
        if isinstance(message, messages.Redirect):
            self.known_coordinator = message.coordinator
            raise ConnectionError('redirected')
        if isinstance(message, messages.Records):
            self.state.feed.receive(
                message.topic, message.records, message.listing
            )
            return
        if not isinstance(message, messages.Table | messages.TableChange):
            return
        table = self.state.owner_table(message.service)
        version = messages.version(message)
        now = clock.now()
        owned_ranges = [
            messages.from_wire(received, now)
            for received in message.owned_ranges
        ]
        if isinstance(message, messages.Table):
            applied = table.replace(version, owned_ranges)
        else:
            applied = table.patch(version, owned_ranges)
            if not applied and version > table.version:
                raise ConnectionError('missing-change')
        if applied:
            self.state.owners_changed.notify()
