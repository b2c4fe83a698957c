"""Point 3: a cold upstream gets no more load than it can handle."""

from __future__ import annotations

import typing

from knapweedhall_events import trace
from knapweedhall_replay import limits
from knapweedhall_replay import timeline
from knapweedhall_replay import verdicts

OVERLOAD_REASONS = ('cold', 'shed')


class _Start:
    """One cold start of an upstream, up to its first warm request."""

    def __init__(self, event: trace.Event, unnoticed: bool) -> None:
        self.event = event
        grace = limits.COLD_NOTICE_S if unnoticed else 0.0
        self.strict_from = event.monotonic_s + grace
        self.running: dict[str, trace.Event] = {}

    def take(self, event: trace.Event) -> verdicts.Violation | None:
        """Follow one event of the upstream; return a violation if any."""
        kind = timeline.name(event)
        request = event.fields['request']
        if kind in ('work_finished', 'work_abandoned'):
            self.running.pop(request, None)
            return None
        if kind == 'work_refused':
            return self._refused(event)
        self.running[request] = event
        bears = self.event.fields['bears']
        if len(self.running) <= bears or event.monotonic_s < self.strict_from:
            return None
        return verdicts.Violation(
            f'{event.process} bears {bears} requests in its cold start and '
            f'ran {len(self.running)}',
            (self.event, *self.running.values()),
        )

    def _refused(self, event: trace.Event) -> verdicts.Violation | None:
        if event.fields['reason'] not in OVERLOAD_REASONS:
            return None
        if event.monotonic_s < self.strict_from:
            return None
        return verdicts.Violation(
            f'{event.process} had to refuse load in its cold start',
            (self.event, event),
        )


def _follow(
    events: typing.Sequence[trace.Event],
) -> tuple[int, list[verdicts.Violation]]:
    found, starts = [], 0
    served = False
    start: _Start | None = None
    for event in events:
        kind = timeline.name(event)
        if kind == 'cold_started':
            start, starts = _Start(event, unnoticed=served), starts + 1
        if kind == 'work_started':
            served = True
            if not event.fields['cold']:
                start = None
        if start and kind.startswith('work_'):
            violation = start.take(event)
            if violation:
                found.append(violation)
                start = None
    return starts, found


def check(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 3: work during each cold start stays within what it bears."""
    starts, violations = 0, []
    for events in line.by_life.values():
        count, found = _follow(events)
        starts += count
        violations += found
    if not starts:
        return verdicts.Undecidable('no trace of a cold start')
    return verdicts.decide(violations, [], f'{starts} cold starts')
