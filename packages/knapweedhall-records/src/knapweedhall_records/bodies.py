"""Contents of the records on the log, independent of the schema version."""

from __future__ import annotations

import typing

from knapweedhall_records import ids

MAX_HOT_KEYS = 64
MAX_SLICES = 65536


class Limits(typing.NamedTuple):
    """What one upstream bears.

    Attributes
    ----------
    slots : int
        Requests that run at the same time.
    connections : int
        Open connections from all instances together.
    cold_slots : int
        Requests at the same time at the beginning of a cold start.
    connect_cost_ms : float
        Time that the upstream spends on a new connection.
    probe_cost_ms : float
        Time that the upstream spends on a probe.
    """

    slots: int
    connections: int
    cold_slots: int = 1
    connect_cost_ms: float = 1.0
    probe_cost_ms: float = 0.0


class Service(typing.NamedTuple):
    """A named set of upstreams and the rules for its requests.

    Attributes
    ----------
    mode : {'divided', 'choice'}
        Whether keys have owners or any upstream may answer.
    limits : Limits
        Limits of each upstream unless its own record says otherwise.
    slices : int
        Number of slices, a power of two; 1 for `choice`.
    partition_mode : {'stay', 'handover'}
        Whether a partitioned failure domain keeps its keys or loses them.
    checks_tokens : bool
        Whether the upstreams refuse requests with an old fencing token.
    max_work_ms : int
        Longest time that a request may run beyond its send permit, for
        upstreams that do not check tokens.
    default_timeout_ms : int
        Timeout of a request whose caller names none.
    idempotent_methods : tuple of str
        HTTP methods whose requests may run more than once.
    hedging : bool
        Whether an idempotent request may be sent to a second upstream.
    customer_header, kind_header : str
        Headers that name the customer and the kind of request; '' for none.
    kind_weights : dict of str to float
        Cost of a request by its kind; kinds not named cost 1.
    """

    mode: str
    limits: Limits
    slices: int = 1
    partition_mode: str = 'stay'
    checks_tokens: bool = False
    max_work_ms: int = 250
    default_timeout_ms: int = 5000
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')
    hedging: bool = False
    customer_header: str = ''
    kind_header: str = ''
    kind_weights: dict[str, float] = {}


class Movement(typing.NamedTuple):
    """Rules for moving hot keys and slices of a service."""

    hot_key_share: float = 0.25
    min_gain: float = 0.2
    cooldown_ms: int = 10000
    max_moves: int = 1


class Upstream(typing.NamedTuple):
    """What operators say of one upstream; overrides the service's limits."""

    service: str
    failure_domain: str
    address: str
    limits: Limits | None = None


class Mark(typing.NamedTuple):
    """Operators' mark of a failure domain or instance as in or out."""

    state: str
    out_wait_ms: int = 10000


class Electors(typing.NamedTuple):
    """The instances that vote for a lease group's coordinator."""

    instances: tuple[ids.InstanceId, ...]


class Origin(typing.NamedTuple):
    """The group that has to release a slice before its new owner starts.

    Attributes
    ----------
    group : str
        Lease group that owned the slice.
    version : int
        Plan version that moved the slice; an older release does not count.
    """

    group: str
    version: int


class Plan(typing.NamedTuple):
    """Acknowledged assignment of a divided service.

    Attributes
    ----------
    upstreams : tuple of str
        Names of the upstreams that `slices` and `hot_keys` refer to.
    slices : tuple of tuple of int
        For each slice, indices into `upstreams`: the owner, then the named
        successors in order.
    hot_keys : dict of str to tuple of int
        The same for keys that are assigned outside their slice.
    origins : dict of int to Origin
        Slices on their way between groups. A coordinator whose term starts
        after the plan came into force could not tell them otherwise, as the
        log keeps no earlier versions.
    """

    upstreams: tuple[str, ...]
    slices: tuple[tuple[int, ...], ...]
    hot_keys: dict[str, tuple[int, ...]] = {}
    origins: dict[int, Origin] = {}


class Release(typing.NamedTuple):
    """Slices that a group has given up for another group."""

    service: str
    plan_version: int
    group: str
    slices: tuple[int, ...]


class Checkpoint(typing.NamedTuple):
    """One chunk of all records in force up to an offset.

    Attributes
    ----------
    offset : int
        All records below this offset are covered.
    chunk, chunks : int
        Position of this chunk, from 0, and number of chunks.
    records : tuple of str
        Encoded records.
    """

    offset: int
    chunk: int
    chunks: int
    records: tuple[str, ...]


Body = (
    Service
    | Movement
    | Upstream
    | Mark
    | Electors
    | Plan
    | Release
    | Checkpoint
)


class Record(typing.NamedTuple):
    """One record on the log.

    Attributes
    ----------
    kind : str
        One of the names in `codec.KINDS`.
    schema : int
        Schema version that the record was written in, 1 or 2.
    name : str
        Name, unique within the kind.
    version : int
        Version of this record, `replaces` + 1 or higher.
    replaces : int
        Version that this record replaces, 0 for the first.
    writer : str
        Name of the operator or instance that wrote it.
    incarnation : int
        Run of the writer.
    number : int
        Number of the record within the run; a repeated append keeps it.
    body : Body
        Content.
    """

    kind: str
    schema: int
    name: str
    version: int
    replaces: int
    writer: str
    incarnation: int
    number: int
    body: Body
