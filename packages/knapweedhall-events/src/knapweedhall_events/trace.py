"""Writes and reads trace files: one JSON object per event and line."""

from __future__ import annotations

import pathlib
import time
import typing

import loguru
import msgspec

from knapweedhall_events import catalogue

FieldValue = str | int | float | bool | None | list[int] | list[str]


class Event(typing.NamedTuple):
    """One event of one process.

    Attributes
    ----------
    number : int
        Number in the catalogue.
    process : str
        Name of the process.
    sequence : int
        Number of the event within the process, from 1.
    monotonic_s : float
        Monotonic clock of the machine, in seconds.
    wall_s : float
        Wall clock, in seconds since the epoch.
    fields : dict
        Fields that the catalogue names for this kind.
    """

    number: int
    process: str
    sequence: int
    monotonic_s: float
    wall_s: float
    fields: dict[str, typing.Any]


class TraceWriter:
    """Writes the events of one process to its log and its trace file.

    Parameters
    ----------
    process : str
        Name of the process.
    path : pathlib.Path or None
        Trace file, or None to write only the log.
    """

    def __init__(self, process: str, path: pathlib.Path | None = None) -> None:
        self.process = process
        self.sequence = 0
        self.file = path.open('ab', buffering=0) if path else None

    def emit(self, name: str, **fields: FieldValue) -> None:
        """Record one event.

        Parameters
        ----------
        name : str
            Name of the kind in the catalogue.
        **fields
            All the fields of the kind, by name.

        Raises
        ------
        ValueError
            If the fields are not those of the catalogue.
        """
        kind = catalogue.BY_NAME[name]
        if set(fields) != set(kind.fields):
            raise ValueError(
                f'event {name} has fields {sorted(fields)}; '
                f'the catalogue names {sorted(kind.fields)}'
            )
        self.sequence += 1
        if self.file is not None:
            event = Event(
                kind.number,
                self.process,
                self.sequence,
                time.monotonic(),
                time.time(),
                dict(fields),
            )
            self.file.write(msgspec.json.encode(event) + b'\n')
        details = ' '.join(f'{key}={value}' for key, value in fields.items())
        loguru.logger.bind(event=kind.number, **fields).log(
            kind.level, '{} {} {}', kind.number, name, details
        )

    def close(self) -> None:
        """Close the trace file."""
        if self.file is not None:
            self.file.close()


def read_trace(path: pathlib.Path) -> list[Event]:
    """Read one trace file.

    A last line that was cut by the end of its process is left out.

    Raises
    ------
    msgspec.DecodeError
        If any other line is not an event.
    """
    lines = path.read_bytes().splitlines(keepends=True)
    if lines and not lines[-1].endswith(b'\n'):
        lines.pop()
    return [msgspec.json.decode(line, type=Event) for line in lines]


def merge(traces: typing.Iterable[list[Event]]) -> list[Event]:
    """Merge traces of one machine into a time line by the monotonic clock."""
    events = [event for trace in traces for event in trace]
    return sorted(
        events,
        key=lambda event: (event.monotonic_s, event.process, event.sequence),
    )
