"""Catalogue of all numbered events; docs/events.md shows the same table."""

from __future__ import annotations

import typing


class EventKind(typing.NamedTuple):
    """One kind of event.

    Attributes
    ----------
    number : int
        Number, unique and never used again for another meaning.
    name : str
        Short name in snake case.
    level : str
        Level of the log line.
    fields : tuple of str
        Names of the fields that each event of this kind carries.
    meaning : str
        What happened, in one sentence.
    """

    number: int
    name: str
    level: str
    fields: tuple[str, ...]
    meaning: str


def _kind(
    number: int, name: str, level: str, fields: str, meaning: str
) -> EventKind:
    return EventKind(number, name, level, tuple(fields.split()), meaning)


_ALL = (
    # Process life
    _kind(
        1000, 'process_started', 'INFO', 'role address', 'The process started.'
    ),
    _kind(1001, 'process_ready', 'INFO', '', 'The process takes requests.'),
    _kind(
        1002,
        'stop_requested',
        'INFO',
        'signal',
        'A planned stop began; readiness is off.',
    ),
    _kind(
        1003,
        'process_stopped',
        'INFO',
        'unfinished',
        'The process ends; unfinished counts requests that were cut.',
    ),
    # Configuration
    _kind(
        1100,
        'record_in_force',
        'INFO',
        'kind record version offset source',
        'A record came into force in this process.',
    ),
    _kind(
        1101,
        'record_superseded',
        'WARNING',
        'kind record version in_force offset',
        'A record lost against another one with the same predecessor.',
    ),
    _kind(
        1102,
        'record_skipped',
        'WARNING',
        'offset reason',
        'A record on the log was refused and skipped.',
    ),
    _kind(
        1103,
        'record_repeated',
        'INFO',
        'offset writer number',
        'A repeated append was dropped.',
    ),
    _kind(
        1104,
        'checkpoint_written',
        'INFO',
        'offset chunks',
        'A checkpoint was written.',
    ),
    _kind(
        1105,
        'state_restored',
        'INFO',
        'source offset records',
        'The configuration was restored from the log or from a peer.',
    ),
    _kind(
        1106,
        'records_expired',
        'WARNING',
        'wanted first',
        'Records wanted from the log have expired.',
    ),
    # Membership
    _kind(
        1200,
        'peer_up',
        'INFO',
        'peer failure_domain',
        'A peer answers heartbeats.',
    ),
    _kind(
        1201,
        'peer_down',
        'WARNING',
        'peer failure_domain',
        'A peer stopped answering heartbeats.',
    ),
    # Lease and vote
    _kind(
        1300,
        'lease_acquired',
        'INFO',
        'group term',
        'This instance became the coordinator of a group.',
    ),
    _kind(
        1301,
        'lease_lost',
        'WARNING',
        'group term',
        'The lease on a group expired.',
    ),
    _kind(
        1302,
        'lease_released',
        'INFO',
        'group term',
        'The lease on a group was given back.',
    ),
    _kind(
        1303,
        'vote_given',
        'DEBUG',
        'group term candidate',
        'A vote was given to a candidate in a new term.',
    ),
    # Grants and permits
    _kind(
        1400,
        'slices_activated',
        'INFO',
        'group service upstream token slices',
        'The coordinator activated slices on an upstream.',
    ),
    _kind(
        1401,
        'slices_released',
        'INFO',
        'group service upstream slices reason',
        'Slices were released by or taken from an upstream.',
    ),
    _kind(
        1402,
        'grant_accepted',
        'INFO',
        'group service upstream token slices',
        'An upstream accepted a grant with new slices or tokens.',
    ),
    _kind(
        1403,
        'grant_expired',
        'WARNING',
        'service upstream slices',
        'A grant expired at the upstream.',
    ),
    _kind(
        1404,
        'grant_refused',
        'WARNING',
        'upstream term highest_term',
        'An upstream refused a grant of an older term.',
    ),
    _kind(
        1405,
        'permit_expired',
        'WARNING',
        'group',
        'The send permit of this instance expired.',
    ),
    _kind(
        1406,
        'table_received',
        'INFO',
        'group term version',
        'A new slice table came into use.',
    ),
    # Requests
    _kind(
        1500,
        'request_received',
        'DEBUG',
        'request service key idempotent',
        'A request arrived from a caller.',
    ),
    _kind(
        1501,
        'request_sent',
        'DEBUG',
        'request service upstream slice token',
        'A request is about to be written to an upstream.',
    ),
    _kind(
        1502,
        'request_forwarded',
        'DEBUG',
        'request instance',
        'A request was forwarded to another instance.',
    ),
    _kind(
        1503,
        'request_answered',
        'DEBUG',
        'request status bytes',
        'The whole answer was handed to the caller.',
    ),
    _kind(
        1504,
        'request_not_run',
        'DEBUG',
        'request reason',
        'A request was refused and did not run.',
    ),
    _kind(
        1505,
        'request_unknown',
        'WARNING',
        'request reason',
        'A request has an unknown outcome.',
    ),
    _kind(
        1510,
        'work_started',
        'DEBUG',
        'request service upstream key slice token cold',
        'An upstream began to run a request.',
    ),
    _kind(
        1511,
        'work_finished',
        'DEBUG',
        'request upstream',
        'An upstream finished a request.',
    ),
    _kind(
        1512,
        'work_refused',
        'DEBUG',
        'request upstream reason',
        'An upstream refused a request that it did not run.',
    ),
    _kind(
        1513,
        'work_abandoned',
        'DEBUG',
        'request upstream reason',
        'An upstream stopped a request before its end.',
    ),
    _kind(
        1520,
        'call_sent',
        'DEBUG',
        'request service key idempotent',
        'A test caller sent a request.',
    ),
    _kind(
        1521,
        'call_finished',
        'DEBUG',
        'request outcome status whole matches',
        'A test caller got an answer or a failure.',
    ),
    # Upstream health and load
    _kind(
        1600,
        'upstream_lost',
        'WARNING',
        'group upstream',
        'An upstream stopped answering.',
    ),
    _kind(
        1601,
        'upstream_back',
        'INFO',
        'group upstream',
        'An upstream answers again.',
    ),
    _kind(
        1602,
        'upstream_cold',
        'WARNING',
        'upstream sign',
        'An upstream was noticed to be cold.',
    ),
    _kind(
        1603,
        'upstream_warm',
        'INFO',
        'upstream',
        'An upstream bears its full load.',
    ),
    _kind(
        1604,
        'upstream_draining',
        'INFO',
        'upstream reason',
        'An upstream leaves; it gets no new work.',
    ),
    _kind(
        1610,
        'cold_started',
        'INFO',
        'upstream bears',
        'An upstream stand-in began a cold start.',
    ),
    # Platform
    _kind(
        1700,
        'log_unreachable',
        'WARNING',
        'reason',
        'The log does not answer.',
    ),
    _kind(1701, 'log_reachable', 'INFO', 'offset', 'The log answers again.'),
    _kind(
        1702, 'fault_set', 'INFO', 'fault', 'A fault was set on a stand-in.'
    ),
    # Operator commands
    _kind(
        1800,
        'record_accepted',
        'INFO',
        'kind record version offset',
        'A published record was read back as the winner.',
    ),
    _kind(
        1801,
        'record_conflict',
        'WARNING',
        'kind record version in_force',
        'A published record lost against another one.',
    ),
    # Refused input
    _kind(
        1900,
        'message_dropped',
        'WARNING',
        'sender reason',
        'A message from a peer was dropped.',
    ),
    _kind(
        1901,
        'request_malformed',
        'INFO',
        'reason',
        'A malformed request was refused.',
    ),
)

EVENTS: dict[int, EventKind] = {kind.number: kind for kind in _ALL}
BY_NAME: dict[str, EventKind] = {kind.name: kind for kind in _ALL}
