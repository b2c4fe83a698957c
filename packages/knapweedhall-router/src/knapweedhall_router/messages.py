"""Messages between the coordinator and the instances.

They travel over plain TCP, as frames of a length (4 bytes, big-endian) and
MessagePack. Each connection carries heartbeats, so that one which went
silent without a reset is noticed.
"""

from __future__ import annotations

import asyncio
import struct

import msgspec

from knapweedhall_routing import model
from knapweedhall_routing import ranges

_LENGTH = struct.Struct('>I')
# A table of 65,536 keys in ranges of 4 keys is below this, bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024

WireRange = tuple[int, int, str, str, int]


class Hello(msgspec.Struct, tag='hello', array_like=True):
    """First message of an instance.

    Attributes
    ----------
    instance : str
        Its name.
    topics : list of str
        Topics whose records it can't read by itself.
    address : str
        Host and port where it listens for other instances.
    """

    instance: str
    topics: list[str]
    address: str = ''


class Takeover(msgspec.Struct, tag='takeover', array_like=True):
    """Asks for the end of all tenures before an epoch.

    Attributes
    ----------
    epoch : int
        Number of the new tenure.
    coordinator : str
        Its coordinator, as a member of the group.
    """

    epoch: int
    coordinator: str = ''


class Redirect(msgspec.Struct, tag='redirect', array_like=True):
    """Names the coordinator, as a member; answers a Hello elsewhere."""

    coordinator: str


class SteppedDown(msgspec.Struct, tag='yielded', array_like=True):
    """Says that no tenure of this instance before that epoch goes on."""

    epoch: int


class OverviewRequest(msgspec.Struct, tag='inspect', array_like=True):
    """Asks the coordinator what it knows; sent by knapweedhallctl."""


class Overview(msgspec.Struct, tag='overview', array_like=True):
    """What the coordinator knows.

    Attributes
    ----------
    coordinator : str
        Name of its instance.
    epoch : int
        Number of its tenure.
    lease_expired : bool
        Whether it can't reach the store.
    versions : dict of str to int
        Version of the configuration in force, by connected instance.
    services : dict of str to list of WireRange
        Owners of the keys of each divided service.
    """

    coordinator: str
    epoch: int
    lease_expired: bool
    versions: dict[str, int]
    services: dict[str, list[WireRange]]


class Report(msgspec.Struct, tag='report', array_like=True):
    """What an instance measured since its last report.

    Attributes
    ----------
    keys : dict of str to dict of int to int
        Requests by service and bucket of keys.
    times : dict of str to tuple of int and float
        Answers and mean service time in seconds, by upstream.
    heartbeat : int
        Number of the last heartbeat that came before; -1 before the first.
    store_answer_age_s : float
        Time since the instance sent the last call that the store answered.
    version : int
        Version of the configuration that is in force there.
    """

    keys: dict[str, dict[int, int]]
    times: dict[str, tuple[int, float]]
    heartbeat: int
    store_answer_age_s: float
    version: int


class Table(msgspec.Struct, tag='table', array_like=True):
    """All owners of a service."""

    service: str
    epoch: int
    number: int
    owned_ranges: list[WireRange]


class TableChange(msgspec.Struct, tag='change', array_like=True):
    """Owners of some keys; follows the change before it."""

    service: str
    epoch: int
    number: int
    owned_ranges: list[WireRange]


class Heartbeat(msgspec.Struct, tag='fleet', array_like=True):
    """Heartbeat of the coordinator.

    Attributes
    ----------
    number : int
        Counts the heartbeats of a tenure.
    joined, left : list of str
        Members that connected or left since the last heartbeat; the first
        one names all as joined.
    lease_expired : bool
        Whether the coordinator can't reach the store, so that another one
        may have taken its place.
    ages : dict of str to float
        Time since the coordinator's last read of each topic, seconds.
    outage_age_s : float
        Time since the store last failed to answer the coordinator.
    """

    number: int
    joined: list[str]
    left: list[str]
    lease_expired: bool
    ages: dict[str, float]
    outage_age_s: float


class Records(msgspec.Struct, tag='records', array_like=True):
    """Records of the store that the coordinator read.

    Attributes
    ----------
    topic : str
        Where they stand.
    listing : bool
        Whether they are all that there are.
    records : list of tuple of int, str and bytes
        Offsets, keys and values; a value is empty if its key was dropped.
    """

    topic: str
    listing: bool
    records: list[tuple[int, str, bytes]]


Message = (
    Hello
    | Takeover
    | Redirect
    | SteppedDown
    | OverviewRequest
    | Overview
    | Report
    | Table
    | TableChange
    | Heartbeat
    | Records
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    raw = _encoder.encode(message)
    return _LENGTH.pack(len(raw)) + raw


async def read(reader: asyncio.StreamReader) -> Message:
    """Return the next message.

    Raises
    ------
    ConnectionError, asyncio.IncompleteReadError
        If the connection ended.
    msgspec.MsgspecError
        If the frame can't be read.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise msgspec.DecodeError(f'frame of {length} bytes')
    return _decoder.decode(await reader.readexactly(length))


def to_wire(owned: model.OwnedRange) -> WireRange:
    """Return an owned range as it is sent."""
    return (owned.first, owned.last, owned.upstream, *owned.address)


def from_wire(row: WireRange, now: float) -> model.OwnedRange:
    """Return an owned range that was received at a time."""
    first, last, upstream, host, port = row
    address = model.Address(host, port)
    return model.OwnedRange(first, last, upstream, address, now)


def version(message: Table | TableChange) -> ranges.Version:
    """Return the version that a message leads to."""
    return ranges.Version(message.epoch, message.number)
