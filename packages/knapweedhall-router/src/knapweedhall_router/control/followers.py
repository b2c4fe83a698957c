"""Tasks that follow the topics of the store and apply their records."""

from __future__ import annotations

import asyncio
import typing

from knapweedhall_adapter import decoding
from knapweedhall_adapter import errors as adapter_errors
from knapweedhall_adapter import names
from knapweedhall_adapter import outcomes
from knapweedhall_adapter import positions
from knapweedhall_adapter import store
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors
from knapweedhall_router import clock
from knapweedhall_router.control import operator_records
from knapweedhall_router import logs
from knapweedhall_router import state as state_module
from knapweedhall_router import tasks
from knapweedhall_routing import model

# Maximum time that the store may hold a read until the next change. The store
# once did not wake a read that began just before a change, so this is less
# than the 2 s within which a configuration must be in force.
MAX_WAIT_MS = 1500
# The same for the coordinator: instances rely on its last read for only 1.2 s.
RELAY_MAX_WAIT_MS = 400
# Maximum wait within `POST_OUTAGE_S` after a failure of the store: it answered
# waiting reads then only when their wait time had passed.
POST_OUTAGE_MAX_WAIT_MS = 400
POST_OUTAGE_S = 6.0
CALL_TIMEOUT_S = 1.0
# Time between two reads of the upstreams' records. They change dozens of
# times per second, so a waiting read would return at once; upstreams that
# leave must be known within `drain_s`, which is at least 2 s.
UPSTREAM_PERIOD_S = 0.8
# The same for the coordinator, which relays the records.
RELAY_PERIOD_S = 0.4
# Pause after a failed call. Calls are charged even while the store is down, so
# instances that receive heartbeats of a coordinator retry less often and leave
# it to the coordinator to find that the store is back.
RETRY_S = 0.25
RELAYED_RETRY_S = 0.8
# Time after the start for which an instance waits for the listing of the
# coordinator before it lists a topic itself; finding it takes about 0.1 s.
INITIAL_WAIT_S = 0.4
# Period of checks whether the relayed records are still relied on.
RELAY_CHECK_S = 0.25
# Number of records before an invalid configuration among which the one in
# force is searched. The topic has one record per change of the configuration
# or of an evacuation.
HISTORY_RECORDS = 64
# Minimum shift of the end of a cold start that is relayed; every heartbeat of
# an upstream shifts it by the time of its transfer.
MIN_COLD_SHIFT_S = 0.3


class Follower:
    """Follows one keyed topic and applies its records to the state.

    Attributes
    ----------
    next_offset : int
        Offset of the next read; -1 to list the whole topic.
    failing : bool
        Whether the last call failed.
    listing_stale : bool
        Whether the last listing was older than a previous read.
    """

    topic = ''

    def __init__(
        self, client: store.StoreClient, state: state_module.State
    ) -> None:
        self.client = client
        self.state = state
        self.next_offset = -1
        self.failing = False
        self.listing_stale = False
        state.feed.handlers[self.topic] = self.process

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._wait_for_listing()
        feed = self.state.feed
        while True:
            await self.recover()
            now = clock.now()
            valid_s = feed.relay_valid_until(self.topic) - now
            if feed.take_rewritten(self.topic, now):
                # What is missing now was removed.
                self.next_offset = -1
            if valid_s > 0:
                self._rely_on_relay()
                await asyncio.sleep(min(valid_s, RELAY_CHECK_S))
                continue
            try:
                has_answered = await self.read_once(self.max_wait_ms(now))
            except Exception:
                # Records that were read may not have been applied.
                self.next_offset = -1
                raise
            if not has_answered:
                pause_s = self._retry_s(now)
            elif self.listing_stale:
                # The next read is a listing, which returns without waiting.
                pause_s = RETRY_S
            else:
                pause_s = self.min_period_s() - (clock.now() - now)
            self.housekeeping()
            await asyncio.sleep(max(0.0, pause_s))

    async def _wait_for_listing(self) -> None:
        feed = self.state.feed
        until = clock.now() + INITIAL_WAIT_S
        while clock.now() < until:
            if feed.relay is not None or self.topic in feed.listed:
                return
            await asyncio.sleep(INITIAL_WAIT_S / 8)

    def max_wait_ms(self, now: float) -> int:
        """Return the maximum time that the store may hold a read."""
        raise NotImplementedError

    def min_period_s(self) -> float:
        """Return the minimum time between the starts of two reads."""
        raise NotImplementedError

    def housekeeping(self) -> None:
        """Do periodic work, after each read or check of the relay."""

    async def recover(self) -> None:
        """Read what the newest records don't contain, if needed."""

    def _retry_s(self, now: float) -> float:
        feed = self.state.feed
        connected = now - feed.heartbeat_at < RELAYED_RETRY_S
        if connected and feed.relay is None and self.topic in feed.newest:
            return RELAYED_RETRY_S
        return RETRY_S

    def _rely_on_relay(self) -> None:
        """Leave reading to the coordinator."""
        # The own offset falls behind; the next own read is a listing.
        self.next_offset = -1
        self.failing = False
        self.housekeeping()

    def process(
        self, records: typing.Sequence[outcomes.Record], listing: bool
    ) -> None:
        """Apply, cache and relay records."""
        feed = self.state.feed
        records = feed.newer_records(self.topic, records)
        if records:
            newest = max(record.offset for record in records)
            feed.record_end(self.topic, newest, clock.now())
        records = self.drop_outdated(records)
        changed = self.apply(records)
        feed.cache_records(self.topic, records, listing)
        feed.relay_changes(self.topic, changed)

    def drop_outdated(
        self, records: list[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Drop records that the store had replaced before it was restored."""
        return records

    def log_fault(self, record: outcomes.Record, error: Exception) -> None:
        """Log that a record could not be applied; the others are."""
        logs.warning(
            'record_fault',
            topic=self.topic,
            key=record.key,
            offset=record.offset,
            reason=tasks.describe(error),
        )

    async def read_once(self, max_wait_ms: int) -> bool:
        """Read the topic once; return whether the store answered."""
        sent_at = clock.now()
        outcome = await self._read(max_wait_ms)
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
        state.store_answered_at = max(state.store_answered_at, sent_at)
        if isinstance(outcome, outcomes.OffsetExpired):
            logs.info('store_history_gone', topic=self.topic)
            self.next_offset = -1
            return True
        self._process_page(outcome)
        return True

    def _process_page(self, page: outcomes.Page) -> None:
        feed, now = self.state.feed, clock.now()
        listing = self.next_offset < 0
        self.listing_stale = listing and feed.is_stale(
            self.topic, page.next_offset
        )
        if self.listing_stale:
            # After the store has deleted its history, its listings may be
            # outdated for seconds.
            logs.info('store_stale', topic=self.topic, end=page.next_offset)
            return
        records = list(page.records)
        if listing:
            feed.record_end(self.topic, page.next_offset, now)
        if listing and not feed.is_restored(self.topic, now):
            records += feed.infer_removals(
                self.topic, records, page.next_offset
            )
        self.next_offset = page.next_offset
        self.process(records, listing)
        feed.record_read(self.topic, page.next_offset, now)

    async def _read(self, max_wait_ms: int) -> outcomes.ReadOutcome:
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        if self.next_offset < 0:
            return await self.client.read_newest(self.topic, deadline)
        return await self.client.read(
            self.topic,
            self.next_offset,
            max_wait_ms,
            deadline + max_wait_ms / 1000,
        )

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Apply records to the state; return those to relay."""
        raise NotImplementedError


class PlatformFollower(Follower):
    """Follows the configuration and evacuations of the platform.

    Attributes
    ----------
    rejected_offset : int
        Offset of the last configuration that was rejected; -1 before the
        first. Each listing contains it again.
    searched_offset : int
        The same at the last search for an earlier configuration.
    """

    topic = names.OPERATOR_TOPIC

    def __init__(
        self, client: store.StoreClient, state: state_module.State
    ) -> None:
        super().__init__(client, state)
        self.rejected_offset = -1
        self.searched_offset = -1

    def max_wait_ms(self, now: float) -> int:
        """Return the maximum time that the store may hold a read."""
        if self.state.feed.relay is not None:
            return RELAY_MAX_WAIT_MS
        outage_age_s = now - max(
            self.state.directory.last_outage_at,
            self.state.feed.coordinator_outage_at,
        )
        return (
            MAX_WAIT_MS
            if outage_age_s > POST_OUTAGE_S
            else POST_OUTAGE_MAX_WAIT_MS
        )

    def min_period_s(self) -> float:
        """Return the minimum time between the starts of two reads."""
        return 0.0

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Apply the configuration and evacuations; return all records."""
        directory = self.state.directory
        evacuated = set(directory.evacuated)
        for record in records:
            if record.key == names.CONFIGURATION_KEY and record.value:
                self._apply_configuration(record)
            elif record.key.startswith(names.EVACUATION_PREFIX):
                domain = record.key.removeprefix(names.EVACUATION_PREFIX)
                if record.value:
                    evacuated.add(domain)
                else:
                    evacuated.discard(domain)
        if directory.set_evacuated(evacuated, clock.now()):
            logs.info('failure_domains_evacuated', domains=sorted(evacuated))
        return list(records)

    def _apply_configuration(self, record: outcomes.Record) -> None:
        if record.offset == self.rejected_offset:
            return
        try:
            self.state.configure(decoding.decode_configuration(record.value))
        except adapter_errors.DecodeError as error:
            self.rejected_offset = record.offset
            logs.warning(
                'configuration_unreadable',
                offset=record.offset,
                reason=str(error),
            )
        except Exception as error:
            self.log_fault(record, error)

    async def recover(self) -> None:
        """Find the configuration in force if the newest one was rejected.

        Without it, an instance that starts then could not serve until the
        next valid one.
        """
        rejected = self.rejected_offset
        if self.state.configuration is not None:
            return
        if rejected == self.searched_offset:
            return
        first = max(0, positions.offset(rejected) - HISTORY_RECORDS)
        next_offset = positions.encode(positions.era(rejected), first)
        found: list[model.Configuration] = []
        while next_offset < rejected:
            deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
            outcome = await self.client.read(
                self.topic, next_offset, 0, deadline
            )
            if isinstance(outcome, outcomes.Unavailable):
                # Tried again by the next call.
                return
            if isinstance(outcome, outcomes.OffsetExpired):
                break
            if not outcome.records:
                break
            next_offset = outcome.next_offset
            found += _valid_configurations(outcome.records, rejected)
        self.searched_offset = rejected
        if found:
            self.state.configure(max(found, key=lambda each: each.version))


def _valid_configurations(
    records: typing.Iterable[outcomes.Record], end: int
) -> list[model.Configuration]:
    """Return the valid configurations among records before an offset."""
    valid = []
    for record in records:
        if record.key != names.CONFIGURATION_KEY or record.offset >= end:
            continue
        try:
            valid.append(decoding.decode_configuration(record.value))
        except adapter_errors.DecodeError:
            # Those that were in force have no error.
            continue
    return valid


class RecordFollower(Follower):
    """Follows the records that operators publish with knapweedhallctl.

    Attributes
    ----------
    records : dict of str to bodies.Record
        Records in force, by key. If a new record is rejected, the previous
        one stays in force.
    """

    topic = operator_records.TOPIC

    def __init__(
        self, client: store.StoreClient, state: state_module.State
    ) -> None:
        super().__init__(client, state)
        self.records: dict[str, bodies.Record] = {}

    def max_wait_ms(self, now: float) -> int:
        """Return the maximum time that the store may hold a read."""
        return RELAY_MAX_WAIT_MS if self.state.feed.relay else MAX_WAIT_MS

    def min_period_s(self) -> float:
        """Return the minimum time between the starts of two reads."""
        return 0.0

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Apply the operators' records; return all records."""
        for record in records:
            try:
                self._apply_record(record)
            except Exception as error:
                self.log_fault(record, error)
        state = self.state
        self._configure(records)
        state.movement_rules = operator_records.to_movement_rules(self.records)
        names_out = operator_records.names_out_of_service(
            self.records, operator_records.DOMAIN_PREFIX
        )
        if state.directory.set_evacuated(names_out, clock.now()):
            logs.info('failure_domains_evacuated', domains=sorted(names_out))
        names_out = operator_records.names_out_of_service(
            self.records, operator_records.INSTANCE_PREFIX
        )
        is_out = state.settings.name in names_out
        if is_out != state.out_of_service:
            state.out_of_service = is_out
            logs.info('instance_marked', out=is_out)
        return list(records)

    def _configure(self, records: typing.Sequence[outcomes.Record]) -> None:
        try:
            new = operator_records.to_configuration(self.records)
        except ValueError as error:
            if records:
                logs.warning(
                    'configuration_unreadable',
                    offset=max(record.offset for record in records),
                    reason=str(error),
                )
            return
        self.state.configure(new)

    def _apply_record(self, record: outcomes.Record) -> None:
        decoded = codec.decode(record.value)
        if isinstance(decoded, errors.Refusal):
            logs.warning('record_skipped', key=record.key, reason=str(decoded))
            return
        known = self.records.get(record.key)
        if decoded.key != record.key:
            logs.warning('record_skipped', key=record.key, reason='foreign')
        elif known is None or known.version < decoded.version:
            self.records[record.key] = decoded
            logs.info(
                'record_in_force',
                kind=decoded.kind,
                name=decoded.name,
                version=decoded.version,
                writer=decoded.writer,
            )


def configuration_follower(
    client: store.StoreClient, state: state_module.State
) -> Follower:
    """Return the follower for the configuration source in the settings."""
    if state.settings.source == 'records':
        return RecordFollower(client, state)
    return PlatformFollower(client, state)


class UpstreamFollower(Follower):
    """Follows the entries that upstreams register."""

    topic = names.UPSTREAM_TOPIC

    def max_wait_ms(self, now: float) -> int:
        """Return the maximum time that the store may hold a read."""
        return 0

    def min_period_s(self) -> float:
        """Return the minimum time between the starts of two reads."""
        if self.state.feed.relay is not None:
            return RELAY_PERIOD_S
        return UPSTREAM_PERIOD_S

    def housekeeping(self) -> None:
        """Drop the upstreams whose removal is final."""
        for name in self.state.directory.expire(clock.now()):
            logs.info('upstream_gone', upstream=name)
            self.state.drop_measurements(name)

    def apply(
        self, records: typing.Sequence[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Apply the entries of upstreams; return those that changed."""
        now = clock.now()
        directory, feed = self.state.directory, self.state.feed
        # What matters is whether the store failed to answer whoever read the
        # removal. A former coordinator may have been the only one rejected.
        outage_at = (
            feed.coordinator_outage_at
            if feed.receiving
            else directory.last_outage_at
        )
        # Only the last record of each key is in force.
        newest = {record.key: record for record in records}
        changed = []
        for name, record in newest.items():
            try:
                is_changed = (
                    self._apply_entry(name, record, now)
                    if record.value
                    else directory.remove(name, now, outage_at)
                )
            except Exception as error:
                self.log_fault(record, error)
                continue
            if is_changed:
                changed.append(record)
        self.state.upstreams_listed = True
        return changed

    def drop_outdated(
        self, records: list[outcomes.Record]
    ) -> list[outcomes.Record]:
        """Drop entries of upstreams that have begun to leave since."""
        now = clock.now()
        if not self.state.feed.is_restored(self.topic, now):
            return records
        return [
            record for record in records if not self._has_left(record, now)
        ]

    def _has_left(self, record: outcomes.Record, now: float) -> bool:
        if not record.value:
            return False
        try:
            entry = decoding.decode_upstream(record.key, record.value, now)
        except adapter_errors.DecodeError:
            # Logged when it is applied.
            return False
        return self.state.directory.has_left(entry)

    def _apply_entry(
        self, name: str, record: outcomes.Record, now: float
    ) -> bool:
        """Apply an entry; return whether its change is relayed."""
        directory = self.state.directory
        try:
            entry = decoding.decode_upstream(name, record.value, now)
        except adapter_errors.DecodeError as error:
            logs.info('upstream_unreadable', upstream=name, reason=str(error))
            return directory.remove(name, now)
        known = directory.entries.get(name)
        is_changed = (
            known is None
            or name in directory.pending_removals
            or abs(known.cold_until - entry.cold_until) > MIN_COLD_SHIFT_S
            or known._replace(cold_until=entry.cold_until) != entry
        )
        # It may have begun to drain right after the last read.
        read_at = self.state.feed.last_read_at(self.topic)
        if directory.put(entry, read_at):
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
        return is_changed
