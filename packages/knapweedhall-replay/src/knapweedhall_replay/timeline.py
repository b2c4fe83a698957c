"""Merged events of all processes, with an index."""

from __future__ import annotations

import collections
import typing

from knapweedhall_events import catalogue
from knapweedhall_events import trace

UPSTREAM_EVENTS = (
    'grant_accepted',
    'grant_expired',
    'work_started',
    'work_finished',
    'work_refused',
    'cold_started',
)


class Life(typing.NamedTuple):
    """One run of a process; its sequence numbers start again at 1.

    Attributes
    ----------
    process : str
        Name of the process.
    run : int
        Number of the run, from 1.
    """

    process: str
    run: int


class Timeline:
    """All events in the order of the monotonic clock.

    Parameters
    ----------
    traces : iterable of list of trace.Event
        Traces of processes of one machine.
    """

    def __init__(
        self, traces: typing.Iterable[typing.Sequence[trace.Event]]
    ) -> None:
        self.events = trace.merge(list(events) for events in traces)
        self.by_name: dict[str, list[trace.Event]] = collections.defaultdict(
            list
        )
        self.by_life: dict[Life, list[trace.Event]] = collections.defaultdict(
            list
        )
        self._runs: dict[str, int] = collections.Counter()
        self._last: dict[str, int] = {}
        self._life_of: dict[int, Life] = {}
        for event in self.events:
            self._index(event)

    def _index(self, event: trace.Event) -> None:
        self.by_name[name(event)].append(event)
        if event.sequence <= self._last.get(event.process, event.sequence):
            self._runs[event.process] += 1
        self._last[event.process] = event.sequence
        life = Life(event.process, self._runs[event.process])
        self.by_life[life].append(event)
        self._life_of[id(event)] = life

    def named(self, *names: str) -> list[trace.Event]:
        """Return the events of these kinds in the order of time."""
        if len(names) == 1:
            return self.by_name.get(names[0], [])
        found = [event for wanted in names for event in self.by_name[wanted]]
        return trace.merge([found])

    def life(self, event: trace.Event) -> Life:
        """Return the run of the process that wrote the event."""
        return self._life_of[id(event)]

    def upstreams(self) -> set[str]:
        """Return the names of the processes that are upstreams."""
        return {event.process for event in self.named(*UPSTREAM_EVENTS)}


def name(event: trace.Event) -> str:
    """Return the name of the event's kind, or its number if unknown."""
    kind = catalogue.EVENTS.get(event.number)
    return kind.name if kind else str(event.number)
