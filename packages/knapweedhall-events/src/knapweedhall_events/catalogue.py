"""Catalogue of all log events; docs/events.md is generated from it."""

from __future__ import annotations

import typing


class EventKind(typing.NamedTuple):
    """A kind of event.

    Attributes
    ----------
    number : int
        Number, unique and never reused for another kind.
    name : str
        Short name in snake case.
    level : str
        Log level.
    fields : tuple of str
        Names of the fields of each event of this kind.
    meaning : str
        What happened, in one sentence, in Markdown.
    """

    number: int
    name: str
    level: str
    fields: tuple[str, ...]
    meaning: str


class _Group(typing.NamedTuple):
    """Kinds of events with consecutive numbers.

    Attributes
    ----------
    first : int
        Number of the first kind.
    lines : str
        One line for each kind: name, level, field names and meaning,
        separated by `|`.
    """

    first: int
    lines: str


# Numbers below 2000 were used by the entry process of earlier releases.
_GROUPS = (
    _Group(
        2000,
        """
started | INFO | instance | The process is listening on all its ports.
stopping | INFO | running | A planned stop began and the process is no longer \
ready; `running` is the number of requests in progress.
stopped | INFO | running unsent_bytes | The process exits; `running` is the \
number of requests that it aborted, `unsent_bytes` what it had not sent of \
its responses.
settings_reloaded | INFO | needs_restart | The settings file changed; the \
settings in `needs_restart` take effect only after a restart.
settings_fault | WARNING | reason | The settings file has an error; `reason` \
states it and the remedy.
task_fault | WARNING | task reason | A background task failed on something \
unforeseen; it is started again.
instance_marked | INFO | out | Operators marked this instance as in or out of \
service.
record_fault | WARNING | topic key offset reason | An internal error kept a \
record of the store from being applied; the others are.
message_fault | WARNING | peer reason | An internal error ended a connection \
to another instance while one of its messages was processed.
callback_fault | WARNING | reason | An internal error ended a callback or a \
connection; the process goes on.
listen_failed | WARNING | listener address reason | An address to listen on \
is not available; the process tries again until it is, and is ready only when \
it accepts callers.
starting | INFO | pid python machine | The process has begun; its libraries \
are imported next.
stop_requested | INFO | signal | The process was asked to stop by `signal`.
start_failed | WARNING | reason status | The process ends with exit status \
`status`, as its settings can't be used (`settings`) or a library can't be \
imported (the error).
process_failed | WARNING | reason status | The process ends with exit status \
`status` because of an internal error.
""",
    ),
    _Group(
        2100,
        """
configuration_in_force | INFO | version routes services workspaces | A new \
configuration came into force; the others are counts, `workspaces` is null if \
callers need no key.
configuration_unreadable | WARNING | offset reason | A configuration cannot \
be decoded or is not valid; the previous one stays in force.
record_in_force | INFO | kind name version writer | A new version of an \
operator's record came into force.
record_skipped | WARNING | key reason | A record is invalid or was stored \
under the wrong key; the previous one stays in force.
failure_domains_evacuated | INFO | domains | The set of evacuated failure \
domains changed; `domains` is the new set.
""",
    ),
    _Group(
        2200,
        """
store_lost | WARNING | topic reason | The store stopped answering reads of a \
topic.
store_regained | INFO | topic | The store answers reads of a topic again.
store_history_gone | INFO | topic | The store has deleted the next records to \
be read; the current records of the topic are listed instead.
upstream_listed | INFO | upstream service address cold_s | The store lists a \
new upstream or a new incarnation of a known one; `cold_s` is the rest of its \
cold start.
upstream_draining | INFO | upstream | An upstream announced that it is going \
to stop.
upstream_gone | INFO | upstream | An upstream was removed after its absence \
from the store was confirmed.
upstream_unreadable | INFO | upstream reason | An upstream's entry in the \
store cannot be decoded; the upstream is treated as absent.
store_stale | INFO | topic end | The store listed an older state of a topic \
(up to position `end`) than was read before; the listing is ignored.
""",
    ),
    _Group(
        2300,
        """
coordinator_found | INFO | coordinator | The instance connected to the \
coordinator and received its first heartbeat.
coordinator_lost | INFO | coordinator reason | The connection to the \
coordinator failed or ended.
coordinator_unknown | INFO | reason | The store did not answer the query for \
the current coordinator.
join_failed | INFO | reason | The store did not answer a request to join the \
group of instances or to renew the membership.
tenure_begun | INFO | epoch | This instance became the coordinator; `epoch` \
is the number of its term.
tenure_ended | INFO | epoch | This instance's term as the coordinator ended.
tenure_kept | WARNING | reason | A stopping instance could not leave the \
group because the store did not answer; if it is the coordinator, it keeps \
its term and tries again.
tenure_yielded | INFO | epoch to | The coordinator ended its term `epoch` at \
the request of its successor, whose term is `to`.
tenure_deposed | INFO | | The coordinator's term ended because another \
coordinator wrote to the store.
tenure_failed | WARNING | reason | The coordinator's term ended with an error.
tenure_unreadable | WARNING | reason | The stored record of the previous \
coordinator's term cannot be decoded.
table_unreadable | WARNING | key reason | A stored assignment of keys cannot \
be decoded and is ignored.
table_outdated | WARNING | key | The store came back from a copy, so a stored \
assignment of keys may be outdated; the keys are reassigned when the last \
grant for them has expired.
assignments_restored | INFO | services | The store came back from a copy, and \
the coordinator wrote the assignments of its last term again.
table_not_written | INFO | reason | The store did not confirm a write of an \
assignment of keys or of the term's record; the write is retried, or left to \
the next term if the store was restored.
predecessor_silent | INFO | address reason | An earlier coordinator did not \
answer the request to end its term.
predecessor_odd | WARNING | address reason | An earlier coordinator's answer \
to the request to end its term cannot be decoded.
predecessors_ended | INFO | epoch unanswered expired | No earlier coordinator \
renews grants any longer; of those that did not answer (`unanswered`), those \
in `expired` reached the time limit of their renewals and the others lost \
their majority.
instance_joined | INFO | instance | An instance connected to this coordinator.
instance_left | INFO | instance reason | An instance's connection to this \
coordinator ended.
peer_rejected | INFO | reason | A connection from another process failed or \
timed out during its first message or the reply.
coordinator_fault | WARNING | reason | A background task of the coordinator \
failed.
tenure_handed_over | INFO | epoch complete | A coordinator that is being \
stopped renewed the grants of its term once more; `complete` tells whether \
all were sent and all moves ended within its time limit.
load_known | INFO | epoch informed instances after_s | The coordinator begins \
to rebalance keys, `after_s` after its term began; `informed` of the \
`instances` that its predecessor knew have sent their recent counts.
assignments_adopted | INFO | service | The store came back from a copy, and \
the coordinator continues with the assignment that the former one had.
""",
    ),
    _Group(
        2400,
        """
keys_moved | INFO | service first last source target fence accepted | A range \
of keys was reassigned from `source` to `target`; `accepted` tells whether \
the new owner confirmed the grant with token `fence`.
grant_unanswered | INFO | upstream first last reason | An upstream did not \
confirm a grant of keys.
grant_fenced | WARNING | upstream first | An upstream rejected a grant of \
keys because it has seen a higher token.
release_unanswered | INFO | upstream first last reason | An upstream did not \
confirm the release of keys.
holder_gone | INFO | upstream first last | The owner of the keys has ended, \
because another process now has its address.
""",
    ),
    _Group(
        2500,
        """
request_answered | INFO | request workspace route service key upstreams \
status waited_ms configuration | An upstream answered a request; only a \
sample of these events is written.
request_failed | INFO | request workspace route service key status reason \
sends upstreams waited_ms queued_ms retry_after_s configuration owner_version \
owner_age_s | The router answered a request with an error response of its \
own; `queued_ms` is how long it waited for room.
request_refused_by_upstream | INFO | request upstream status key | An \
upstream reported that it did not run a request.
request_repeated | INFO | request upstream reason sends | A request is sent \
again; `sends` is the number of times it was sent before.
upstream_failed | INFO | request upstream status | An upstream ran a request \
and answered with a server error (5xx).
exchange_broken | INFO | request upstream reason sent | No complete response \
arrived from an upstream; if `sent` is true, it may have run the request.
connection_failed | INFO | request upstream reason | A connection to an \
upstream could not be established.
caller_left | INFO | request workspace service key upstreams waited_ms | The \
caller closed its connection before the response.
request_fault | WARNING | request reason | An internal error of the router \
ended a request.
idle_connection_forgotten | INFO | request upstream idle_s after_s | An \
upstream reset a connection that had been idle for `idle_s`, `after_s` after \
the next request was sent; the idle time limit for connections of the service \
is reduced temporarily.
response_given_up | WARNING | call held_bytes total_bytes | A response was \
too large, or the largest when responses needed too much memory; its exchange \
fails.
callers_too_slow | INFO | count | Connections of callers were closed because \
they had not sent a whole head in time.
upstream_leaving | INFO | upstream source | An upstream said in a response \
that it is leaving; `source` tells how the instance learned of it: its own \
`response` or `order`, the `report` of an instance, a `heartbeat`.
upstream_paused | INFO | request upstream pause_s | An upstream refused a \
request and wants none from this instance for a time.
notice_unreadable | INFO | request upstream reason | A header of a response \
in which an upstream describes itself is malformed and was ignored.
request_refused | INFO | request status reason | The router refused a request \
before it had read it whole.
header_dropped | INFO | request upstream header | A header of a response has \
a value that is not valid and is not forwarded.
caller_fault | WARNING | reason | Bytes of a caller were no request, or an \
internal error kept a response from being written.
quota_refused | INFO | request workspace route reason retry_after_s waited_ms \
configuration | A request was refused with 429 and has not run; the reason is \
`quota` if its workspace used up its quota, or `quota-unknown` if this \
instance got no answer of a coordinator and has no token of its own.
request_queued | INFO | request service upstream priority ahead drain_per_s | \
A request waits for room at the owner `upstream` of its key, or at any \
upstream; `ahead` requests are expected to be sent before it.
request_dequeued | INFO | request service reason waited_ms | A request no \
longer waits for room; `reason` is `room` if it is sent, `changed` if its \
upstream is selected again, `caller-left`, or why it is refused.
callers_over_limit | INFO | count connections head_bytes | Connections of \
callers were closed because too many were open or their heads took too much \
memory; the others are what remains.
deputy_found | INFO | deputy | Without a coordinator, this instance leases \
tokens for workspaces from a deputy in its failure domain.
deputy_lost | INFO | deputy reason | The deputy does not answer; this \
instance uses its own share of the quotas.
""",
    ),
)


def _parse(group: _Group) -> typing.Iterator[EventKind]:
    lines = group.lines.strip().splitlines()
    for number, line in enumerate(lines, group.first):
        name, level, fields, meaning = (
            column.strip() for column in line.split('|')
        )
        yield EventKind(number, name, level, tuple(fields.split()), meaning)


_EVENT_KINDS = [kind for group in _GROUPS for kind in _parse(group)]
BY_NUMBER = {kind.number: kind for kind in _EVENT_KINDS}
BY_NAME = {kind.name: kind for kind in _EVENT_KINDS}
