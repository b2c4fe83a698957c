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


class _Group(typing.NamedTuple):
    """Kinds of events with consecutive numbers, one a line.

    A line has name, level, fields and meaning, separated by bars.
    """

    first: int
    lines: str


# Numbers below 2000 belonged to the entry process of earlier releases.
_GROUPS = (
    _Group(
        2000,
        """
started | INFO | instance | The process listens.
stopping | INFO | running | A planned stop began; readiness is off.
stopped | INFO | running | The process ends; running counts requests cut.
settings_reloaded | INFO | needs_restart | The settings file changed; the \
named settings count after a restart only.
settings_fault | WARNING | reason | A setting is wrong; the remedy is named.
task_fault | WARNING | reason | A task ended by an error; the process \
restarts.
instance_marked | INFO | out | Operators marked this instance in or out.
""",
    ),
    _Group(
        2100,
        """
configuration_in_force | INFO | version routes services | A configuration \
came into force.
configuration_unreadable | WARNING | offset reason | A configuration can't \
be read; the one before stays in force.
record_in_force | INFO | kind name version writer | An operator's record \
came into force.
record_skipped | WARNING | key reason | A record can't be read; the one \
before stays in force.
failure_domains_evacuated | INFO | domains | The evacuated failure domains \
changed.
""",
    ),
    _Group(
        2200,
        """
store_lost | WARNING | topic reason | The store stopped answering reads of \
a topic.
store_regained | INFO | topic | The store answers reads of a topic again.
store_history_gone | INFO | topic | The store deleted what was to be read \
next; the topic is listed anew.
upstream_listed | INFO | upstream service address cold_s | An upstream or a \
new incarnation of one is listed.
upstream_draining | INFO | upstream | An upstream announced that it leaves.
upstream_gone | INFO | upstream | An upstream is certainly gone.
upstream_unreadable | INFO | upstream reason | An entry can't be read and \
names no upstream.
store_stale | INFO | topic end | A listing is older than what was read \
before, and is passed over.
""",
    ),
    _Group(
        2300,
        """
coordinator_found | INFO | coordinator | The instance is connected to the \
coordinator.
coordinator_lost | INFO | coordinator reason | The connection to the \
coordinator ended.
coordinator_unknown | INFO | reason | The store does not say who \
coordinates.
join_failed | INFO | reason | The store did not answer a join of the group.
tenure_begun | INFO | epoch | This instance coordinates.
tenure_ended | INFO | epoch | This instance does not coordinate any more.
tenure_kept | WARNING | reason | A stopping instance could not give its \
tenure back.
tenure_yielded | INFO | epoch to | A tenure ended at a successor's request.
tenure_deposed | INFO | | Another coordinator wrote to the store.
tenure_failed | WARNING | reason | A tenure ended by an error.
tenure_unreadable | WARNING | reason | The last tenure's record can't be \
read.
table_unreadable | WARNING | key reason | A stored assignment can't be read.
table_not_written | INFO | reason | The store did not take an assignment.
predecessor_silent | INFO | address reason | An earlier coordinator did not \
answer.
predecessor_odd | WARNING | address reason | An earlier coordinator's answer \
can't be read.
predecessors_ended | INFO | epoch unanswered expired | No earlier \
coordinator renews grants; those unanswered lost their majority, those \
expired their time.
instance_joined | INFO | instance | An instance connected to the coordinator.
instance_left | INFO | instance reason | An instance's connection ended.
peer_rejected | INFO | reason | A connection between instances did not begin \
as it has to.
coordinator_fault | WARNING | reason | A task of the tenure failed.
""",
    ),
    _Group(
        2400,
        """
keys_moved | INFO | service first last source target fence accepted | Keys \
have another owner.
grant_unanswered | INFO | upstream first last reason | An upstream did not \
answer a grant.
grant_fenced | WARNING | upstream first | An upstream has seen a higher \
token.
release_unanswered | INFO | upstream first last reason | An upstream did not \
answer a release.
holder_gone | INFO | upstream first last | Another process has the address of \
a holder, which has ended.
""",
    ),
    _Group(
        2500,
        """
request_answered | INFO | request route service key upstreams status \
waited_ms configuration | One in some of the requests that an upstream \
answered.
request_failed | INFO | request route service key status reason sends \
upstreams waited_ms configuration owner_version owner_age_s | A request got \
a failure of our own.
request_refused_by_upstream | INFO | request upstream status key | An \
upstream did not run a request.
request_repeated | INFO | request upstream reason sends | A request is sent \
once more.
upstream_failed | INFO | request upstream status | An upstream ran a request \
and failed.
exchange_broken | INFO | request upstream reason sent | No whole answer came.
connection_failed | INFO | request upstream reason | No connection to an \
upstream could be made.
caller_left | INFO | request service key upstreams waited_ms | The caller \
closed its connection.
request_fault | WARNING | request reason | An error in the router ended a \
request.
idle_connection_forgotten | INFO | request upstream idle_s after_s | An \
upstream reset an idle connection; others are used for a shorter time now.
""",
    ),
)


def _read(group: _Group) -> typing.Iterator[EventKind]:
    lines = group.lines.strip().splitlines()
    for number, row in enumerate(lines, group.first):
        name, level, fields, meaning = (
            cell.strip() for cell in row.split('|')
        )
        yield EventKind(number, name, level, tuple(fields.split()), meaning)


_ALL = [kind for group in _GROUPS for kind in _read(group)]
EVENTS = {kind.number: kind for kind in _ALL}
BY_NAME = {kind.name: kind for kind in _ALL}
