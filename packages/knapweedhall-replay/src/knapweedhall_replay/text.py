"""Formats events and verdicts for people."""

from __future__ import annotations

import functools

from knapweedhall_events import trace
from knapweedhall_replay import checker
from knapweedhall_replay import timeline
from knapweedhall_replay import verdicts

MAX_SHOWN = 5


def event_line(event: trace.Event, origin_s: float = 0.0) -> str:
    """Return one event as a line; times count from `origin_s`."""
    details = ' '.join(f'{key}={value}' for key, value in event.fields.items())
    return (
        f'{event.monotonic_s - origin_s:12.6f} {event.process} '
        f'{event.number} {timeline.name(event)} {details}'
    ).rstrip()


@functools.singledispatch
def verdict_lines(verdict: object) -> list[str]:
    """Return the lines that explain a verdict."""
    raise TypeError(f'not a verdict: {verdict!r}')


@verdict_lines.register
def _holds(verdict: verdicts.Holds) -> list[str]:
    return [f'holds ({verdict.checked})']


@verdict_lines.register
def _undecidable(verdict: verdicts.Undecidable) -> list[str]:
    return [f'not decidable from these traces: {verdict.reason}']


@verdict_lines.register
def _broken(verdict: verdicts.Broken) -> list[str]:
    lines = [f'broken ({len(verdict.violations)} times)']
    for violation in verdict.violations[:MAX_SHOWN]:
        lines.append(f'  {violation.reason}')
        lines += [f'    {event_line(event)}' for event in violation.events]
    return lines


def result_lines(result: checker.Result) -> list[str]:
    """Return the lines of one result."""
    first, *rest = verdict_lines(result.verdict)
    return [f'{result.number:2} {result.title}: {first}', *rest]
