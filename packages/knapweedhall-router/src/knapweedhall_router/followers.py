"""Tasks that follow the store's records."""

from __future__ import annotations

import asyncio
import typing

from knapweedhall_adapter import decoding
from knapweedhall_adapter import names
from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors
from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import operator_records
from knapweedhall_router import state as state_module

# How long the store may hold a read for the next change, ms. A read that
# began just before a change was once not woken by it, so the wait is below
# the bound within which a configuration is in force (2 s).
WAIT_MS = 1500
# The coordinator reads for all; they rely on a read for 1.2 s.
RELAY_WAIT_MS = 400
# After a failure, reads wait only this long, ms, and for so many seconds:
# the store then answered a waiting read only when its time had passed.
SHORT_WAIT_MS = 400
SHORT_WAITS_S = 6.0
CALL_TIMEOUT_S = 1.0
# Time between two reads of the upstreams' records. They change dozens of
# times a second, so a waiting read would return at once; upstreams that
# leave must be known within `drain_s`, 2 s at the least.
UPSTREAM_PERIOD_S = 0.8
# The same for the coordinator, whose records travel on.
RELAY_PERIOD_S = 0.4
# Pause after a failed call; calls are priced also while the store is down,
# so that those who hear a coordinator leave the search to it.
RETRY_S = 0.25
FED_RETRY_S = 0.8
# Time between two checks of what is relied on meanwhile.
FED_CHECK_S = 0.25
# The end of a cold start must shift by this much to be passed on; heartbeats
# shift it by the time that they were under way.
COLD_SHIFT_S = 0.3


class Follower:
    """Follows one keyed topic.

    Attributes
    ----------
    next_offset : int
        Where to read from; -1 to list the topic.
    failing : bool
        Whether the last call failed.
    stale : bool
        Whether the last listing was behind what was read before.
    """

    topic = ''

    def __init__(
        self, client: store.StoreClient, state: state_module.State
    ) -> None:
        self.client = client
        self.state = state
        self.next_offset = -1
        self.failing = False
        self.stale = False
        state.feed.handlers[self.topic] = self.take

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            now = clock.now()
            fed_s = self.state.feed.relay_valid_until(self.topic) - now
            if fed_s > 0:
                self._rely()
                await asyncio.sleep(min(fed_s, FED_CHECK_S))
                continue
            if not await self.step(self.wait_ms(now)):
                pause = self._retry_s(now)
            elif self.stale:
                # A waiting read would not wait.
                pause = RETRY_S
            else:
                pause = self.pause_s() - (clock.now() - now)
            self.housekeeping()
            await asyncio.sleep(max(0.0, pause))

    def wait_ms(self, now: float) -> int:
        """Return how long the store may hold a read."""
        raise NotImplementedError

    def pause_s(self) -> float:
        """Return the least time from one read to the next."""
        raise NotImplementedError

    def housekeeping(self) -> None:
        """Do what is due after each read."""

    def _retry_s(self, now: float) -> float:
        feed = self.state.feed
        hears = now - feed.heartbeat_at < FED_RETRY_S
        if hears and feed.relay is None and self.topic in feed.newest:
            return FED_RETRY_S
        return RETRY_S

    def _rely(self) -> None:
        """Leave the reading to the coordinator."""
        # The own place in the log falls behind; reading begins anew.
        self.next_offset = -1
        self.failing = False
        self.housekeeping()

    def take(
        self, records: typing.Sequence[outcomes.Record], listing: bool
    ) -> None:
        """Take over records that the store holds."""
        feed = self.state.feed
        records = feed.newer_records(self.topic, records)
        changed = self.apply(records)
        feed.cache_records(self.topic, records, listing)
        feed.relay_changes(self.topic, changed)

    async def step(self, wait_ms: int) -> bool:
        """Read once; return whether the store answered."""
        begun = clock.now()
        outcome = await self._read(wait_ms)
        if isinstance(outcome, outcomes.Unavailable):
            if not self.failing:
                logs.warning(
                    'store_lost', topic=self.topic, reason=outcome.reason
                )
            self.failing = True
            self.state.directory.record_store_failure(clock.now())
            return False
        if self.failing:
            logs.info('store_regained', topic=self.topic)
        self.failing = False
        state = self.state
        state.store_answered_at = max(state.store_answered_at, begun)
        if isinstance(outcome, outcomes.OffsetExpired):
            logs.info('store_history_gone', topic=self.topic)
            self.next_offset = -1
            return True
        self._take_page(outcome)
        return True

    def _take_page(self, page: outcomes.Page) -> None:
        feed, now = self.state.feed, clock.now()
        listing = self.next_offset < 0
        self.stale = listing and feed.is_stale(self.topic, page.next_offset)
        if self.stale:
            # A store that forgot its history lists the past for seconds.
            logs.info('store_stale', topic=self.topic, end=page.next_offset)
            return
        records = list(page.records)
        if listing:
            records += feed.infer_removals(
                self.topic, records, page.next_offset
            )
        self.next_offset = page.next_offset
        self.take(records, listing)
        feed.record_read(self.topic, page.next_offset, now)

    async def _read(self, wait_ms: int) -> outcomes.ReadOutcome:
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        if self.next_offset < 0:
            return await self.client.read_newest(self.topic, deadline)
        return await self.client.read(
            self.topic, self.next_offset, wait_ms, deadline + wait_ms / 1000
        )

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Take over records and return those that say anything new."""
        raise NotImplementedError


class PlatformFollower(Follower):
    """Follows the configuration and evacuations."""

    topic = names.OPERATOR_TOPIC

    def wait_ms(self, now: float) -> int:
        """Return how long the store may hold a read."""
        if self.state.feed.relay is not None:
            return RELAY_WAIT_MS
        calm_s = now - self.state.directory.last_outage_at
        return WAIT_MS if calm_s > SHORT_WAITS_S else SHORT_WAIT_MS

    def pause_s(self) -> float:
        """Return the least time from one read to the next."""
        return 0.0

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Take over the operator's records."""
        directory = self.state.directory
        evacuated = set(directory.evacuated)
        for record in records:
            if record.key == names.CONFIGURATION_KEY and record.value:
                self._configure(record)
            elif record.key.startswith(names.EVACUATION_PREFIX):
                domain = record.key.removeprefix(names.EVACUATION_PREFIX)
                if record.value:
                    evacuated.add(domain)
                else:
                    evacuated.discard(domain)
        if directory.set_evacuated(evacuated, clock.now()):
            logs.info('failure_domains_evacuated', domains=sorted(evacuated))
        return list(records)

    def _configure(self, record: outcomes.Record) -> None:
        try:
            self.state.configure(decoding.decode_configuration(record.value))
        except decoding.DecodeError as error:
            logs.warning(
                'configuration_unreadable',
                offset=record.offset,
                reason=str(error),
            )


class RecordFollower(Follower):
    """Follows the operators' records of the product.

    Attributes
    ----------
    records : dict of str to bodies.Record
        Records in force, by key. One that can't be read keeps what was in
        force before.
    """

    topic = operator_records.TOPIC

    def __init__(
        self, client: store.StoreClient, state: state_module.State
    ) -> None:
        super().__init__(client, state)
        self.records: dict[str, bodies.Record] = {}

    def wait_ms(self, now: float) -> int:
        """Return how long the store may hold a read."""
        return RELAY_WAIT_MS if self.state.feed.relay else WAIT_MS

    def pause_s(self) -> float:
        """Return the least time from one read to the next."""
        return 0.0

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Take over the operators' records."""
        for record in records:
            self._apply_record(record)
        state = self.state
        state.configure(operator_records.to_configuration(self.records))
        state.movement_rules = operator_records.to_movement_rules(self.records)
        out = operator_records.names_out_of_service(
            self.records, operator_records.DOMAIN_PREFIX
        )
        if state.directory.set_evacuated(out, clock.now()):
            logs.info('failure_domains_evacuated', domains=sorted(out))
        out = operator_records.names_out_of_service(
            self.records, operator_records.INSTANCE_PREFIX
        )
        marked = state.settings.name in out
        if marked != state.out_of_service:
            state.out_of_service = marked
            logs.info('instance_marked', out=marked)
        return list(records)

    def _apply_record(self, record: outcomes.Record) -> None:
        found = codec.decode(record.value)
        if isinstance(found, errors.Refusal):
            logs.warning('record_skipped', key=record.key, reason=str(found))
            return
        known = self.records.get(record.key)
        if found.key != record.key:
            logs.warning('record_skipped', key=record.key, reason='foreign')
        elif known is None or known.version < found.version:
            self.records[record.key] = found
            logs.info(
                'record_in_force',
                kind=found.kind,
                name=found.name,
                version=found.version,
                writer=found.writer,
            )


def configuration_follower(
    client: store.StoreClient, state: state_module.State
) -> Follower:
    """Return the follower of what operators configure."""
    if state.settings.source == 'records':
        return RecordFollower(client, state)
    return PlatformFollower(client, state)


class UpstreamFollower(Follower):
    """Follows the entries of upstreams."""

    topic = names.UPSTREAM_TOPIC

    def wait_ms(self, now: float) -> int:
        """Return how long the store may hold a read."""
        return 0

    def pause_s(self) -> float:
        """Return the least time from one read to the next."""
        if self.state.feed.relay is not None:
            return RELAY_PERIOD_S
        return UPSTREAM_PERIOD_S

    def housekeeping(self) -> None:
        """Drop the upstreams that are gone for certain."""
        for name in self.state.directory.expire(clock.now()):
            logs.info('upstream_gone', upstream=name)
            self.state.drop_measurements(name)

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Take over the entries of upstreams."""
        now = clock.now()
        directory = self.state.directory
        # Only the last record of each key counts.
        newest = {record.key: record for record in records}
        changed = []
        for name, record in newest.items():
            if record.value:
                if self._put(name, record, now):
                    changed.append(record)
            elif directory.remove(name, now):
                changed.append(record)
        self.state.upstreams_listed = True
        return changed

    def _put(self, name: str, record: outcomes.Record, now: float) -> bool:
        """Take over an entry; return whether it says anything new."""
        directory = self.state.directory
        try:
            entry = decoding.decode_upstream(name, record.value, now)
        except decoding.DecodeError as error:
            logs.info('upstream_unreadable', upstream=name, reason=str(error))
            return directory.remove(name, now)
        known = directory.entries.get(name)
        news = (
            known is None
            or name in directory.pending_removals
            or abs(known.cold_until - entry.cold_until) > COLD_SHIFT_S
            or known._replace(cold_until=entry.cold_until) != entry
        )
        if directory.put(entry, now):
            self.state.drop_measurements(name)
            logs.info(
                'upstream_listed',
                upstream=name,
                service=entry.service,
                address=str(entry.address),
                cold_s=round(entry.cold_until - now, 2),
            )
        if entry.draining and not (known and known.draining):
            logs.info('upstream_draining', upstream=name)
        return news
