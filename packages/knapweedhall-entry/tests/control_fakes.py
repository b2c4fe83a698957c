"""Small stand-ins for the neighbours of the control tasks."""

from __future__ import annotations

import collections
import typing

from knapweedhall_entry import fleet
from knapweedhall_entry import instance_list
from knapweedhall_entry import messages
from knapweedhall_events import catalogue
from knapweedhall_events import trace
from knapweedhall_ownership import configuration
from knapweedhall_peering import envelope
from knapweedhall_platform import outcomes
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import ids

LIMITS = bodies.Limits(4, 100)
ME = ids.InstanceId('a', 1)


class Recorder(trace.TraceWriter):
    """Keeps events in memory."""

    def __init__(self) -> None:
        super().__init__('test')
        self.events: list[tuple[str, dict[str, typing.Any]]] = []

    def emit(self, name: str, **fields: trace.FieldValue) -> None:
        kind = catalogue.BY_NAME[name]
        assert set(fields) == set(kind.fields), (name, fields)
        self.events.append((name, fields))

    def names(self) -> list[str]:
        """Return the names of the events."""
        return [name for name, _ in self.events]


class Log:
    """Log in memory whose faults a test sets.

    Attributes
    ----------
    lose_answers : int
        Appends that take effect without an answer.
    """

    def __init__(self) -> None:
        self.first = 0
        self.rows: list[outcomes.StoredRecord] = []
        self.down = False
        self.lose_answers = 0

    def put(self, text: str) -> int:
        offset = self.first + len(self.rows)
        self.rows.append(outcomes.StoredRecord(offset, 0, text))
        return offset

    def expire(self, count: int) -> None:
        del self.rows[:count]
        self.first += count

    async def append(
        self, record: bytes, deadline: float
    ) -> outcomes.AppendOutcome:
        if self.down:
            return outcomes.AppendUnknown('down')
        offset = self.put(record.decode())
        if self.lose_answers:
            self.lose_answers -= 1
            return outcomes.AppendUnknown('lost')
        return outcomes.Appended(offset)

    async def read(
        self, start: int, deadline: float, limit: int = 500, wait_ms: int = 0
    ) -> outcomes.ReadOutcome:
        if self.down:
            return outcomes.Unreachable('down')
        if start < self.first:
            return outcomes.Expired(self.first)
        rows = tuple(self.rows[start - self.first :][:limit])
        return outcomes.LogPage(self.first, start + len(rows), rows)


class Sender:
    """Keeps the messages that are sent."""

    def __init__(self, me: ids.InstanceId = ME) -> None:
        self.me = me
        self.sent: list[tuple[str, typing.Any]] = []
        self.peers: dict[str, str] = {}

    def send(self, name: str, body: typing.Any) -> bool:
        self.sent.append((name, body))
        return True

    def set_peer(self, name: str, address: str) -> None:
        self.peers[name] = address

    def forget_peer(self, name: str) -> None:
        self.peers.pop(name, None)

    def names(self) -> list[str]:
        """Return the receivers of the messages so far, and forget them."""
        names = [name for name, _ in self.sent]
        self.sent.clear()
        return names


NUMBERS: collections.Counter[str] = collections.Counter()


def record(
    kind: str, name: str, body: bodies.Body, replaces: int = 0
) -> bodies.Record:
    """Return a record of a writer that never repeats a number."""
    NUMBERS['writer'] += 1
    return bodies.Record(
        kind, 2, name, replaces + 1, replaces, 'op', 1, NUMBERS['writer'], body
    )


def text(*fields: typing.Any, **named: typing.Any) -> str:
    """Return an encoded record."""
    return codec.encode(record(*fields, **named)).decode()


def service(**fields: typing.Any) -> bodies.Service:
    """Return a divided service with four slices."""
    return bodies.Service(
        **{'mode': 'divided', 'limits': LIMITS, 'slices': 4, **fields}
    )


def put(
    store: configuration.Store,
    kind: str,
    name: str,
    body: bodies.Body,
    replaces: int = 0,
) -> None:
    """Bring a record into force."""
    outcome = store.apply(
        store.next_offset, record(kind, name, body, replaces)
    )
    assert isinstance(outcome, configuration.InForce), outcome


def upstream_row(
    name: str, service_name: str, domain: str, state: str = 'live'
) -> outcomes.ListedInstance:
    """Return a row of the list for an upstream."""
    return outcomes.ListedInstance(
        name, 'upstream', domain, state, service_name, '127.0.0.1:1'
    )


def entry_row(name: str, domain: str, host: str) -> outcomes.ListedInstance:
    """Return a row of the list for an entry instance."""
    return outcomes.ListedInstance(
        name,
        'entry',
        domain,
        'live',
        forward_address=f'{host}:81',
        peer_address=f'{host}:83',
    )


def heartbeat(
    domain: str = 'x', host: str = '127.0.0.9', **fields: typing.Any
) -> messages.Heartbeat:
    """Return a heartbeat of a ready instance."""
    base = messages.Heartbeat(
        domain, f'{host}:93', f'{host}:91', True, '', False, True, True
    )
    return base._replace(**fields)


def received(
    sender: ids.InstanceId, body: typing.Any, sequence: int = 1
) -> envelope.Received:
    """Return a message as the transport delivers it."""
    return envelope.Received(
        sender, ME.name, type(body).__name__, sequence, body
    )


def make_list(
    *rows: outcomes.ListedInstance, now: float = 0.0
) -> instance_list.InstanceListFollower:
    """Return a follower that has read a list."""
    listed = instance_list.InstanceListFollower(
        typing.cast(typing.Any, None), 1, 1
    )
    listed.note_rows(rows, now)
    return listed


def make_fleet(
    *rows: outcomes.ListedInstance, store: configuration.Store
) -> fleet.Fleet:
    """Return a fleet that has joined its sources."""
    found = fleet.Fleet(store, make_list(*rows))
    found.refresh(0.0)
    return found
