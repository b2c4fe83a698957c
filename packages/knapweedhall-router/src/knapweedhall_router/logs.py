"""Writes structured log lines to standard output without blocking."""

from __future__ import annotations

import os
import time
import typing

import loguru
import msgspec

from knapweedhall_events import catalogue

# Rate limit of each event, so that a burst of events does not use the
# processor time that requests need. The next line of the event states how many
# were left out.
MAX_LINES_PER_S = 20
# Rate limits of the events for the outcome of a request. Answered requests are
# sampled. The limit for failed ones is the number of requests that an instance
# can answer in a second, so that below it none is left out.
MAX_LINES_PER_S_BY_EVENT = {
    'request_answered': 2,
    'request_failed': 500,
    # A line takes 60 us; `request_failed` says what was refused.
    'request_queued': 50,
    'request_dequeued': 50,
}
STANDARD_OUTPUT = 1
FieldValue = str | int | float | bool | None | list[str]


class _NonBlockingWriter:
    """Writes lines to a descriptor; drops a line that can't be written."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: str) -> None:
        """Write one line."""
        try:
            os.write(self.descriptor, message.encode())
        except OSError:
            # The reader is too slow, or gone; waiting for it would delay
            # requests.
            self.dropped_lines += 1


def _encode(line: dict[str, FieldValue]) -> str:
    """Return a line as JSON, with escapes for what can't be encoded.

    Headers have surrogates in place of bytes that aren't UTF-8.
    """
    try:
        return msgspec.json.encode(line).decode()
    except UnicodeEncodeError:
        return msgspec.json.encode(
            {name: _escape(value) for name, value in line.items()}
        ).decode()


def _escape(value: FieldValue) -> FieldValue:
    if isinstance(value, str):
        return value.encode(errors='backslashreplace').decode()
    if isinstance(value, list):
        return [str(_escape(item)) for item in value]
    return value


class _EventWindow(typing.NamedTuple):
    """Number of lines of one event in one second.

    Attributes
    ----------
    second : int
        The second, on `time.monotonic`.
    written : int
        Lines written in this second.
    left_out : int
        Lines left out since the last one that was written.
    """

    second: int
    written: int
    left_out: int


_writers: list[_NonBlockingWriter] = []


def dropped_lines() -> int:
    """Return the number of lines dropped as nobody read them in time."""
    return sum(writer.dropped_lines for writer in _writers)


class _EventLog:
    """Writes events and limits their rate.

    Attributes
    ----------
    process : str
        Name of the process, written in each line.
    windows : dict of str to _EventWindow
        Lines in the current second by event.
    """

    def __init__(self) -> None:
        self.process = ''
        self.windows: dict[str, _EventWindow] = {}
        self.logger = loguru.logger

    def emit(self, level: str, event: str, **fields: FieldValue) -> None:
        """Write an event, or count it as left out above its rate limit."""
        second = int(time.monotonic())
        window = self.windows.get(event)
        left_out = window.left_out if window else 0
        if window is None or window.second != second:
            window = _EventWindow(second, 0, left_out)
        if window.written >= MAX_LINES_PER_S_BY_EVENT.get(
            event, MAX_LINES_PER_S
        ):
            self.windows[event] = window._replace(left_out=left_out + 1)
            return
        self.windows[event] = _EventWindow(second, window.written + 1, 0)
        line: dict[str, FieldValue] = {
            'at': round(time.time(), 4),
            'level': level,
            'process': self.process,
            'event': event,
            'number': catalogue.BY_NAME[event].number,
            **fields,
        }
        if left_out:
            line['left_out'] = left_out
        self.logger.opt(raw=True).log(level, '{}', _encode(line) + '\n')


_event_log = _EventLog()


def info(event: str, **fields: FieldValue) -> None:
    """Log an event of normal operation."""
    _event_log.emit('INFO', event, **fields)


def warning(event: str, **fields: FieldValue) -> None:
    """Log an event that may need an operator's attention."""
    _event_log.emit('WARNING', event, **fields)


def configure(process: str, descriptor: int = STANDARD_OUTPUT) -> None:
    """Configure the log of this process.

    Parameters
    ----------
    process : str
        Name of the process, written in each line.
    descriptor : int
        File descriptor to write to.
    """
    _event_log.process = process
    loguru.logger.remove()
    writer = _NonBlockingWriter(descriptor)
    _writers[:] = [writer]
    loguru.logger.add(writer, format='{message}', level='INFO')
