"""What the data path needs from the control side of the entry process."""

from __future__ import annotations

import typing

from knapweedhall_records import bodies
from knapweedhall_records import ids


class Address(typing.NamedTuple):
    """IP address and TCP port."""

    host: str
    port: int


class Route(typing.NamedTuple):
    """An upstream that this instance may send a request to.

    Attributes
    ----------
    slice : int
        Slice of the key; 0 for a service without slices.
    upstream : str
        Name of the upstream.
    token : ids.Token
        Fencing token of the slice's activation.
    deadline : float
        End of the send permit, in seconds of `time.monotonic`.
    """

    slice: int
    upstream: str
    token: ids.Token
    deadline: float


class Peer(typing.NamedTuple):
    """Another entry instance and its forward port."""

    name: str
    address: Address


class Forward(typing.NamedTuple):
    """Instances that may send to the owner, the preferred one first."""

    peers: tuple[Peer, ...]


class NoRoute(typing.NamedTuple):
    """Why nobody may be sent the request now.

    Attributes
    ----------
    reason : str
        Word for the `Knapweedhall-Reason` header, such as `no-permit`.
    lasting : bool
        Whether waiting for a change is pointless.
    """

    reason: str
    lasting: bool = False


class Share(typing.NamedTuple):
    """This instance's part of an upstream's limits.

    Attributes
    ----------
    slots : int
        Requests that may run at the same time.
    connections : int
        Connections that may be open.
    cold_slots : int
        Requests that may run at the same time at the beginning of a cold
        start; 0 if other instances hold the whole cold budget.
    connect_cost_ms : float
        Time that the upstream spends on a new connection.
    """

    slots: int
    connections: int
    cold_slots: int
    connect_cost_ms: float = 1.0


class Control(typing.Protocol):
    """Lookups of the control side; all answer at once from memory."""

    def service(self, name: str) -> bodies.Service | None:
        """Return the service's record in force, or None."""

    def route(
        self, now: float, service: str, key: str
    ) -> Route | Forward | NoRoute:
        """Return where a request for a key of a divided service goes."""

    def candidates(
        self, now: float, service: str
    ) -> tuple[Route, ...] | Forward | NoRoute:
        """Return the upstreams of a `choice` service to choose from."""

    def address(self, upstream: str) -> Address | None:
        """Return the address of an upstream, or None if it has left."""

    def share(self, upstream: str) -> Share | None:
        """Return this instance's share of an upstream, or None for none."""

    def subscribe(self, listener: typing.Callable[[], None]) -> None:
        """Call `listener` after each change of what the lookups return.

        Permits that expire by time count as a change only when a new one
        replaces them; the data path compares deadlines itself.
        """


class Observer(typing.Protocol):
    """Receives what the data path notices; must not block."""

    def request_routed(self, service: str, key: str, upstream: str) -> None:
        """Take note of a request, for the count of hot keys."""

    def request_sent(self, service: str, route: Route, end: float) -> None:
        """Take note that a request is about to be written.

        Its work may run until `end`, in seconds of `time.monotonic`.
        """

    def request_answered(self, service: str, route: Route, end: float) -> None:
        """Take note that a request that was sent has a complete answer.

        Without one its work may still run, and nothing is reported.
        """

    def upstream_cold(self, upstream: str, sign: str) -> None:
        """Take note that an upstream started cold."""

    def upstream_refused(self, upstream: str) -> None:
        """Take note that an upstream did not accept a connection."""


class NullObserver:
    """Observer that ignores everything."""

    def request_routed(self, service: str, key: str, upstream: str) -> None:
        """Ignore the request."""

    def request_sent(self, service: str, route: Route, end: float) -> None:
        """Ignore the request."""

    def request_answered(self, service: str, route: Route, end: float) -> None:
        """Ignore the answer."""

    def upstream_cold(self, upstream: str, sign: str) -> None:
        """Ignore the cold start."""

    def upstream_refused(self, upstream: str) -> None:
        """Ignore the failed connection."""


class Demand(typing.NamedTuple):
    """Load that this instance has for one upstream.

    Attributes
    ----------
    outstanding : int
        Requests sent and not answered.
    waiting : int
        Requests that wait for a slot.
    connections : int
        Open connections.
    cold : bool
        Whether the upstream is taken to be cold.
    latency_ms : float
        Smoothed latency of its answers, 0 without any.
    """

    outstanding: int
    waiting: int
    connections: int
    cold: bool
    latency_ms: float


class Options(typing.NamedTuple):
    """Constants of the data path that tests and settings may change.

    Attributes
    ----------
    instance : str
        Name for the `Knapweedhall-Instance` header.
    queue_length : int
        Requests that may wait for an owner per service, and for a slot per
        upstream.
    max_timeout_ms : int
        Longest timeout that a caller may ask for.
    retry_share : float
        Retries allowed per request received.
    retry_burst : int
        Retries allowed at once after a quiet time.
    selection : str
        Rule for `choice` services, a name in `selection.RULES`.
    request_events : bool
        Whether events of level DEBUG are recorded for each request; set it
        if there is a trace file or the log's level is DEBUG.
    connect_timeout_s : float
        Time after which a connection attempt is given up.
    idle_s : float
        Time after which an idle connection to an upstream is closed.
    """

    instance: str
    queue_length: int = 512
    max_timeout_ms: int = 60000
    retry_share: float = 0.1
    retry_burst: int = 10
    selection: str = 'least_of_two'
    request_events: bool = True
    connect_timeout_s: float = 0.25
    idle_s: float = 15.0
