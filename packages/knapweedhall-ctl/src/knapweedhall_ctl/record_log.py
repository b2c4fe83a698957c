"""Appends an operator's record and checks whether it came into force."""

from __future__ import annotations

import asyncio
import dataclasses

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import positions
from knapweedhall_adapter import store
from knapweedhall_ctl import connection
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors
from knapweedhall_router.control import appender
from knapweedhall_router.control import operator_records

# Keeps retries during an outage from using up the platform's call budget.
RETRY_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True)
class LogState:
    """State of the log before a record is appended.

    Attributes
    ----------
    version : int
        Version of the record in force, 0 for none.
    next_offset : int
        Offset at which the next record is appended.
    others : tuple of bodies.Record
        Records of other keys in force.
    """

    version: int
    next_offset: int
    others: tuple[bodies.Record, ...] = ()


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The record was appended at an offset and is in force."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another version came into force first.

    Attributes
    ----------
    in_force : int
        That version.
    """

    in_force: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store did not answer in time.

    Attributes
    ----------
    reason : str
        The last failure.
    sent : bool
        Whether the record was sent and may still come into force.
    """

    reason: str
    sent: bool


AppendOutcome = Accepted | Conflict | Unavailable | errors.Refusal


async def read_state(
    client: store.StoreClient, key: str, deadline: float
) -> LogState | Unavailable:
    """Read the state of the log for a key, and retry until the deadline.

    Parameters
    ----------
    client : store.StoreClient
        Client of the store.
    key : str
        Key of the record in its topic.
    deadline : float
        When to give up, in seconds of the event loop's clock.
    """
    while True:
        try:
            page = await connection.read_newest(client, operator_records.TOPIC)
        except connection.Unanswered as error:
            if asyncio.get_running_loop().time() >= deadline:
                return Unavailable(str(error), sent=False)
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        return _state(page, key)


def _state(page: outcomes.Page, key: str) -> LogState:
    version = 0
    others = []
    for stored in page.records:
        if not stored.value:
            continue
        record = codec.decode(stored.value)
        if isinstance(record, errors.Refusal):
            continue
        if stored.key == key:
            version = record.version
        elif stored.key == record.key:
            others.append(record)
    return LogState(version, page.next_offset, tuple(others))


def contradiction(
    record: bodies.Record, state: LogState
) -> errors.Refusal | None:
    """Return why a record contradicts the others in force, or None.

    Routers would reject the whole configuration. The refusal does not contain
    a caller's key, as it is printed.
    """
    if not isinstance(record.body, bodies.Workspace):
        return None
    keys = set(record.body.keys)
    for other in state.others:
        if isinstance(other.body, bodies.Workspace):
            if keys & set(other.body.keys):
                return errors.InvalidField(
                    f'workspace {other.name!r} has one of the keys',
                    'remove the key there first, or use another one',
                )
    return None


async def append(
    client: store.StoreClient,
    record: bodies.Record,
    state: LogState,
    deadline: float,
) -> AppendOutcome:
    """Append a record if the one that it replaces is still in force.

    If a record with another key was appended first, the append is retried at
    the new end of the log.

    Parameters
    ----------
    client : store.StoreClient
        Client of the store.
    record : bodies.Record
        The record.
    state : LogState
        Result of `read_state` for the key of the record.
    deadline : float
        When to give up, in seconds of the event loop's clock.
    """
    encoded = store.encode_record(record.key, codec.encode(record))
    log_appender = appender.Appender(
        client, operator_records.TOPIC, state.next_offset
    )
    sent = False
    while True:
        refusal = contradiction(record, state)
        if refusal is not None:
            return refusal
        outcome = await log_appender.append(encoded)
        if isinstance(outcome, appender.Written):
            return Accepted(positions.offset(outcome.offset))
        if isinstance(outcome, appender.Unknown):
            sent = sent or outcome.in_doubt
            if asyncio.get_running_loop().time() >= deadline:
                return Unavailable(outcome.reason, sent)
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        current = await read_state(client, record.key, deadline)
        if isinstance(current, Unavailable):
            return Unavailable(current.reason, sent)
        if current.version != record.replaces:
            return Conflict(current.version)
        state = current
        log_appender.next_offset = current.next_offset
