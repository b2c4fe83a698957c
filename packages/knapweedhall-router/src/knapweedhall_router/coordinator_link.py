"""An instance's connection to the coordinator."""

from __future__ import annotations

import asyncio

import msgspec

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import messages
from knapweedhall_router import settings as settings_module
from knapweedhall_router import state as state_module

COORDINATOR_GROUP = 'knapweedhall'
TERM_TOPIC = 'knapweedhall.tenure'
REPORT_S = 0.3
# The coordinator's heartbeat comes three times a second.
SILENCE_S = 1.5
CONNECT_TIMEOUT_S = 0.5
# Pause between two questions for the coordinator's address; a call of the
# store each.
SEARCH_S = 0.3
# Longest such pause, for coordinators that answer no connection, and the time
# of a connection after which it is short again.
MAX_PAUSE_S = 1.2
STEADY_S = 3.0
CALL_TIMEOUT_S = 1.0
# While the coordinator can't reach the store another one may take over.
BLIND_SEARCH_S = 1.0


def member_id(settings: settings_module.Settings) -> str:
    """Return the name in the group; it says where the instance listens."""
    return f'{settings.name}@{settings.address}:{settings.peer_port}'


def member_address(member: str) -> tuple[str, int] | None:
    """Return where a member listens, or None if the name is foreign."""
    host, _, port = member.rpartition('@')[2].rpartition(':')
    if not host or not port.isdigit():
        return None
    return host, int(port)


class CoordinatorLink:
    """Keeps a connection to the coordinator.

    Attributes
    ----------
    connected : bool
        Whether a coordinator is heard.
    blind : bool
        Whether it can't reach the store.
    hint : str
        Member that is asked while the store names no coordinator.
    members : set of str
        All members that the coordinator heard.
    alarm : state.Signal
        Wakes the membership when the coordinator is lost or turns blind.
    """

    def __init__(
        self, client: store.StoreClient, state: state_module.State
    ) -> None:
        self.client = client
        self.state = state
        self.connected = False
        self.status_changed = state_module.Signal()
        self.heard_at = 0.0
        self.lease_expired = False
        self.heartbeat = -1
        self.members: set[str] = set()
        self.following = ''
        self.known_coordinator = ''
        self.pause_s = SEARCH_S

    async def run(self) -> None:
        """Find the coordinator and follow it, until cancelled."""
        while True:
            member = await self._find()
            address = member_address(member)
            if address is None:
                await asyncio.sleep(SEARCH_S)
                continue
            followed_at = clock.now()
            try:
                await self._follow(member, address)
            except (
                OSError,
                EOFError,
                TimeoutError,
                msgspec.MsgspecError,
            ) as error:
                logs.info(
                    'coordinator_lost',
                    coordinator=member,
                    reason=type(error).__name__,
                )
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    # A task group that ends by an error drops a cancellation
                    # that arrives while it waits for its tasks.
                    raise asyncio.CancelledError from error
            if not self.connected and self.known_coordinator == member:
                self.known_coordinator = ''
            self.connected = False
            self.status_changed.notify()
            lasted_s = clock.now() - followed_at
            self.pause_s = min(2 * self.pause_s, MAX_PAUSE_S)
            if lasted_s > STEADY_S:
                self.pause_s = SEARCH_S
            # One whose link is busy would be asked by all at once.
            pause = self.state.rng.uniform(SEARCH_S / 3, self.pause_s)
            await asyncio.sleep(pause)

    async def _find(self) -> str:
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        found = await self.client.find_holder(
            COORDINATOR_GROUP, TERM_TOPIC, deadline
        )
        if isinstance(found, outcomes.Unavailable):
            logs.info('coordinator_unknown', reason=found.reason)
            # While the store is away the last coordinator goes on, or
            # another instance may know the next one.
            return self.known_coordinator or self._peer()
        return found

    def _peer(self) -> str:
        """Return any other member; it knows which coordinator it follows."""
        own = member_id(self.state.settings)
        others = sorted(self.members - {own})
        return self.state.rng.choice(others) if others else ''

    def redirect(self) -> messages.Redirect:
        """Return what an instance is told that takes this one for it."""
        own = member_id(self.state.settings)
        return messages.Redirect(
            '' if self.known_coordinator == own else self.known_coordinator
        )

    async def _follow(self, member: str, address: tuple[str, int]) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            feed, now = self.state.feed, clock.now()
            hello = messages.Hello(
                self.state.settings.name,
                feed.wanted(now),
                member_id(self.state.settings).rpartition('@')[2],
            )
            writer.write(messages.encode(hello))
            self.heard_at = now
            self.lease_expired = False
            self.heartbeat = -1
            feed.connected_at = now
            self.following = member
            async with asyncio.TaskGroup() as group:
                reporting = group.create_task(self._report(writer))
                watching = group.create_task(self._watch(member, reader))
                try:
                    await self._read(reader)
                finally:
                    reporting.cancel()
                    watching.cancel()
        except* (OSError, EOFError, TimeoutError, msgspec.MsgspecError) as e:
            raise ConnectionError(repr(e.exceptions[0])) from e
        finally:
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while True:
            message = await messages.read(reader)
            self.heard_at = clock.now()
            self.apply(message)

    async def _watch(self, member: str, reader: asyncio.StreamReader) -> None:
        """End the connection when the coordinator is silent or replaced."""
        asked_at = clock.now()
        while True:
            await asyncio.sleep(SILENCE_S / 5)
            now = clock.now()
            if now - self.heard_at > SILENCE_S:
                raise ConnectionError('silent')
            if not self.lease_expired or now - asked_at < BLIND_SEARCH_S:
                continue
            asked_at = now
            found = await self._find()
            if found and found != member:
                raise ConnectionError('replaced')

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            keys, self.state.key_counts = self.state.key_counts, {}
            times, self.state.times = self.state.times, {}
            means = {
                name: (int(count), total / count)
                for name, (count, total) in times.items()
            }
            store_answer_age_s = clock.now() - self.state.store_answered_at
            report = messages.Report(
                keys,
                means,
                self.heartbeat,
                store_answer_age_s,
                self.state.version(),
            )
            writer.write(messages.encode(report))

    def _take_heartbeat(self, message: messages.Heartbeat) -> None:
        now = clock.now()
        if not self.connected:
            self.members = set()
            logs.info('coordinator_found', coordinator=self.following)
        self.connected = True
        self.known_coordinator = self.following
        if message.lease_expired and not self.lease_expired:
            self.status_changed.notify()
        self.lease_expired = message.lease_expired
        self.heartbeat = message.number
        self.state.feed.told(message.ages, now)
        if not self.state.feed.relay:
            directory = self.state.directory
            directory.last_outage_at = max(
                directory.last_outage_at, now - message.outage_age_s
            )
        self.members |= set(message.joined)
        self.members -= set(message.left)
        if self.members:
            names = {one.rpartition('@')[0] for one in self.members}
            self.state.instances = tuple(sorted(names))

    def apply(self, message: messages.Message) -> None:
        """Take over what the coordinator says.

        Raises
        ------
        ConnectionError
            If a change is missing; a new connection gets the whole table.
        """
        if isinstance(message, messages.Heartbeat):
            self._take_heartbeat(message)
            return
        if isinstance(message, messages.Redirect):
            self.known_coordinator = message.coordinator
            raise ConnectionError('redirected')
        if isinstance(message, messages.Records):
            self.state.feed.deliver(
                message.topic, message.records, message.listing
            )
            return
        if not isinstance(message, messages.Table | messages.TableChange):
            return
        table = self.state.owner_table(message.service)
        version = messages.version(message)
        now = clock.now()
        rows = [messages.from_wire(row, now) for row in message.owned_ranges]
        if isinstance(message, messages.Table):
            taken = table.replace(version, rows)
        else:
            taken = table.patch(version, rows)
            if not taken and version > table.version:
                raise ConnectionError('missing-change')
        if taken:
            self.state.owners_changed.notify()
