"""Merges the logs of several processes into one timeline."""

from __future__ import annotations

import pathlib
import typing

import msgspec

from knapweedhall_events import catalogue

# How long before a request events may explain its outcome: the longest outage
# of the store that grants outlast.
CONTEXT_S = 10.0
# Events about single requests have numbers from 2500 to 2599.
REQUEST_SERIES = 25


class Event(typing.NamedTuple):
    """A log line.

    Attributes
    ----------
    at : float
        Wall clock time of the process, in seconds since the Unix epoch; the
        clocks of machines differ.
    process, name : str
        Name of the process that wrote it, and of the kind of event.
    fields : dict
        All other fields of the line.
    """

    at: float
    process: str
    name: str
    fields: dict[str, typing.Any]


def read(path: pathlib.Path) -> list[Event]:
    """Return the events of one log; other lines are ignored."""
    events = []
    for line in path.read_text(errors='replace').splitlines():
        begin = line.find('{"at":')
        if begin < 0:
            continue
        try:
            fields = msgspec.json.decode(
                line[begin:], type=dict[str, typing.Any]
            )
            events.append(
                Event(
                    float(fields.pop('at')),
                    str(fields.pop('process')),
                    str(fields.pop('event')),
                    fields,
                )
            )
        except (
            msgspec.DecodeError,
            KeyError,
            ValueError,
            TypeError,
            RecursionError,
        ):
            # The last line of a killed process may be truncated.
            continue
    return events


def merge(events: typing.Iterable[Event]) -> list[Event]:
    """Return events in the order of their timestamps."""
    return sorted(events, key=lambda event: event.at)


def filter_by_request(
    events: typing.Sequence[Event], request: str, before_s: float
) -> list[Event]:
    """Return the events that are relevant to a request.

    These are the events of the request itself, and those of the processes
    that handled it from `before_s` before its first event to its last one,
    without the events of other requests.

    Parameters
    ----------
    events : sequence of Event
        Events of all processes, in the order of their timestamps.
    request : str
        Id of the request.
    before_s : float
        How long before the request events are included, in seconds.
    """
    own = [event for event in events if event.fields.get('request') == request]
    if not own:
        return []
    begin, end = own[0].at - before_s, own[-1].at
    processes = {event.process for event in own}
    return [
        event
        for event in events
        if begin <= event.at <= end
        and (
            event.fields.get('request') == request
            or not _is_request_event(event)
        )
        and event.process in processes
    ]


def _is_request_event(event: Event) -> bool:
    kind = catalogue.BY_NAME.get(event.name)
    return kind is not None and kind.number // 100 == REQUEST_SERIES


def format_event(event: Event, origin: float) -> str:
    """Return an event as a line of text.

    Parameters
    ----------
    event : Event
        The event.
    origin : float
        Time from which the line's time is counted, in seconds since the Unix
        epoch.
    """
    details = ' '.join(
        f'{name}={value}'
        for name, value in event.fields.items()
        if name not in ('level', 'number')
    )
    return (
        f'{event.at - origin:9.3f} {event.process:<20} {event.name} {details}'
    )
