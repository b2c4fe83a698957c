"""What the router knows of services, routes and upstreams."""

from __future__ import annotations

import typing

# Keys of a divided service are numbers below this.
KEY_COUNT = 65536


class Address(typing.NamedTuple):
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host and port as one word."""
        return f'{self.host}:{self.port}'


class Limits(typing.NamedTuple):
    """What one caller may send.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request.
    header_timeout_s, idle_timeout_s : float
        Longest time for a head, and between two requests of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Cluster(typing.NamedTuple):
    """A service that gets a part of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Requests of one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        Name, and what selects the route; the prefix ends with a slash.
    idempotent : bool
        Whether each request may run more than once.
    clusters : tuple of Cluster
        Services that the requests go to, in proportion to their weights.
    timeout_s, objective_s : float
        Longest time that a caller is kept waiting, and the latency objective.
    max_attempts : int
        Upstreams that one request may run on.
    priority : int
        0 is the most urgent.
    idempotent_methods : tuple of str
        HTTP methods whose requests may run more than once in any case.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    clusters: tuple[Cluster, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    idempotent_methods: tuple[str, ...] = ()

    def may_repeat(self, method: str) -> bool:
        """Return whether a request with a method may run more than once."""
        return self.idempotent or method in self.idempotent_methods


class Service(typing.NamedTuple):
    """A set of upstreams.

    Attributes
    ----------
    name : str
        Name.
    divided : bool
        Whether each key has one upstream that owns it.
    max_connections : int
        Connections that one upstream accepts from all instances.
    cold_per_s : float
        Requests per second that one upstream bears during a cold start.
    """

    name: str
    divided: bool
    max_connections: int
    cold_per_s: float


class Configuration(typing.NamedTuple):
    """One version of what operators configured."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits


class Upstream(typing.NamedTuple):
    """One upstream as it reported itself.

    Attributes
    ----------
    name : str
        Unique id of the process.
    address : Address
        Where it takes requests.
    service, failure_domain : str
        What it serves, and where it runs.
    slots : int
        Requests that it runs at the same time.
    draining : bool
        Whether it is about to leave.
    cold_until : float
        End of its cold start, seconds of the own clock.
    born_ms : int
        Start of the process; another value is another incarnation.
    """

    name: str
    address: Address
    service: str
    failure_domain: str
    slots: int
    draining: bool
    cold_until: float
    born_ms: int


class LoadReport(typing.NamedTuple):
    """Load that an upstream states in an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests at work, in its queue, and at work at most.
    slowdown : float
        How long work takes there at present; 1.0 is usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class KeyRange(typing.NamedTuple):
    """Keys from `first` to `last`, both included."""

    first: int
    last: int


class OwnedRange(typing.NamedTuple):
    """Keys and the upstream that owns them.

    Attributes
    ----------
    first, last : int
        Keys, both included.
    upstream : str
        The owner; '' while there is none.
    address : Address
        Where the owner takes requests.
    learned_at : float
        When the instance learned of it, seconds.
    """

    first: int
    last: int
    upstream: str
    address: Address
    learned_at: float = 0.0
