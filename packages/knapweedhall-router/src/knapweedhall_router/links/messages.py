"""Messages between the coordinator and the instances.

They are sent over plain TCP. A frame is a length (4 bytes, big-endian) and a
MessagePack array. Each connection carries heartbeats, so that a failure
without a TCP reset is noticed.
"""

from __future__ import annotations

import asyncio
import struct
import typing
import zlib

import msgspec

from knapweedhall_adapter import errors
from knapweedhall_routing import announcements
from knapweedhall_routing import conditions
from knapweedhall_routing import load
from knapweedhall_routing import model
from knapweedhall_routing import quotas
from knapweedhall_routing import ranges

_LENGTH = struct.Struct('>I')
# A table of all 65,536 keys in ranges of 4 keys each is smaller.
MAX_FRAME_BYTES = 4 * 1024 * 1024

# Size from which records are compressed; smaller ones gain little.
MIN_PACKED_BYTES = 4096
# The fastest level; records are compressed once for all instances.
COMPRESSION_LEVEL = 1

# Number of the upstream, limit, load, service time, number of instances that
# use it, and age of the measurement.
_CONDITION = struct.Struct('>HHHHHB')
# Units of the limit, of the service time and of the age.
LIMITS_PER_REQUEST = 16
SERVICE_UNIT_S = 0.001
AGE_UNIT_S = 0.02

# First key, last key, upstream, host, port.
WireRange = tuple[int, int, str, str, int]


class Hello(msgspec.Struct, tag='hello', array_like=True):
    """First message of an instance to the coordinator.

    Attributes
    ----------
    instance : str
        Its name.
    topics : list of str
        Topics that it has not read itself recently and needs all records of.
    address : str
        Address at which it listens for other instances, as `host:port`.
    packs : bool
        Whether it understands `PackedRecords`.
    failure_domain : str
        Failure domain in which it runs.
    """

    instance: str
    topics: list[str]
    address: str = ''
    packs: bool = False
    failure_domain: str = ''


class DeputyHello(msgspec.Struct, tag='deputy', array_like=True):
    """First message of an instance to the deputy of its failure domain.

    Attributes
    ----------
    instance : str
        Its name.
    sharers : int
        Number of instances that divide the quotas of workspaces, as it knows.
    """

    instance: str
    sharers: int


class Takeover(msgspec.Struct, tag='takeover', array_like=True):
    """Request to a former coordinator to step down.

    Attributes
    ----------
    epoch : int
        Number of the new term; all earlier terms are to end.
    coordinator : str
        Member ID of the new coordinator.
    era : int
        Era of the store in which the new term began; -1 if it is not stated.
    """

    epoch: int
    coordinator: str = ''
    era: int = -1


class Redirect(msgspec.Struct, tag='redirect', array_like=True):
    """Response to a `Hello` from an instance that does not coordinate.

    Attributes
    ----------
    coordinator : str
        Member ID of the coordinator; '' if it is not known.
    """

    coordinator: str


class SteppedDown(msgspec.Struct, tag='yielded', array_like=True):
    """Confirmation that the sender's terms before an epoch have ended.

    Attributes
    ----------
    epoch : int
        Number of the new term, as in the `Takeover`.
    assignments : dict of str to bytes
        By service, the assignment in force when the store was restored, in
        its form for the store; empty unless nobody else can have changed it.
    """

    epoch: int
    assignments: dict[str, bytes] = {}


class OverviewRequest(msgspec.Struct, tag='inspect', array_like=True):
    """Request for the coordinator's overview; sent by knapweedhallctl."""


class Overview(msgspec.Struct, tag='overview', array_like=True):
    """State of all instances and services, as the coordinator knows it.

    Attributes
    ----------
    coordinator : str
        Name of its instance.
    epoch : int
        Number of its term.
    lease_expired : bool
        Whether its lease expired, so that another coordinator may have
        taken over.
    versions : dict of str to int
        Version of the configuration in force, by connected instance.
    services : dict of str to list of WireRange
        Owners of the keys of each divided service.
    limits : dict of str to tuple of float, float, float and int
        Limit, load, service time in seconds, and slots of each upstream that
        responded in this term, by name.
    """

    coordinator: str
    epoch: int
    lease_expired: bool
    versions: dict[str, int]
    services: dict[str, list[WireRange]]
    limits: dict[str, tuple[float, float, float, int]] = {}


class Report(msgspec.Struct, tag='report', array_like=True):
    """Measurements of an instance since its last report.

    Attributes
    ----------
    keys : dict of str to dict of int to int
        Number of requests, by service and bucket of keys.
    times : dict of str to tuple of int and float
        Number of answers and mean service time in seconds, by upstream.
    heartbeat : int
        Number of the last heartbeat received; -1 before the first.
    store_answer_age_s : float
        Time since the instance sent the last call that the store answered,
        seconds.
    version : int
        Version of the configuration in force at the instance.
    leaving : list of tuple of str and int
        Names and incarnations of upstreams that said that they are leaving,
        and that the store does not list as draining.
    pauses : dict of str to float
        Time left for which upstreams want no requests, by name, seconds.
    recent : list of tuple of float and dict, or None
        Requests of the last seconds by service and bucket, with the time
        since the begin of the period in which they were counted; only in the
        first report of a connection, whose `keys` are empty.
    loads : dict of str to load.Sample
        What upstreams stated with their responses, by name; that of the last
        seconds in the first report of a connection.
    overdue : dict of str to float
        Age of the oldest request of upstreams that respond late, by name,
        seconds.
    """

    keys: dict[str, dict[int, int]]
    times: dict[str, tuple[int, float]]
    heartbeat: int
    store_answer_age_s: float
    version: int
    leaving: list[tuple[str, int]] = []
    pauses: dict[str, float] = {}
    recent: load.RecentCounts | None = None
    loads: dict[str, load.Sample] = {}
    overdue: dict[str, float] = {}


class Table(msgspec.Struct, tag='table', array_like=True):
    """Owners of all keys of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    epoch, number : int
        Version: number of the term, and of the last change in it.
    owned_ranges : list of WireRange
        Owners; they cover all keys.
    """

    service: str
    epoch: int
    number: int
    owned_ranges: list[WireRange]


class TableChange(msgspec.Struct, tag='change', array_like=True):
    """Owners of some keys of a service, as a change to the table.

    Attributes
    ----------
    service : str
        Name of the service.
    epoch, number : int
        Version after the change; `number` is one above the previous one.
    owned_ranges : list of WireRange
        Owners of the changed keys.
    """

    service: str
    epoch: int
    number: int
    owned_ranges: list[WireRange]


class Heartbeat(msgspec.Struct, tag='fleet', array_like=True):
    """Heartbeat of the coordinator.

    Attributes
    ----------
    number : int
        Number of the heartbeat in its term.
    joined, left : list of str
        Member IDs of instances that connected or left since the last
        heartbeat. The first heartbeat of a connection lists all in `joined`.
    lease_expired : bool
        Whether the coordinator's lease expired, so that another one may
        have taken over.
    ages : dict of str to float
        Time since the coordinator's last read of each topic, seconds.
    outage_age_s : float
        Time since the store last failed to answer the coordinator, seconds.
    leaving : list of tuple of str and int
        As in the reports, of all instances.
    offsets : dict of str to int
        Offset up to which the coordinator has read each topic.
    sharers : int
        Number of instances that divide the quotas of workspaces; 0 if it is
        unchanged or not recorded yet, -1 if the coordinator leases no tokens.
    conditions : bytes or None
        Changed conditions of upstreams, see `pack_conditions`; None from a
        coordinator that does not know them.
    condition_names : list of tuple of int and str
        Numbers and names of upstreams that were not named before.
    all_conditions : bool
        Whether the conditions and names are complete.
    deputies : dict of str to str
        Member IDs of the instances that pool quotas between two terms, by
        failure domain; empty if they are unchanged.
    """

    number: int
    joined: list[str]
    left: list[str]
    lease_expired: bool
    ages: dict[str, float]
    outage_age_s: float
    leaving: list[tuple[str, int]] = []
    offsets: dict[str, int] = {}
    sharers: int = -1
    conditions: bytes | None = None
    condition_names: list[tuple[int, str]] = []
    all_conditions: bool = False
    deputies: dict[str, str] = {}


class TokenRequest(msgspec.Struct, tag='ask', array_like=True):
    """Request of an instance for tokens; the next waits for the answer.

    Attributes
    ----------
    asks : list of quotas.Ask
        Tokens by workspace.
    """

    asks: list[quotas.Ask]


class TokenLease(msgspec.Struct, tag='lease', array_like=True):
    """Answer to a `TokenRequest`.

    Attributes
    ----------
    grants : list of quotas.Grant
        Tokens by workspace.
    """

    grants: list[quotas.Grant]


class Records(msgspec.Struct, tag='records', array_like=True):
    """Records that the coordinator read from the store and relays.

    Attributes
    ----------
    topic : str
        Topic of the records.
    listing : bool
        Whether they are a full listing of the topic.
    records : list of tuple of int, str and bytes
        Offsets, keys and values; the value is empty if the key was removed.
    """

    topic: str
    listing: bool
    records: list[tuple[int, str, bytes]]


class PackedRecords(msgspec.Struct, tag='packed', array_like=True):
    """Records in compressed form.

    A configuration may have 256 KB. Sent as it is to 195 instances, one
    version takes a link of 100 Mbit/s for 4 s.

    Attributes
    ----------
    raw : bytes
        A `Records` message, encoded and compressed.
    """

    raw: bytes


class ExplainRequest(msgspec.Struct, tag='explain', array_like=True):
    """Question where a request would go now; sent by knapweedhallctl.

    Attributes
    ----------
    host, path, method : str
        Host, path and method of the request.
    key : str
        Key that selects the owner in a divided service; '' for none.
    workspace : str
        Name of the workspace of its caller; '' for none.
    body_bytes : int
        Size of its body.
    """

    host: str
    path: str
    method: str = 'GET'
    key: str = ''
    workspace: str = ''
    body_bytes: int = 0


class ExplainedCandidate(msgspec.Struct, array_like=True):
    """An upstream that could run a request, with what decides.

    Attributes
    ----------
    upstream, failure_domain : str
        Its name and failure domain.
    state : str
        'chosen', 'eligible', or why it is not: 'leaving', 'paused',
        'unreachable', 'silent' or 'cold'.
    cost_ms, latency_ms : float
        Expected cost of sending the request there, and expected time until
        the response, milliseconds.
    load : float
        Estimated number of requests there, running and waiting.
    slots : int
        Requests that it runs concurrently.
    outstanding, max_outstanding : int
        Requests of the instance there, and how many it may have.
    failure_share : float
        Share of recent requests that failed, 0 to 1.
    connected : bool
        Whether an idle connection can carry the request.
    pause_s : float
        Time left for which it wants no requests, seconds.
    """

    upstream: str
    failure_domain: str
    state: str
    cost_ms: float
    latency_ms: float
    load: float
    slots: int
    outstanding: int
    max_outstanding: int
    failure_share: float
    connected: bool
    pause_s: float


class Explanation(msgspec.Struct, tag='explanation', array_like=True):
    """Where a request would go now, and why.

    Attributes
    ----------
    instance : str
        Name of the instance that answers.
    version : int
        Version of its configuration.
    route, service : str
        Route and service of the request; '' if it is refused before.
    priority : int
        Priority of the request.
    divided : bool
        Whether each key of the service has an owner.
    upstream : str
        Where it would be sent; '' if it would be refused.
    status : int
        Status of the refusal; 0 if it would be sent.
    reason : str
        Reason of the choice or of the refusal.
    retry_after_s : float
        When its caller would be asked to retry, seconds.
    candidates : list of ExplainedCandidate
        Upstreams of the service, or the owner of the key; the chosen one is
        first, then by cost.
    """

    instance: str
    version: int
    route: str = ''
    service: str = ''
    priority: int = 0
    divided: bool = False
    upstream: str = ''
    status: int = 0
    reason: str = ''
    retry_after_s: float = 0.0
    candidates: list[ExplainedCandidate] = []


Message = (
    Hello
    | DeputyHello
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
    | PackedRecords
    | TokenRequest
    | TokenLease
    | ExplainRequest
    | Explanation
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as a frame."""
    raw = _encoder.encode(message)
    return _LENGTH.pack(len(raw)) + raw


def encode_packed(message: Message) -> bytes:
    """Encode a message as a frame; compress large records."""
    raw = _encoder.encode(message)
    if isinstance(message, Records) and len(raw) >= MIN_PACKED_BYTES:
        raw = _encoder.encode(
            PackedRecords(zlib.compress(raw, COMPRESSION_LEVEL))
        )
    return _LENGTH.pack(len(raw)) + raw


@errors.decoder('message')
def decode(raw: bytes) -> Message:
    """Return the message in a frame, without its length.

    Raises
    ------
    errors.DecodeError
        If it is malformed.
    """
    return _decoder.decode(raw)


@errors.decoder('packed records')
def unpack(message: PackedRecords) -> Message:
    """Return the message that was packed.

    Raises
    ------
    errors.DecodeError
        If it is too long or malformed.
    """
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(message.raw, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise ValueError('too long or incomplete')
    return _decoder.decode(raw)


async def read(
    reader: asyncio.StreamReader, max_bytes: int = MAX_FRAME_BYTES
) -> Message:
    """Read the next message.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Stream of frames.
    max_bytes : int
        Largest frame.

    Raises
    ------
    ConnectionError, asyncio.IncompleteReadError
        If the connection ended.
    errors.DecodeError
        If the frame is too long or malformed.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise errors.DecodeError(f'frame of {length} bytes')
    return decode(await reader.readexactly(length))


def to_wire(owned_range: model.OwnedRange) -> WireRange:
    """Convert an owned range to its form in messages."""
    return (
        owned_range.first,
        owned_range.last,
        owned_range.upstream,
        *owned_range.address,
    )


def from_wire(received: WireRange, now: float) -> model.OwnedRange:
    """Convert a received range; `now` is when it was received, seconds."""
    first, last, upstream, host, port = received
    address = model.Address(host, port)
    return model.OwnedRange(first, last, upstream, address, now)


def version(message: Table | TableChange) -> ranges.Version:
    """Return the version of the table after a message is applied."""
    return ranges.Version(message.epoch, message.number)


def pack_conditions(
    changes: typing.Iterable[announcements.Change], now: float
) -> bytes:
    """Return conditions in the form for heartbeats.

    An upstream that is not near its limit any more has the limit 0.

    Parameters
    ----------
    changes : iterable of announcements.Change
        What to tell the instances.
    now : float
        Current time, seconds.
    """
    packed = []
    for number, _, condition in changes:
        if condition is None:
            packed.append(_CONDITION.pack(number, 0, 0, 0, 0, 0))
            continue
        packed.append(
            _CONDITION.pack(
                number,
                _limited(condition.limit * LIMITS_PER_REQUEST, 1, 65535),
                _limited(condition.load, 0, 65535),
                _limited(condition.service_s / SERVICE_UNIT_S, 0, 65535),
                _limited(condition.users, 0, 65535),
                _limited((now - condition.at) / AGE_UNIT_S, 0, 255),
            )
        )
    return b''.join(packed)


def _limited(value: float, lowest: int, highest: int) -> int:
    return round(min(max(value, lowest), highest))


@errors.decoder('conditions')
def unpack_conditions(
    raw: bytes, names: typing.Mapping[int, str], now: float
) -> dict[str, conditions.Condition | None]:
    """Return the conditions in a heartbeat by upstream.

    Parameters
    ----------
    raw : bytes
        What the heartbeat contains.
    names : mapping of int to str
        Names of the upstreams by number; others are left out.
    now : float
        When the heartbeat came, seconds.

    Raises
    ------
    errors.DecodeError
        If it is malformed.
    """
    changed: dict[str, conditions.Condition | None] = {}
    for number, limit, load_, service, users, age in _CONDITION.iter_unpack(
        raw
    ):
        if number in names:
            changed[names[number]] = (
                conditions.Condition(
                    limit / LIMITS_PER_REQUEST,
                    load_,
                    service * SERVICE_UNIT_S,
                    users,
                    now - age * AGE_UNIT_S,
                )
                if limit
                else None
            )
    return changed
