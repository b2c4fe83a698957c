"""Structured log lines on standard output that never block a request."""

from __future__ import annotations

import os
import sys
import time
import typing

import loguru
import msgspec

from knapweedhall_events import catalogue

# Lines per second and event; a storm must not take the processor that requests
# need. What is left out is counted in the next line.
MAX_LINES_PER_S = 20
# The same for the outcome of a request: ordinary ones are samples, and of
# failed ones none is left out below what an instance can answer in a second.
MAX_LINES_PER_S_BY_EVENT = {'request_answered': 2, 'request_failed': 500}
Value = str | int | float | bool | None | list[str]


class _Writer:
    """Writes lines to a descriptor and drops what it can't take at once."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: str) -> None:
        """Write one line."""
        try:
            os.write(self.descriptor, message.encode())
        except BlockingIOError:
            # The reader is behind; waiting for it would delay requests.
            self.dropped_lines += 1


class _Allowance(typing.NamedTuple):
    """Lines of one event in one second."""

    second: int
    written: int
    left_out: int


_writers: list[_Writer] = []


def dropped_lines() -> int:
    """Return the lines that the reader of the log did not take in time."""
    return sum(one.dropped_lines for one in _writers)


class _Events:
    """Writes events and bounds their number."""

    def __init__(self) -> None:
        self.process = ''
        self.allowances: dict[str, _Allowance] = {}
        self.logger = loguru.logger

    def emit(self, level: str, event: str, **fields: Value) -> None:
        """Write one event, or count it as left out."""
        second = int(time.monotonic())
        known = self.allowances.get(event)
        left_out = known.left_out if known else 0
        if known is None or known.second != second:
            known = _Allowance(second, 0, left_out)
        if known.written >= MAX_LINES_PER_S_BY_EVENT.get(
            event, MAX_LINES_PER_S
        ):
            self.allowances[event] = known._replace(left_out=left_out + 1)
            return
        self.allowances[event] = _Allowance(second, known.written + 1, 0)
        line: dict[str, Value] = {
            'at': round(time.time(), 4),
            'level': level,
            'process': self.process,
            'event': event,
            'number': catalogue.BY_NAME[event].number,
            **fields,
        }
        if left_out:
            line['left_out'] = left_out
        text = msgspec.json.encode(line).decode()
        self.logger.opt(raw=True).log(level, '{}', text + '\n')


_events = _Events()


def info(event: str, **fields: Value) -> None:
    """Write an event of ordinary work."""
    _events.emit('INFO', event, **fields)


def warning(event: str, **fields: Value) -> None:
    """Write an event that an operator may have to look at."""
    _events.emit('WARNING', event, **fields)


def configure(process: str, descriptor: int | None = None) -> None:
    """Send the events of this process to standard output.

    Parameters
    ----------
    process : str
        Name that each line bears.
    descriptor : int or None
        Where to write; None for standard output.
    """
    _events.process = process
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    loguru.logger.remove()
    writer = _Writer(descriptor)
    _writers[:] = [writer]
    loguru.logger.add(writer, format='{message}', level='INFO')
