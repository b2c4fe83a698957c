"""Appends one record and finds out whether it is in force."""

from __future__ import annotations

import asyncio
import dataclasses

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_ctl import connection
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors
from knapweedhall_router import appender
from knapweedhall_router import published

# Keeps a command from filling the platform's budget while it is down.
RETRY_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True)
class InForce:
    """What stands in the store when a record is to be appended.

    Attributes
    ----------
    version : int
        Version of the record in force, 0 for none.
    end : int
        Offset at which the next record is appended.
    """

    version: int
    end: int


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The record is in force from its offset on."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another version came into force."""

    in_force: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store did not answer in time.

    Attributes
    ----------
    reason : str
        Last failure.
    sent : bool
        Whether the record was sent, so that it may come into force.
    """

    reason: str
    sent: bool


Result = Accepted | Conflict | Unavailable


async def find(
    client: store.StoreClient, key: str, deadline: float
) -> InForce | Unavailable:
    """Return what is in force for a key; tries until the deadline."""
    while True:
        try:
            page = await connection.newest(client, published.TOPIC)
        except connection.Unanswered as error:
            if asyncio.get_running_loop().time() >= deadline:
                return Unavailable(str(error), sent=False)
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        return InForce(_version(page, key), page.next_offset)


def _version(page: outcomes.Page, key: str) -> int:
    for found in page.records:
        if found.key != key or not found.value:
            continue
        record = codec.decode(found.value)
        if not isinstance(record, errors.Refusal):
            return record.version
    return 0


async def append(
    client: store.StoreClient,
    record: bodies.Record,
    in_force: InForce,
    deadline: float,
) -> Result:
    """Append a record after the one that it replaces.

    A record of another key at the same offset only makes it try again.
    """
    framed = store.encode_record(record.key, codec.encode(record))
    writer = appender.Appender(client, published.TOPIC, in_force.end)
    sent = False
    while True:
        outcome = await writer.append(framed)
        if isinstance(outcome, appender.Written):
            return Accepted(outcome.offset)
        if isinstance(outcome, appender.Unknown):
            sent = sent or outcome.in_doubt
            if asyncio.get_running_loop().time() >= deadline:
                return Unavailable(outcome.reason, sent)
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        found = await find(client, record.key, deadline)
        if isinstance(found, Unavailable):
            return Unavailable(found.reason, sent)
        if found.version != record.replaces:
            return Conflict(found.version)
        writer.end = found.end
