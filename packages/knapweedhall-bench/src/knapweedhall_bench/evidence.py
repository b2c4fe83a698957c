"""What the upstreams' traces show about a run."""

from __future__ import annotations

import collections
import pathlib
import typing

from knapweedhall_events import catalogue
from knapweedhall_events import trace

from knapweedhall_bench import results


class Evidence(typing.NamedTuple):
    """Faults and movements found in the traces.

    Attributes
    ----------
    doubled : list of str
        Requests that are not idempotent and were started more than once.
    repeated : list of str
        Idempotent requests that were started more than once.
    refused_but_run : list of str
        Requests that the caller was told did not run, but did.
    slices_moved : int
        Activations of slices on another upstream than before.
    """

    doubled: list[str]
    repeated: list[str]
    refused_but_run: list[str]
    slices_moved: int


def read_traces(paths: typing.Iterable[pathlib.Path]) -> list[trace.Event]:
    """Return the events of all traces in the order of time."""
    return trace.merge(trace.read_trace(path) for path in paths)


def examine(
    events: typing.Iterable[trace.Event],
    calls: typing.Iterable[results.Finished],
) -> Evidence:
    """Compare what upstreams ran with what callers were told."""
    starts: dict[str, int] = collections.Counter()
    owners: dict[tuple[str, int], str] = {}
    moved = 0
    for event in events:
        kind = catalogue.EVENTS[event.number].name
        if kind == 'work_started':
            starts[event.fields['request']] += 1
        elif kind == 'grant_accepted':
            for number in event.fields['slices']:
                slice_ = event.fields['service'], number
                upstream = event.fields['upstream']
                moved += owners.get(slice_, upstream) != upstream
                owners[slice_] = upstream
    doubled: list[str] = []
    repeated: list[str] = []
    refused_but_run: list[str] = []
    for call in calls:
        runs = starts.get(call.request, 0)
        if runs > 1:
            (repeated if call.idempotent else doubled).append(call.request)
        if runs and call.outcome == results.NOT_RUN:
            refused_but_run.append(call.request)
    return Evidence(doubled, repeated, refused_but_run, moved)
