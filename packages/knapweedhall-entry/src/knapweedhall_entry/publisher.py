"""Appends this instance's records to the log and waits for the outcome.

An append counts only after the record was read back as the winner, since the
log may store a record and lose its answer.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

from knapweedhall_platform import client
from knapweedhall_platform import outcomes
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import ids

SCHEMA = 2
# Leaves the log, which bears several hundred appends a second for all its
# users, room when a failure domain is lost.
MIN_APPEND_INTERVAL_S = 0.02
RETRY_DELAY_S = 0.5


class Draft(typing.NamedTuple):
    """A record to be published."""

    kind: str
    name: str
    replaces: int
    body: bodies.Body


@dataclasses.dataclass(frozen=True)
class Published:
    """The record was read back as the winner."""

    record: bodies.Record
    offset: int


@dataclasses.dataclass(frozen=True)
class Superseded:
    """Another record won against the same predecessor, or is newer."""

    record: bodies.Record


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The log did not answer in time; the record may come into force later."""

    record: bodies.Record
    reason: str


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The record itself is invalid or the log refused to store it."""

    reason: str


Outcome = Published | Superseded | Undecided | Rejected


class Publisher:
    """Publishes records one at a time.

    Parameters
    ----------
    log : client.LogClient
        The log.
    me : ids.InstanceId
        Writer named in the records.
    request_timeout_s : float
        Time limit of one append.
    """

    def __init__(
        self,
        log: client.LogClient,
        me: ids.InstanceId,
        request_timeout_s: float,
    ) -> None:
        self.log = log
        self.me = me
        self.request_timeout_s = request_timeout_s
        self.number = 0
        self.lock = asyncio.Lock()
        self.next_append = 0.0
        self.waiting: dict[int, asyncio.Future[Published | Superseded]] = {}
        self.appended = 0

    def note_read(
        self, record: bodies.Record, offset: int, in_force: bool
    ) -> None:
        """Take note of a record that was read from the log.

        Parameters
        ----------
        in_force : bool
            Whether the record came into force when it was read.
        """
        if (record.writer, record.incarnation) != self.me:
            return
        waiting = self.waiting.pop(record.number, None)
        if waiting is None or waiting.done():
            return
        if in_force:
            waiting.set_result(Published(record, offset))
        else:
            waiting.set_result(Superseded(record))

    async def publish(self, draft: Draft, deadline: float) -> Outcome:
        """Publish a record.

        Parameters
        ----------
        draft : Draft
            What to publish.
        deadline : float
            When to stop waiting, in seconds of `time.monotonic`.
        """
        async with self.lock:
            self.number += 1
            record = bodies.Record(
                draft.kind,
                SCHEMA,
                draft.name,
                draft.replaces + 1,
                draft.replaces,
                self.me.name,
                self.me.incarnation,
                self.number,
                draft.body,
            )
            encoded = codec.encode(record)
            checked = codec.decode(encoded)
            if not isinstance(checked, bodies.Record):
                return Rejected(str(checked))
            loop = asyncio.get_running_loop()
            future: asyncio.Future[Published | Superseded]
            future = loop.create_future()
            self.waiting[record.number] = future
            try:
                return await self.append(record, encoded, future, deadline)
            finally:
                self.waiting.pop(record.number, None)

    async def append(
        self,
        record: bodies.Record,
        encoded: bytes,
        future: asyncio.Future[Published | Superseded],
        deadline: float,
    ) -> Outcome:
        """Append until the record is read back or the deadline passes.

        A repeated append keeps the record's number, by which readers drop the
        duplicate.
        """
        reason = 'not read back'
        while time.monotonic() < deadline:
            await asyncio.sleep(self.next_append - time.monotonic())
            now = time.monotonic()
            self.next_append = now + MIN_APPEND_INTERVAL_S
            limit = min(deadline, now + self.request_timeout_s)
            answer = await self.log.append(encoded, limit)
            if isinstance(answer, outcomes.AppendRefused):
                return Rejected(answer.reason)
            if isinstance(answer, outcomes.AppendUnknown):
                reason = answer.reason
                wait_until = time.monotonic() + RETRY_DELAY_S
            else:
                self.appended += 1
                wait_until = deadline
            try:
                async with asyncio.timeout_at(min(wait_until, deadline)):
                    return await asyncio.shield(future)
            except TimeoutError:
                continue
        return Undecided(record, reason)
