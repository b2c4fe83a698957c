"""Data types for services, routes, upstreams and key ranges."""

from __future__ import annotations

import ipaddress
import math
import typing

# Keys of a divided service range from 0 to KEY_COUNT - 1.
KEY_COUNT = 65536
MAX_PORT = 65535


class Address(typing.NamedTuple):
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address in the form `host:port`."""
        return f'{self.host}:{self.port}'


def parse_port(text: str) -> int:
    """Return a TCP port that can be connected to.

    Raises
    ------
    ValueError
        If the text is no decimal number from 1 to `MAX_PORT`.
    """
    is_short = len(text) <= len(str(MAX_PORT))
    if is_short and text.isascii() and text.isdigit():
        port = int(text)
        if 0 < port <= MAX_PORT:
            return port
    raise ValueError(f'expected a port from 1 to {MAX_PORT}')


def parse_address(text: str) -> Address:
    """Return an address from the form `host:port`.

    Connecting to a host that is no IP address, or to a port that is out of
    range, raises errors of several kinds.

    Raises
    ------
    ValueError
        If the host is no IP address or the port is out of range.
    """
    host, _, port = text.rpartition(':')
    return Address(str(ipaddress.ip_address(host)), parse_port(port))


class Limits(typing.NamedTuple):
    """Limits on what a caller may send.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's head and of its body.
    header_timeout_s, idle_timeout_s : float
        Maximum time to receive a request's head, and maximum time between two
        requests on one connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Cluster(typing.NamedTuple):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Rules for the requests to one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        Name of the route, and the host and path prefix that it matches; the
        prefix ends with a slash.
    idempotent : bool
        Whether every request may run more than once.
    clusters : tuple of Cluster
        Services that receive the requests, in proportion to their weights.
    timeout_s, objective_s : float
        Maximum time that a caller waits, and the latency objective.
    max_attempts : int
        Maximum number of upstreams that one request may run on.
    priority : int
        0 is the most urgent.
    idempotent_methods : tuple of str
        HTTP methods whose requests may run more than once even if
        `idempotent` is false.
    public : bool
        Whether its requests are served without a caller's key.
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
    public: bool = False

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request with this method may run more than once."""
        return self.idempotent or method in self.idempotent_methods


class Service(typing.NamedTuple):
    """A set of upstreams.

    Attributes
    ----------
    name : str
        Name of the service.
    divided : bool
        Whether each key is owned by one upstream.
    max_connections : int
        Connections that one upstream accepts from all instances together.
    cold_per_s : float
        Requests per second, from all instances together, that one upstream
        can serve during a cold start.
    """

    name: str
    divided: bool
    max_connections: int
    cold_per_s: float


class Workspace(typing.NamedTuple):
    """A tenant of the deployment, with the keys of its callers.

    Attributes
    ----------
    name : str
        Unique name.
    keys : tuple of str
        Keys that identify its callers.
    priority : int or None
        Priority of its requests, which takes precedence over that of the
        route; None to use the route's.
    rate_per_s, burst : float
        Quota of all instances together: requests per second, and requests
        beyond that at once. A rate of 0 means no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


def check_workspaces(workspaces: typing.Iterable[Workspace]) -> None:
    """Check that each key belongs to one workspace that can be named.

    The error does not contain a key, as it is logged.

    Raises
    ------
    ValueError
        If a name is missing, used twice or can't be sent in a header, if a
        key is empty or belongs to two workspaces, or if a quota is below 0
        or not finite.
    """
    name_by_key: dict[str, str] = {}
    names: set[str] = set()
    for workspace in workspaces:
        name = workspace.name
        if not name.strip():
            raise ValueError('a workspace has no name')
        if name != name.strip() or not name.isprintable():
            raise ValueError(
                f'workspace {name!r}: the name is no header value'
            )
        if name in names:
            raise ValueError(f'two workspaces have the name {name!r}')
        names.add(name)
        for key in workspace.keys:
            if not key.strip():
                raise ValueError(f'workspace {name!r} has an empty key')
            holder = name_by_key.setdefault(key, name)
            if holder != name:
                raise ValueError(
                    f'workspaces {holder!r} and {name!r} have the same key'
                )
        for value in (workspace.rate_per_s, workspace.burst):
            if not 0 <= value < math.inf:
                raise ValueError(f'workspace {name!r}: quota {value}')


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        A configuration replaces those with lower versions.
    routes : tuple of Route
        Routes of all services.
    services : dict of str to Service
        Services by name.
    limits : Limits
        Limits on what a caller may send.
    workspaces : tuple of Workspace or None
        Workspaces whose callers are served; None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    workspaces: tuple[Workspace, ...] | None = None


class Upstream(typing.NamedTuple):
    """One upstream as it registered itself.

    Attributes
    ----------
    name : str
        Unique ID of the process.
    address : Address
        Address at which it accepts requests.
    service, failure_domain : str
        Service that it serves, and failure domain in which it runs.
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        Whether it is about to shut down.
    cold_until : float
        End of its cold start, seconds of this instance's clock.
    born_ms : int
        Start time of the process; a different value means another
        incarnation.
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
    """Load that an upstream reports with a response.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that it runs, requests in its queue, and the number of
        requests that it can run concurrently.
    slowdown : float
        Current service time divided by the baseline service time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class Notice(typing.NamedTuple):
    """What an upstream says of itself with a response.

    Attributes
    ----------
    upstream : str
        Name of the upstream, if the response states it; another one than
        the addressee may use its address. '' otherwise.
    leaving : bool
        Whether it is about to shut down.
    pause_s : float
        Time for which it wants no requests from this instance, seconds.
    fault : str
        What is malformed, for the log; '' if nothing is.
    """

    upstream: str = ''
    leaving: bool = False
    pause_s: float = 0.0
    fault: str = ''


class KeyRange(typing.NamedTuple):
    """Keys from `first` to `last`, inclusive."""

    first: int
    last: int

    def check(self) -> None:
        """Check that the range has keys, and only keys that exist.

        Raises
        ------
        ValueError
            If it has not.
        """
        if not 0 <= self.first <= self.last < KEY_COUNT:
            raise ValueError(f'no range of keys: {self.first} to {self.last}')


class OwnedRange(typing.NamedTuple):
    """A key range and the upstream that owns it.

    Attributes
    ----------
    first, last : int
        First and last key, inclusive.
    upstream : str
        Name of the owner; '' while there is none.
    address : Address
        Address at which the owner accepts requests.
    learned_at : float
        When this instance received the range, seconds.
    """

    first: int
    last: int
    upstream: str
    address: Address
    learned_at: float = 0.0
