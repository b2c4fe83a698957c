"""Messages between instances that the entry process defines itself."""

from __future__ import annotations

import typing


class Heartbeat(typing.NamedTuple):
    """Sign of life, sent to every known peer.

    Attributes
    ----------
    failure_domain : str
        Failure domain of the sender.
    peer_address, forward_address : str
        IP number and port of the sender's listeners.
    ready : bool
        Whether the sender takes requests.
    digest : str
        Digest of the configuration in force, to notice differences.
    leaving : bool
        Whether the sender is in a planned stop.
    restored : bool
        Whether the sender holds a complete configuration.
    log_reachable : bool
        Whether the sender can read the log.
    groups : tuple of str
        Lease groups that the sender coordinates.
    lost_upstreams : tuple of str
        Upstreams of these groups that do not respond; plans leave them out.
    """

    failure_domain: str
    peer_address: str
    forward_address: str
    ready: bool
    digest: str
    leaving: bool
    restored: bool
    log_reachable: bool
    groups: tuple[str, ...] = ()
    lost_upstreams: tuple[str, ...] = ()


class ConfigRequest(typing.NamedTuple):
    """Asks a peer for records in force.

    Attributes
    ----------
    versions : dict of str to int
        Version held per ``kind/name``; the peer leaves out what is not newer.
    whole : bool
        Whether the whole state is wanted, with what decides on later records.
    number : int
        Number of the request.
    """

    versions: dict[str, int]
    whole: bool
    number: int


class ConfigRecords(typing.NamedTuple):
    """One chunk of an answer to a `ConfigRequest`.

    Attributes
    ----------
    number : int
        Number of the request.
    offset : int
        The sender has applied the log below this offset.
    chunk, chunks : int
        Position of this chunk, from 0, and number of chunks.
    records : tuple of str
        Encoded records.
    """

    number: int
    offset: int
    chunk: int
    chunks: int
    records: tuple[str, ...]
