"""Figures of a scenario, from its calls and the traces; pure."""

from __future__ import annotations

import collections
import typing

from hdrh import histogram
from knapweedhall_bench import results
from knapweedhall_events import catalogue
from knapweedhall_events import trace
from knapweedhall_ownership import slices

Events = typing.Sequence[trace.Event]
Owners = dict[int, str]
# Events by which a process that sent a request learns that it has ended.
ENDS = frozenset({'request_answered', 'request_not_run', 'request_unknown'})


class Latencies(typing.NamedTuple):
    """Percentiles of the answered calls, in ms from when they were due."""

    p50_ms: float
    p99_ms: float
    p999_ms: float


class Churn(typing.NamedTuple):
    """Slices activated on another upstream than before.

    Attributes
    ----------
    moves : int
        Activations, so a slice that moves there and back counts twice.
    least : int
        The least number that the scenario needs.
    slices_share, keys_share : float
        Slices and keys that moved at least once, as shares of all.
    """

    moves: int
    least: int
    slices_share: float
    keys_share: float


class Cold(typing.NamedTuple):
    """Load that a cold upstream was sent.

    Attributes
    ----------
    upstream : str
        Name.
    bears : int
        Requests at the same time that it bears.
    peak : int
        Requests at the same time that it was sent in the cold start.
    peak_noticed : int
        The same, only while all of them were sent by instances that had
        noticed the cold start.
    refused : int
        Requests that it refused because of the cold start.
    noticed_ms : float or None
        Time until the first instance noticed.
    """

    upstream: str
    bears: int
    peak: int
    peak_noticed: int
    refused: int
    noticed_ms: float | None


def name_of(event: trace.Event) -> str:
    """Return the name of the event's kind."""
    return catalogue.EVENTS[event.number].name


def within(events: Events, start_s: float, end_s: float) -> list[trace.Event]:
    """Return the events between two times of the monotonic clock."""
    return [each for each in events if start_s <= each.monotonic_s < end_s]


def latencies(calls: typing.Iterable[results.Finished]) -> Latencies:
    """Return the percentiles of the answered calls."""
    found = histogram.HdrHistogram(
        results.LOWEST_US, results.HIGHEST_US, results.DIGITS
    )
    for call in calls:
        if call.outcome == results.ANSWERED:
            took_us = int((call.ended_s - call.due_s) * 1e6)
            found.record_value(max(results.LOWEST_US, took_us))
    return Latencies(
        *(
            found.get_value_at_percentile(each) / 1000
            for each in (50, 99, 99.9)
        )
    )


def work_by_upstream(events: Events, service: str) -> dict[str, int]:
    """Return how many requests each upstream of a service began."""
    return collections.Counter(
        event.fields['upstream']
        for event in events
        if name_of(event) == 'work_started'
        and event.fields['service'] == service
    )


def imbalance(work: typing.Mapping[str, int], upstreams: int) -> float:
    """Return max/mean of the work over the upstreams of a service."""
    total = sum(work.values())
    return max(work.values()) * upstreams / total if total else 0.0


def hottest_ratio(
    events: Events, service: str, key: str, upstreams: int
) -> float:
    """Return the load beside the hottest key against a perfect placement.

    It is the work of the upstream that has the key, divided by what that
    upstream has if the rest is placed perfectly: the key's own work or the
    mean, whichever is greater. 0 if the key had no work.
    """
    owners: dict[str, int] = collections.Counter(
        event.fields['upstream']
        for event in events
        if name_of(event) == 'work_started' and event.fields['key'] == key
    )
    if not owners:
        return 0.0
    work = work_by_upstream(events, service)
    owner = max(owners, key=lambda name: owners[name])
    mean = sum(work.values()) / upstreams
    return work[owner] / max(sum(owners.values()), mean)


def unavailable_key_s(
    calls: typing.Iterable[results.Finished], end_s: float
) -> float:
    """Return the time during which keys were not served, summed over keys.

    A key is not served from the time at which a call that was not answered
    is due until an answered call of the same key that was due later ends.
    """
    by_key = collections.defaultdict(list)
    for call in calls:
        by_key[call.key].append(call)
    total = 0.0
    for found in by_key.values():
        found.sort(key=lambda call: call.due_s)
        since: float | None = None
        for call in found:
            if call.outcome != results.ANSWERED:
                since = call.due_s if since is None else since
            elif since is not None:
                total += call.ended_s - since
                since = None
        if since is not None:
            total += end_s - since
    return total


def owners_after(
    events: Events, service: str, before: Owners | None = None
) -> tuple[Owners, list[int]]:
    """Return the owner of each slice after the events, and the moves.

    Returns
    -------
    owners : dict of int to str
        Upstream by slice.
    moves : list of int
        Slice of each activation on another upstream than before.
    """
    owners, moves = dict(before or {}), []
    for event in events:
        if name_of(event) != 'grant_accepted':
            continue
        if event.fields['service'] != service:
            continue
        upstream = event.fields['upstream']
        for number in event.fields['slices']:
            if owners.get(number, upstream) != upstream:
                moves.append(number)
            owners[number] = upstream
    return owners, moves


def churn(
    moves: typing.Sequence[int],
    least: int,
    keys: typing.Collection[str],
    total: int,
) -> Churn:
    """Return the churn of a service with `total` slices."""
    moved = set(moves)
    keys_moved = sum(
        slices.slice_of(key, total) in moved
        or slices.hot_slice_of(key) in moved
        for key in keys
    )
    return Churn(
        len(moves),
        least,
        len(moved) / total,
        keys_moved / len(keys) if keys else 0.0,
    )


def cold_loads(events: Events, length_s: float) -> list[Cold]:
    """Return the load of each upstream that began a cold start."""
    return [
        _cold_load(
            within(events, event.monotonic_s, event.monotonic_s + length_s),
            event,
        )
        for event in events
        if name_of(event) == 'cold_started'
    ]


def _cold_load(events: Events, start: trace.Event) -> Cold:
    upstream = start.fields['upstream']
    # A request that is sent again by the same process replaces the earlier.
    running: dict[tuple[str, str], str] = {}
    unaware: set[str] = set()
    aware: set[str] = set()
    peak = peak_noticed = refused = 0
    noticed: float | None = None
    for event in events:
        kind, fields = name_of(event), event.fields
        place = event.process, fields.get('request', '')
        if kind == 'request_sent' and fields['upstream'] == upstream:
            running[place] = event.process
            peak = max(peak, len(running))
            if event.process not in aware:
                unaware.add(fields['request'])
            elif not any(each[1] in unaware for each in running):
                peak_noticed = max(peak_noticed, len(running))
        elif kind in ENDS:
            running.pop(place, None)
        elif kind == 'upstream_cold' and fields['upstream'] == upstream:
            aware.add(event.process)
            if noticed is None:
                noticed = (event.monotonic_s - start.monotonic_s) * 1000
        elif kind == 'work_refused' and fields['upstream'] == upstream:
            refused += fields['reason'] == 'cold'
    return Cold(
        upstream, start.fields['bears'], peak, peak_noticed, refused, noticed
    )
