"""Point 1: one owner per slice, from grants and from the work itself."""

from __future__ import annotations

import collections
import re
import typing

from knapweedhall_events import trace
from knapweedhall_records import ids
from knapweedhall_replay import limits
from knapweedhall_replay import timeline
from knapweedhall_replay import verdicts

Slice = tuple[str, int]


class Tenure(typing.NamedTuple):
    """Ownership of a slice by an upstream.

    Attributes
    ----------
    grant : trace.Event
        The grant_accepted that began it.
    end : trace.Event or None
        What ended it; None if the traces do not show an end.
    """

    grant: trace.Event
    end: trace.Event | None

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return str(self.grant.fields['upstream'])


Tenures = dict[Slice, list[Tenure]]


def _slices(event: trace.Event) -> list[Slice]:
    service = event.fields['service']
    return [(service, number) for number in event.fields['slices']]


def tenures(line: timeline.Timeline) -> Tenures:
    """Return the tenures of each slice in the order of their grants."""
    found: Tenures = collections.defaultdict(list)
    open_: dict[tuple[Slice, str], trace.Event] = {}

    def close(slice_: Slice, upstream: str, end: trace.Event | None) -> None:
        grant = open_.pop((slice_, upstream), None)
        if grant:
            found[slice_].append(Tenure(grant, end))

    for event in line.named(
        'grant_accepted',
        'grant_expired',
        'slices_released',
        'process_started',
        'process_stopped',
    ):
        kind = timeline.name(event)
        if kind == 'grant_accepted':
            for slice_ in _slices(event):
                close(slice_, event.fields['upstream'], event)
                open_[slice_, event.fields['upstream']] = event
        elif kind in ('grant_expired', 'slices_released'):
            # The coordinator writes what it has decided; the upstream holds
            # its grant until it says so itself.
            if event.process == event.fields['upstream']:
                for slice_ in _slices(event):
                    close(slice_, event.fields['upstream'], event)
        else:
            for slice_, upstream in [
                slot
                for slot, grant in open_.items()
                if grant.process == event.process
            ]:
                close(slice_, upstream, event)
    for slice_, upstream in list(open_):
        close(slice_, upstream, None)
    for rows in found.values():
        rows.sort(key=lambda row: row.grant.monotonic_s)
    return found


def activations(line: timeline.Timeline) -> Tenures:
    """Return the tenures of each slice as the coordinators began them.

    An upstream that checks no tokens accepts late grants and ignores them in
    its work, so its grants do not show who owns a slice.
    """
    found: Tenures = collections.defaultdict(list)
    for event in line.named('slices_activated'):
        for slice_ in _slices(event):
            found[slice_].append(Tenure(event, None))
    return found


class _Overlap(typing.NamedTuple):
    violation: verdicts.Violation | None
    doubt: str


_NONE = _Overlap(None, '')


def _overlap(line: timeline.Timeline, old: Tenure, new: Tenure) -> _Overlap:
    """Judge two tenures of a slice at different upstreams.

    A paused upstream writes the end of its grant only when it runs again, so
    the end counts as late only if the upstream was awake before it.
    """
    begin = new.grant.monotonic_s
    end = old.end.monotonic_s if old.end else float('inf')
    if end - begin <= limits.EXPIRY_LAG_S:
        return _NONE
    awake = [
        event
        for event in line.by_life[line.life(old.grant)]
        if begin < event.monotonic_s < end - limits.EXPIRY_LAG_S
    ]
    if awake:
        events = (old.grant, new.grant, awake[0])
        return _Overlap(
            verdicts.Violation(
                f'{old.upstream} still held a slice that {new.upstream} was '
                'granted',
                events + ((old.end,) if old.end else ()),
            ),
            '',
        )
    if old.end is None or _fault_named(line, old.upstream, end):
        return _NONE
    return _Overlap(
        None,
        f'{old.upstream} wrote nothing between the grant to {new.upstream} '
        'and the end of its own; it may have been paused',
    )


def _fault_named(line: timeline.Timeline, upstream: str, until: float) -> bool:
    word = re.compile(rf'(?<![\w-]){re.escape(upstream)}(?![\w-])')
    return any(
        word.search(str(event.fields['fault'])) and event.monotonic_s < until
        for event in line.named('fault_set')
    )


def _grant_faults(
    line: timeline.Timeline, owners: Tenures, unchecked: frozenset[str]
) -> tuple[list[verdicts.Violation], list[str]]:
    violations, doubts = [], []
    for (service, _), rows in owners.items():
        if service in unchecked:
            continue
        for index, old in enumerate(rows):
            for new in rows[index + 1 :]:
                if new.upstream == old.upstream:
                    continue
                found = _overlap(line, old, new)
                if found.violation:
                    violations.append(found.violation)
                if found.doubt:
                    doubts.append(found.doubt)
    return violations, doubts


def _token_faults(owners: Tenures) -> list[verdicts.Violation]:
    """Return grants whose token is not above that of the grant before.

    Terms of different lease groups are independent, so a slice that moves
    between groups may get a lower token.
    """
    found = []
    for rows in owners.values():
        last: dict[str, Tenure] = {}
        for new in rows:
            old = last.get(new.grant.fields['group'])
            last[new.grant.fields['group']] = new
            if old is None:
                continue
            before = ids.Token.parse(old.grant.fields['token'])
            after = ids.Token.parse(new.grant.fields['token'])
            if new.upstream != old.upstream and after <= before:
                found.append(
                    verdicts.Violation(
                        f'{new.upstream} took token {after} after '
                        f'{old.upstream} took {before}',
                        (old.grant, new.grant),
                    )
                )
    return found


class Run(typing.NamedTuple):
    """Work on one request at one upstream.

    Attributes
    ----------
    start, end : trace.Event
        First and last event; the same one if the end is not in the traces.
    """

    start: trace.Event
    end: trace.Event


def _runs(line: timeline.Timeline, owners: Tenures) -> dict[Slice, list[Run]]:
    """Return the work on each slice that has been granted to someone."""
    found: dict[Slice, list[Run]] = collections.defaultdict(list)
    for events in line.by_life.values():
        open_: dict[str, trace.Event] = {}
        for event in events:
            kind = timeline.name(event)
            if kind == 'work_started':
                open_[event.fields['request']] = event
            elif kind in ('work_finished', 'work_abandoned'):
                start = open_.pop(event.fields['request'], None)
                if start:
                    _add_run(found, owners, Run(start, event))
        for start in open_.values():
            _add_run(found, owners, Run(start, start))
    for rows in found.values():
        rows.sort(key=lambda run: run.start.monotonic_s)
    return found


def _add_run(found: dict[Slice, list[Run]], owners: Tenures, run: Run) -> None:
    slice_ = (run.start.fields['service'], run.start.fields['slice'])
    if slice_ in owners:
        found[slice_].append(run)


def _work_faults(
    rows: typing.Sequence[Tenure], runs: typing.Sequence[Run]
) -> list[verdicts.Violation]:
    found = []
    last: Run | None = None
    for run in runs:
        begin = run.start.monotonic_s
        upstream = run.start.fields['upstream']
        before = [row for row in rows if row.grant.monotonic_s < begin]
        if before and before[-1].upstream != upstream:
            found.append(
                verdicts.Violation(
                    f'{upstream} began work on a slice that '
                    f'{before[-1].upstream} owned',
                    (before[-1].grant, run.start),
                )
            )
        if last and _both_ran(last, run):
            found.append(
                verdicts.Violation(
                    f'{last.start.fields["upstream"]} and {upstream} worked '
                    'on the same slice at the same time',
                    (last.start, run.start, last.end),
                )
            )
        if last is None or run.end.monotonic_s > last.end.monotonic_s:
            last = run
    return found


def _both_ran(first: Run, second: Run) -> bool:
    return (
        first.start.fields['upstream'] != second.start.fields['upstream']
        and second.start.monotonic_s < first.end.monotonic_s
    )


def check(
    line: timeline.Timeline, unchecked: frozenset[str] = frozenset()
) -> verdicts.Verdict:
    """Point 1: no two upstreams hold or work on a slice at the same time.

    Parameters
    ----------
    line : timeline.Timeline
        Events.
    unchecked : frozenset of str
        Services whose upstreams check no tokens: their grants may overlap,
        their work may not. Their owners are read from the coordinators'
        activations where the traces have them.
    """
    owners = tenures(line)
    if not owners:
        return verdicts.Undecidable('no upstream traced a grant of slices')
    violations, doubts = _grant_faults(line, owners, unchecked)
    for slice_, activated in activations(line).items():
        if slice_ in owners and slice_[0] in unchecked:
            owners[slice_] = activated
    violations += _token_faults(owners)
    runs = _runs(line, owners)
    for slice_, rows in runs.items():
        violations += _work_faults(owners[slice_], rows)
    count = sum(map(len, runs.values()))
    return verdicts.decide(
        violations, doubts, f'{len(owners)} slices, {count} runs'
    )
