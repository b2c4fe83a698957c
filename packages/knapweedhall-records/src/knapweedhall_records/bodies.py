"""Decoded records of the operators, independent of the schema version."""

from __future__ import annotations

import typing


class Limits(typing.NamedTuple):
    """Capacity limits of one upstream.

    Attributes
    ----------
    connections : int
        Maximum number of open connections from all instances together.
    cold_per_s : float
        Maximum number of requests per second during a cold start.
    """

    connections: int
    cold_per_s: float = 5.0


class Service(typing.NamedTuple):
    """A named set of upstreams and the rules for its requests.

    Attributes
    ----------
    mode : {'divided', 'choice'}
        'divided' if each key is owned by one upstream, 'choice' if any
        upstream may answer any request.
    limits : Limits
        Limits of each upstream.
    hosts : tuple of str
        Host names whose requests are routed to the service; if empty, the
        service's name is the host name.
    idempotent_methods : tuple of str
        HTTP methods whose requests may run more than once.
    default_timeout_ms : int
        Time limit for a response to the caller, in milliseconds.
    objective_ms : int
        Latency objective, in milliseconds.
    max_attempts : int
        Maximum number of upstreams that one request may run on.
    priority : int
        Priority of the service's requests; 0 is the highest.
    public : bool
        Whether its requests are served without a caller's key.
    """

    mode: str
    limits: Limits
    hosts: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')
    default_timeout_ms: int = 5000
    objective_ms: int = 1000
    max_attempts: int = 2
    priority: int = 1
    public: bool = False


class Movement(typing.NamedTuple):
    """Rules for moving the keys of a service between upstreams.

    Attributes
    ----------
    hot_key_share : float
        Share of its upstream's capacity from which a key is placed by the
        speed of the upstreams instead of their load.
    min_gain : float
        Share of capacity by which a move must reduce the higher of the two
        upstreams' loads.
    cooldown_ms : int
        Time after a move during which a key isn't moved again, in
        milliseconds.
    max_moves : int
        Maximum number of moves that begin at the same time.
    """

    hot_key_share: float = 0.6
    min_gain: float = 0.06
    cooldown_ms: int = 3000
    max_moves: int = 6


class Mark(typing.NamedTuple):
    """Whether a failure domain or an instance is in service.

    Attributes
    ----------
    state : {'in', 'out'}
        'out' takes it out of service, 'in' puts it back.
    """

    state: str


class Workspace(typing.NamedTuple):
    """A tenant of the deployment; its name is that of the record.

    Attributes
    ----------
    keys : tuple of str
        Keys that identify its callers.
    priority : int or None
        Priority of its requests; None to use that of the service.
    rate_per_s, burst : float
        Quota of all instances together: requests per second, and requests
        beyond that at once. A rate of 0 means no limit.
    """

    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


Body = Service | Movement | Mark | Workspace


class Record(typing.NamedTuple):
    """A record in the log of the operators' records.

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
        Name of the operator who wrote it.
    incarnation : int
        Identifies the run of the writing process.
    number : int
        Number of the record within the run; a repeated append keeps it.
    body : Body
        Content of the record, by kind.
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

    @property
    def key(self) -> str:
        """Key in the topic; the newest record of each key is in force."""
        return f'{self.kind}/{self.name}'
