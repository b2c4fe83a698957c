"""Gives a verdict on each of the ten points of docs/design.md, section 2."""

from __future__ import annotations

import typing

from knapweedhall_events import trace
from knapweedhall_replay import cold
from knapweedhall_replay import configuration
from knapweedhall_replay import leaving
from knapweedhall_replay import ownership
from knapweedhall_replay import requests
from knapweedhall_replay import timeline
from knapweedhall_replay import verdicts


class Point(typing.NamedTuple):
    """One of the ten points and its check."""

    number: int
    title: str
    check: typing.Callable[[timeline.Timeline], verdicts.Verdict]


class Result(typing.NamedTuple):
    """Verdict on one point."""

    number: int
    title: str
    verdict: verdicts.Verdict


POINTS = (
    Point(1, 'one owner', ownership.check),
    Point(2, 'assignments survive', configuration.check_plans),
    Point(3, 'cold starts', cold.check),
    Point(4, 'failure domain out', leaving.check_domain_out),
    Point(5, 'complete responses', requests.check_complete),
    Point(6, 'not run is true', requests.check_not_run),
    Point(7, 'at most once', requests.check_once),
    Point(8, 'leaving upstream', leaving.check_upstream_leaves),
    Point(9, 'planned shutdown', leaving.check_stop),
    Point(10, 'configuration in force', configuration.check_in_force),
)


def check(
    traces: typing.Iterable[typing.Sequence[trace.Event]],
    unchecked: frozenset[str] = frozenset(),
) -> list[Result]:
    """Return the verdicts on all points.

    Parameters
    ----------
    traces : iterable of sequences of trace.Event
        Traces of processes of one machine.
    unchecked : frozenset of str
        Services whose upstreams check no tokens.
    """
    line = timeline.Timeline(traces)
    results = []
    for point in POINTS:
        if point.check is ownership.check:
            verdict = ownership.check(line, unchecked)
        else:
            verdict = point.check(line)
        results.append(Result(point.number, point.title, verdict))
    return results
