"""Follows the log and keeps the records in force."""

from __future__ import annotations

import asyncio
import time
import typing

from knapweedhall_events import trace
from knapweedhall_ownership import checkpoints
from knapweedhall_ownership import configuration
from knapweedhall_platform import client
from knapweedhall_platform import outcomes
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors

WAIT_MS = 500
RETRY_S = 0.25
# An instance that lacks expired records asks peers; it looks at the log again
# after this time, as a newer checkpoint may have been written.
RESTORE_RETRY_S = 1.0

ChangeListener = typing.Callable[[bodies.Record], None]
ReadListener = typing.Callable[[bodies.Record, int, bool], None]
Decoded = bodies.Record | errors.Refusal


class LogFollower:
    """Owns the store of records in force.

    Parameters
    ----------
    log : client.LogClient
        The log.
    request_timeout_s : float
        Time limit of one read beyond its waiting time.
    events : trace.TraceWriter
        Receives record_*, state_restored, records_expired and log_* events.

    Attributes
    ----------
    store : configuration.Store
        Records in force. Only this task changes it.
    restored : bool
        Whether the store holds a complete state.
    reachable : bool
        Whether the last read of the log succeeded.
    missing_first : int or None
        Oldest offset of the log while records before it are missing.
    checkpoints_read : int
        Complete checkpoints read.
    records_since : int
        Records read since the last checkpoint.
    """

    def __init__(
        self,
        log: client.LogClient,
        request_timeout_s: float,
        events: trace.TraceWriter,
    ) -> None:
        self.log = log
        self.request_timeout_s = request_timeout_s
        self.events = events
        self.store = configuration.Store()
        self.restored = False
        self.reachable = False
        self.announced_reachable: bool | None = None
        self.missing_first: int | None = None
        self.position = 0
        self.records_since = 0
        self.checkpoints_read = 0
        self.change_listeners: list[ChangeListener] = []
        self.read_listeners: list[ReadListener] = []

    async def run(self) -> None:
        """Restore the state, then follow the log until cancelled."""
        await self.restore()
        while True:
            page = await self.read(self.position, WAIT_MS)
            if isinstance(page, outcomes.LogPage):
                self.apply_page(page)
            elif isinstance(page, outcomes.Expired):
                await self.fill_gap(page.first)
            else:
                await asyncio.sleep(RETRY_S)

    async def read(self, start: int, wait_ms: int) -> outcomes.ReadOutcome:
        """Read one page and note whether the log answers."""
        limit = self.request_timeout_s + wait_ms / 1000
        page = await self.log.read(
            start, time.monotonic() + limit, wait_ms=wait_ms
        )
        self.reachable = not isinstance(page, outcomes.Unreachable)
        if self.reachable != self.announced_reachable:
            self.announced_reachable = self.reachable
            if isinstance(page, outcomes.Unreachable):
                self.events.emit('log_unreachable', reason=page.reason)
            else:
                self.events.emit('log_reachable', offset=start)
        return page

    async def restore(self) -> None:
        """Load the state from the log, or wait until peers provide it."""
        while not self.restored:
            if not await self.restore_from_log() and not self.restored:
                await asyncio.sleep(RETRY_S)

    async def fill_gap(self, first: int) -> None:
        """Recover after records expired before they were read."""
        if self.missing_first != first:
            self.events.emit(
                'records_expired', wanted=self.position, first=first
            )
        self.missing_first = first
        if not await self.restore_from_log():
            await asyncio.sleep(RESTORE_RETRY_S)

    async def restore_from_log(self) -> bool:
        """Load the last complete checkpoint and the tail of the log.

        Returns
        -------
        bool
            Whether nothing is missing.
        """
        found = await self.read_retained()
        if found is None:
            return False
        first, rows = found
        decoded = [(row.offset, codec.decode(row.body)) for row in rows]
        if self.restored and self.store.next_offset >= first:
            self.missing_first = None
            return True
        started = checkpoints.start(first, decoded)
        if started is None:
            if self.missing_first != first:
                self.events.emit('records_expired', wanted=0, first=first)
            self.missing_first = first
            return False
        for _, record in decoded:
            self.note_row(record)
        self.load(started.snapshot(), 'log')
        return True

    async def read_retained(
        self,
    ) -> tuple[int, list[outcomes.StoredRecord]] | None:
        """Return the oldest offset and all records that the log has."""
        position = 0
        rows: list[outcomes.StoredRecord] = []
        while True:
            page = await self.read(position, 0)
            if isinstance(page, outcomes.Unreachable):
                return None
            if isinstance(page, outcomes.Expired):
                # The oldest records expired while they were being read.
                position, rows = page.first, []
                continue
            rows += page.records
            if not page.records or page.next == position:
                first = rows[0].offset if rows else position
                return first, rows
            position = page.next

    def load(self, snapshot: configuration.Snapshot, source: str) -> None:
        """Take a complete state from the log or from a peer."""
        taken = self.store.load(snapshot)
        self.position = max(self.position, self.store.next_offset)
        self.missing_first = None
        self.restored = True
        self.events.emit(
            'state_restored',
            source=source,
            offset=self.store.next_offset,
            records=len(self.store.entries),
        )
        self.announce(taken, source)

    def load_partial(
        self, snapshot: configuration.Snapshot, source: str
    ) -> None:
        """Take newer records from a peer; the log is still read in order."""
        taken = self.store.load(snapshot._replace(next_offset=0))
        self.announce(taken, source)

    def announce(self, taken: list[bodies.Record], source: str) -> None:
        """Report records that came into force without being read here."""
        for record in taken:
            offset = self.store.entries[configuration.key_of(record)].offset
            self.report_in_force(record, offset, source)

    def report_in_force(
        self, record: bodies.Record, offset: int, source: str
    ) -> None:
        """Emit the event and tell the listeners."""
        self.events.emit(
            'record_in_force',
            kind=record.kind,
            record=record.name,
            version=record.version,
            offset=offset,
            source=source,
        )
        for listener in self.change_listeners:
            listener(record)

    def note_row(self, record: Decoded) -> None:
        """Count what decides when the next checkpoint is due."""
        self.records_since += 1
        if isinstance(record, errors.Refusal):
            return
        body = record.body
        if isinstance(body, bodies.Checkpoint):
            if body.chunk == body.chunks - 1:
                self.checkpoints_read += 1
                self.records_since = 0

    def apply_page(self, page: outcomes.LogPage) -> None:
        """Decide on the records of one page."""
        for row in page.records:
            record = codec.decode(row.body)
            self.note_row(record)
            self.apply(row.offset, record)
        self.position = max(self.position, page.next)

    def apply(self, offset: int, record: Decoded) -> None:
        """Decide on one record and report the outcome."""
        outcome = self.store.apply(offset, record)
        if isinstance(outcome, configuration.InForce):
            self.report_in_force(outcome.record, offset, 'log')
        elif isinstance(outcome, configuration.Superseded):
            self.events.emit(
                'record_superseded',
                kind=outcome.record.kind,
                record=outcome.record.name,
                version=outcome.record.version,
                in_force=outcome.in_force,
                offset=offset,
            )
        elif isinstance(outcome, configuration.Refused):
            self.events.emit(
                'record_skipped', offset=offset, reason=str(outcome.refusal)
            )
        elif isinstance(outcome, configuration.Repeated):
            self.events.emit(
                'record_repeated',
                offset=offset,
                writer=outcome.record.writer,
                number=outcome.record.number,
            )
        if isinstance(record, bodies.Record):
            accepted = self.store.accepted(record) or isinstance(
                outcome, configuration.CheckpointPart
            )
            for listener in self.read_listeners:
                listener(record, offset, accepted)
