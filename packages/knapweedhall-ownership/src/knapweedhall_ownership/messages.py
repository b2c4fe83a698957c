"""Contents of the messages between instances and to upstreams.

Lengths of time cross processes in whole milliseconds; each receiver turns
them into a deadline on its own monotonic clock.
"""

from __future__ import annotations

import typing


class VoteRequest(typing.NamedTuple):
    """Request for, or renewal of, an elector's promise.

    Attributes
    ----------
    group : str
        Lease group.
    electors_version : int
        Version of the electors record that the candidate counts by.
    term : int
        Encoded `ids.Term` that the candidate asks for or holds.
    lease_ms : int
        Length of the promise from the elector's receipt.
    number : int
        Number of the request within the candidate's incarnation.
    offset : int
        First offset of the log that the candidate has not read.
    """

    group: str
    electors_version: int
    term: int
    lease_ms: int
    number: int
    offset: int = 0


class Vote(typing.NamedTuple):
    """Answer of an elector.

    `number` is that of the request, `offset` the first offset of the log
    that the elector has not read.
    """

    group: str
    granted: bool
    highest_term: int
    electors_version: int
    number: int
    offset: int = 0


class VoteRelease(typing.NamedTuple):
    """Gives a promise back before its deadline."""

    group: str
    term: int


class Share(typing.NamedTuple):
    """What one instance may use of one upstream.

    Attributes
    ----------
    slots : int
        Requests that run at the same time.
    connections : int
        Open connections.
    cold : int
        Requests at the same time while the upstream is in a cold start.
    """

    slots: int
    connections: int
    cold: int


class PermitRequest(typing.NamedTuple):
    """Request for a send permit; acknowledges what the instance holds.

    Attributes
    ----------
    group : str
        Lease group.
    number : int
        Number of the request within the instance's incarnation, from 1.
    term : int
        Encoded term of the table held, 0 for none. Table versions of
        different terms can be equal, so the version alone acknowledges
        nothing.
    table_version : int
        Newest table version of that term under which no request to a
        withdrawn upstream can still take effect.
    shares_version : int
        Version of the shares held.
    demand : dict of str to float
        Requests in progress and queued, per upstream.
    hottest : dict of str to list of (str, float)
        Per service the hottest keys with their requests per second.
    """

    group: str
    number: int
    term: int
    table_version: int
    shares_version: int
    demand: dict[str, float] = {}
    hottest: dict[str, list[tuple[str, float]]] = {}


class TableEntry(typing.NamedTuple):
    """Owner of one slice in a send permit's table.

    Attributes
    ----------
    service : str
        Service.
    slice : int
        Slice number; that of a hot key if `key` is not empty.
    upstream : str
        Owner, '' while the slice has none.
    sequence : int
        Sequence of the activation's token; the token's term is that of the
        offer.
    key : str
        The hot key, '' for a plain slice.
    removed : bool
        Whether the hot key belongs to its plain slice again.
    """

    service: str
    slice: int
    upstream: str
    sequence: int
    key: str = ''
    removed: bool = False


class PermitOffer(typing.NamedTuple):
    """Send permit of one group.

    Attributes
    ----------
    group : str
        Lease group.
    term : int
        Encoded term of the coordinator.
    number : int
        Number of the request that this answers. A later offer may answer the
        same request again when the table has changed.
    lease_ms : int
        Length of the permit from the time that the request was sent; 0 if
        the table does not fit in one offer and more entries follow, which
        leaves the permit as it is.
    table_version : int
        Version of the table after the entries are applied.
    base_version : int
        Version that the entries build upon, 0 for a table from scratch.
    entries : list of TableEntry
        All entries that changed after `base_version`.
    shares_version : int
        Number of the offer's shares, increasing within the term.
    shares : dict of str to Share
        Shares per upstream; upstreams not named have none.
    """

    group: str
    term: int
    number: int
    lease_ms: int
    table_version: int
    base_version: int
    entries: list[TableEntry]
    shares_version: int
    shares: dict[str, Share]


class Grant(typing.NamedTuple):
    """Slices of one service that an upstream owns under one token."""

    service: str
    token: str
    slices: list[int]


class GrantBody(typing.NamedTuple):
    """Body of PUT /knapweedhall/grants.

    Attributes
    ----------
    group : str
        Lease group.
    term : int
        Encoded term of the coordinator.
    deadline_ms : int
        End of the grants on the upstream's monotonic clock.
    grants : list of Grant
        The whole set; slices that are not named are given up.
    incarnation : int
        Run of the upstream whose clock `deadline_ms` refers to. The clock
        of another run may be lower, which would make the grant last longer
        than the lease, so an upstream refuses grants to other runs.
    """

    group: str
    term: int
    deadline_ms: int
    grants: list[Grant]
    incarnation: int


class GrantAnswer(typing.NamedTuple):
    """Response to a grant.

    `held` is what the upstream held before it applied the grant, expired
    grants included.
    """

    incarnation: int
    clock_ms: int
    cold: bool
    slots: int
    connections: int
    held: list[Grant]


class ReleaseBody(typing.NamedTuple):
    """Body of POST /knapweedhall/release."""

    group: str
    term: int
    service: str
    slices: list[int]
