"""Tagged outcomes of calls to the platform."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Appended:
    """The log has stored the record.

    Attributes
    ----------
    offset : int
        Where the log stored it. The record is accepted only after it has been
        read back as the winner.
    """

    offset: int


@dataclasses.dataclass(frozen=True)
class AppendRefused:
    """The log has answered that it did not store the record."""

    reason: str
    remedy: str = 'correct the record; the log did not store it'


@dataclasses.dataclass(frozen=True)
class AppendUnknown:
    """No answer: the log may have stored the record, now or later."""

    reason: str
    remedy: str = 'read the log before appending the same record again'


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """The platform did not answer a read."""

    reason: str
    remedy: str = 'check the platform address; the read may be repeated'


@dataclasses.dataclass(frozen=True)
class Expired:
    """The offset that was asked for is older than the log's retention.

    Attributes
    ----------
    first : int
        Oldest offset that the log still has.
    """

    first: int
    remedy: str = 'restore from a checkpoint or a peer, then read from first'


class StoredRecord(typing.NamedTuple):
    """One entry of the log.

    Attributes
    ----------
    offset : int
        Position in the log.
    appended_ms : int
        Wall clock of the log when it stored the entry, ms since the epoch.
    body : str
        Text of the record as its writer appended it.
    """

    offset: int
    appended_ms: int
    body: str


class LogPage(typing.NamedTuple):
    """Answer of one read of the log.

    Attributes
    ----------
    first : int
        Oldest offset that the log still has.
    next : int
        Offset to read from next.
    records : tuple of StoredRecord
        Entries in the order of their offsets.
    """

    first: int
    next: int
    records: tuple[StoredRecord, ...]


class ListedInstance(typing.NamedTuple):
    """One row of the platform's lagging list.

    Attributes
    ----------
    name : str
        Name of the instance or upstream.
    kind : {'entry', 'upstream'}
        What it is.
    failure_domain : str
        Where it runs.
    state : {'live', 'leaving'}
        State that the platform knew some time ago.
    service : str
        Service of an upstream, '' for an entry instance.
    address, forward_address, admin_address, peer_address : str
        IP number and port of each listener, '' where there is none.
    """

    name: str
    kind: str
    failure_domain: str
    state: str
    service: str = ''
    address: str = ''
    forward_address: str = ''
    admin_address: str = ''
    peer_address: str = ''


ListedInstances = tuple[ListedInstance, ...]
AppendOutcome = Appended | AppendRefused | AppendUnknown
ReadOutcome = LogPage | Expired | Unreachable
ListOutcome = ListedInstances | Unreachable
