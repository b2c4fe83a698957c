"""Points 4, 8 and 9: leaving upstreams, domains and instances."""

from __future__ import annotations

import bisect
import typing

from knapweedhall_events import trace
from knapweedhall_replay import limits
from knapweedhall_replay import timeline
from knapweedhall_replay import verdicts

# Beginning of the reason of `upstream_draining` for a marked failure domain.
DOMAIN_REASON = 'domain'
# The reason for a mark on the upstream or on its failure domain.
MARK_REASON = 'out'
DOMAIN_MARK = 'domain/'


def _new_marks(line: timeline.Timeline) -> list[float]:
    """Return when each mark first came into force in any process.

    A later mark may take the domain or the upstream back in; its state is not
    in the trace.
    """
    first: dict[tuple[str, int], float] = {}
    for event in line.named('record_in_force'):
        if event.fields['kind'] == 'mark':
            slot = event.fields['record'], event.fields['version']
            first.setdefault(slot, event.monotonic_s)
    return list(first.values())


def _returns(line: timeline.Timeline, upstream: str) -> list[float]:
    times = [
        event.monotonic_s
        for event in line.named('upstream_back')
        if event.fields['upstream'] == upstream
    ]
    times += [
        event.monotonic_s
        for event in line.named('process_started')
        if event.process == upstream
    ]
    times += _new_marks(line)
    return sorted(times)


def _late_work(
    line: timeline.Timeline, draining: typing.Sequence[trace.Event]
) -> list[verdicts.Violation]:
    found = []
    for drain in draining:
        upstream = drain.fields['upstream']
        due = drain.monotonic_s + limits.LEAVING_S
        returns = _returns(line, upstream)
        index = bisect.bisect_right(returns, drain.monotonic_s)
        end = returns[index] if index < len(returns) else float('inf')
        late = [
            event
            for event in line.named('work_started')
            if event.fields['upstream'] == upstream
            and due < event.monotonic_s < end
        ]
        if late:
            found.append(
                verdicts.Violation(
                    f'{upstream} got new work more than {limits.LEAVING_S} s '
                    'after it began to leave',
                    (drain, late[0]),
                )
            )
    return found


def _check_draining(
    line: timeline.Timeline, draining: typing.Sequence[trace.Event]
) -> verdicts.Verdict:
    if not line.upstreams():
        return verdicts.Undecidable('no trace of an upstream')
    last = line.events[-1].monotonic_s
    watched = [
        drain
        for drain in draining
        if last > drain.monotonic_s + limits.LEAVING_S
    ]
    if not watched:
        return verdicts.Undecidable(
            f'no upstream began to leave {limits.LEAVING_S} s before the end'
        )
    return verdicts.decide(
        _late_work(line, watched), [], f'{len(watched)} departures'
    )


def _takes_domain_out(line: timeline.Timeline, drain: trace.Event) -> bool:
    """Return whether an upstream leaves because of its failure domain.

    The reason does not tell marks on upstreams from marks on failure domains,
    so the last mark that its writer read decides.
    """
    reason = str(drain.fields['reason'])
    if reason != MARK_REASON:
        return reason.startswith(DOMAIN_REASON)
    marks = [
        event.fields['record']
        for event in line.by_life[line.life(drain)]
        if event.monotonic_s <= drain.monotonic_s
        and timeline.name(event) == 'record_in_force'
        and event.fields['kind'] == 'mark'
    ]
    return bool(marks) and marks[-1].startswith(DOMAIN_MARK)


def check_domain_out(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 4: a failure domain marked out gets no new work."""
    return _check_draining(
        line,
        [
            event
            for event in line.named('upstream_draining')
            if _takes_domain_out(line, event)
        ],
    )


def check_upstream_leaves(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 8: a leaving upstream gets no new work."""
    return _check_draining(line, line.named('upstream_draining'))


def _unfinished(
    events: typing.Sequence[trace.Event],
) -> dict[str, trace.Event]:
    """Return the requests that a process received and never settled."""
    waiting: dict[str, trace.Event] = {}
    for event in events:
        kind = timeline.name(event)
        if kind == 'request_received':
            waiting[event.fields['request']] = event
        elif kind in ('request_answered', 'request_not_run'):
            waiting.pop(event.fields['request'], None)
        elif kind == 'request_unknown':
            waiting.pop(event.fields['request'], None)
    return waiting


def check_stop(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 9: a planned stop of an instance interrupts no request."""
    violations, doubts, stops = [], [], 0
    upstreams = line.upstreams()
    for request in line.named('stop_requested'):
        if request.process in upstreams:
            continue
        stops += 1
        events = line.by_life[line.life(request)]
        end = [e for e in events if timeline.name(e) == 'process_stopped']
        if not end:
            doubts.append(f'{request.process} wrote no process_stopped')
            continue
        violations += _stop_faults(request, end[0], events)
        violations += _forward_faults(line, request)
    if not stops:
        return verdicts.Undecidable('no planned stop of an instance')
    return verdicts.decide(violations, doubts, f'{stops} planned stops')


def _forward_faults(
    line: timeline.Timeline, request: trace.Event
) -> list[verdicts.Violation]:
    """Return requests that other instances lost by forwarding to this one.

    The stopping instance does not see a request whose connection it closes
    before it has read it; what it has received, its own events settle.
    """
    starts = [
        event.monotonic_s
        for event in line.named('process_started')
        if event.process == request.process
        and event.monotonic_s > request.monotonic_s
    ]
    until = min(starts, default=float('inf'))
    forwarded = {
        (event.process, event.fields['request']): event
        for event in line.named('request_forwarded')
        if event.fields['instance'] == request.process
        and request.monotonic_s < event.monotonic_s < until
    }
    received = {
        event.fields['request']
        for event in line.named('request_received')
        if event.process == request.process
    }
    found = []
    for event in line.named('request_unknown'):
        if event.fields['request'] in received:
            continue
        hop = forwarded.get((event.process, event.fields['request']))
        if hop is not None and hop.monotonic_s < event.monotonic_s:
            found.append(
                verdicts.Violation(
                    f'{event.process} lost a request that it forwarded to '
                    f'{request.process} after its stop began',
                    (request, hop, event),
                )
            )
    return found


def _stop_faults(
    request: trace.Event,
    end: trace.Event,
    events: typing.Sequence[trace.Event],
) -> list[verdicts.Violation]:
    found = []
    if end.fields['unfinished']:
        found.append(
            verdicts.Violation(
                f'{end.process} cut {end.fields["unfinished"]} requests',
                (request, end),
            )
        )
    waiting = _unfinished(events)
    if waiting:
        found.append(
            verdicts.Violation(
                f'{end.process} left {len(waiting)} requests without outcome',
                (*waiting.values(), request, end),
            )
        )
    if end.monotonic_s - request.monotonic_s > limits.STOP_S:
        found.append(
            verdicts.Violation(
                f'{end.process} took more than {limits.STOP_S} s to stop',
                (request, end),
            )
        )
    return found
