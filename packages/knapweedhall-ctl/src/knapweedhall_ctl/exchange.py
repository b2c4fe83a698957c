"""Appends one record and reads its outcome back from the log."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from knapweedhall_ctl import winners as log_winners
from knapweedhall_platform import outcomes
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors

READ_TIMEOUT_S = 2.0
APPEND_TIMEOUT_S = 2.0
# Keeps a command from filling the platform's append budget while it is down.
RETRY_PAUSE_S = 0.5


class Log(typing.Protocol):
    """The calls of `knapweedhall_platform.client.LogClient` used here."""

    async def append(
        self, record: bytes, deadline: float
    ) -> outcomes.AppendOutcome:
        """Append one encoded record."""

    async def read(
        self, start: int, deadline: float, limit: int = 500, wait_ms: int = 0
    ) -> outcomes.ReadOutcome:
        """Read entries from an offset."""


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The platform did not respond in time.

    Attributes
    ----------
    reason : str
        Last failure.
    sent : bool
        Whether the record was sent, so that it may come into force.
    """

    reason: str
    sent: bool


@dataclasses.dataclass
class Reader:
    """The part of the log read so far.

    Attributes
    ----------
    log : Log
        Client of the log.
    first, next : int
        Oldest offset that the log had at the start; offset to read next.
    entries : list
        Entries in the order of their offsets.
    """

    log: Log
    first: int = 0
    next: int = 0
    entries: list[outcomes.StoredRecord] = dataclasses.field(
        default_factory=list
    )

    async def read_to_end(self) -> outcomes.Unreachable | None:
        """Read all entries up to the tail, or return the failure."""
        while True:
            deadline = asyncio.get_running_loop().time() + READ_TIMEOUT_S
            page = await self.log.read(self.next, deadline)
            if isinstance(page, outcomes.Unreachable):
                return page
            if isinstance(page, outcomes.Expired):
                self.entries.clear()
                self.first = self.next = page.first
                continue
            if not page.records:
                return None
            self.entries.extend(page.records)
            self.next = page.next


async def load(
    log: Log, deadline: float
) -> tuple[Reader, log_winners.Winners] | errors.Refusal | Unavailable:
    """Read the whole log and find the versions in force."""
    reader = Reader(log)
    while True:
        failure = await reader.read_to_end()
        if failure is None:
            break
        if asyncio.get_running_loop().time() >= deadline:
            return Unavailable(failure.reason, sent=False)
        await asyncio.sleep(RETRY_PAUSE_S)
    found = log_winners.fold(reader.first, reader.entries)
    if isinstance(found, errors.Refusal):
        return found
    return reader, found


async def append_and_confirm(
    reader: Reader,
    winners: log_winners.Winners,
    record: bodies.Record,
    deadline: float,
) -> log_winners.Verdict | outcomes.AppendRefused | Unavailable:
    """Append until the record is read back, with the same number each time.

    Parameters
    ----------
    reader, winners
        The log up to now and its state; both advance.
    record : bodies.Record
        What to append.
    deadline : float
        When to give up, in seconds of the event loop's clock.
    """
    author = (record.writer, record.incarnation, record.number)
    data = codec.encode(record)
    loop = asyncio.get_running_loop()
    while True:
        limit = min(deadline, loop.time() + APPEND_TIMEOUT_S)
        appended = await reader.log.append(data, limit)
        if isinstance(appended, outcomes.AppendRefused):
            return appended
        reason = getattr(appended, 'reason', '')
        failure = await _advance(reader, winners)
        if author in winners.verdicts:
            return winners.verdicts[author]
        reason = failure.reason if failure else reason
        if loop.time() >= deadline:
            return Unavailable(reason, sent=True)
        await asyncio.sleep(RETRY_PAUSE_S)


async def _advance(
    reader: Reader, winners: log_winners.Winners
) -> outcomes.Unreachable | None:
    reader.entries.clear()
    failure = await reader.read_to_end()
    for entry in reader.entries:
        winners.apply(entry)
    return failure
