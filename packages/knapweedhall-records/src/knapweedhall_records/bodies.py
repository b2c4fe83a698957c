"""Contents of the operators' records, independent of the schema version."""

from __future__ import annotations

import typing


class Limits(typing.NamedTuple):
    """What one upstream bears.

    Attributes
    ----------
    connections : int
        Open connections from all instances together.
    cold_per_s : float
        Requests per second during a cold start.
    """

    connections: int
    cold_per_s: float = 5.0


class Service(typing.NamedTuple):
    """A named set of upstreams and the rules for its requests.

    Attributes
    ----------
    mode : {'divided', 'choice'}
        Whether keys have owners or any upstream may answer.
    limits : Limits
        Limits of each upstream.
    hosts : tuple of str
        Hosts whose requests go to the service; none means its name.
    idempotent_methods : tuple of str
        HTTP methods whose requests may run more than once.
    default_timeout_ms : int
        Longest time that a caller is kept waiting.
    objective_ms : int
        Latency objective.
    max_attempts : int
        Upstreams that one request may run on.
    priority : int
        0 is the most urgent.
    """

    mode: str
    limits: Limits
    hosts: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')
    default_timeout_ms: int = 5000
    objective_ms: int = 1000
    max_attempts: int = 2
    priority: int = 1


class Movement(typing.NamedTuple):
    """Rules for moving the keys of a service.

    Attributes
    ----------
    hot_key_share : float
        Share of its upstream's capacity from which a key is placed by speed.
    min_gain : float
        Share of capacity by which a move must lower the higher load.
    cooldown_ms : int
        Time for which a moved key stays where it is.
    max_moves : int
        Moves that begin at the same time.
    """

    hot_key_share: float = 0.6
    min_gain: float = 0.06
    cooldown_ms: int = 3000
    max_moves: int = 6


class Mark(typing.NamedTuple):
    """Operators' mark of a failure domain or instance as in or out."""

    state: str


Body = Service | Movement | Mark


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
        Name of the operator that wrote it.
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

    @property
    def key(self) -> str:
        """Key of the record in its topic; the newest one is in force."""
        return f'{self.kind}/{self.name}'
