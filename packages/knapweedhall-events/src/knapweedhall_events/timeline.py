"""Reads the logs of several processes as one time line."""

from __future__ import annotations

import pathlib
import typing

import msgspec

from knapweedhall_events import catalogue

# How long before a request events of the processes that handled it may
# explain it: the longest outage of the store that the grants bridge.
CONTEXT_S = 10.0
# Kinds about single requests, by the hundred of their numbers.
REQUEST_KINDS = 25


class Event(typing.NamedTuple):
    """One line of a log.

    Attributes
    ----------
    at : float
        Time of day, seconds since the epoch; differs between machines.
    process, name : str
        Who wrote it, and the kind of event.
    fields : dict
        What the catalogue names for this kind.
    """

    at: float
    process: str
    name: str
    fields: dict[str, typing.Any]


def read(path: pathlib.Path) -> list[Event]:
    """Return the events of one log; other lines are left out."""
    found = []
    for line in path.read_text(errors='replace').splitlines():
        begin = line.find('{"at":')
        if begin < 0:
            continue
        try:
            fields = msgspec.json.decode(
                line[begin:], type=dict[str, typing.Any]
            )
            found.append(
                Event(
                    float(fields.pop('at')),
                    str(fields.pop('process')),
                    str(fields.pop('event')),
                    fields,
                )
            )
        except (msgspec.DecodeError, KeyError, ValueError):
            # The end of a process may cut its last line.
            continue
    return found


def merge(events: typing.Iterable[Event]) -> list[Event]:
    """Return events in the order of their times."""
    return sorted(events, key=lambda event: event.at)


def about(
    events: typing.Sequence[Event], request: str, before_s: float
) -> list[Event]:
    """Return what concerns a request.

    These are its own lines, and what the processes that handled it learned
    in the seconds before, apart from other requests.
    """
    own = [one for one in events if one.fields.get('request') == request]
    if not own:
        return []
    begin, end = own[0].at - before_s, own[-1].at
    processes = {one.process for one in own}
    return [
        one
        for one in events
        if begin <= one.at <= end
        and (one.fields.get('request') == request or not _is_request(one))
        and one.process in processes
    ]


def _is_request(event: Event) -> bool:
    kind = catalogue.BY_NAME.get(event.name)
    return kind is not None and kind.number // 100 == REQUEST_KINDS


def line(event: Event, origin: float) -> str:
    """Return an event as a line for people."""
    details = ' '.join(
        f'{name}={value}'
        for name, value in event.fields.items()
        if name not in ('level', 'number')
    )
    return (
        f'{event.at - origin:9.3f} {event.process:<20} {event.name} {details}'
    )
