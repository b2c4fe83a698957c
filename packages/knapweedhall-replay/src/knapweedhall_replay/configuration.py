"""Points 2 and 10: plans survive, configuration spreads and never reverts."""

from __future__ import annotations

import typing

from knapweedhall_events import trace
from knapweedhall_replay import limits
from knapweedhall_replay import timeline
from knapweedhall_replay import verdicts

Key = tuple[str, str]

# Events that show which configuration a process holds.
HOLDING = ('record_in_force', 'state_restored')


def key_of(event: trace.Event) -> Key:
    """Return the kind and name of the record of an event."""
    return event.fields['kind'], event.fields['record']


def instances(line: timeline.Timeline) -> list[timeline.Life]:
    """Return the runs of processes that hold configuration."""
    holders = {
        line.life(event)
        for event in line.named('record_in_force', 'state_restored')
    }
    holders |= {
        line.life(event)
        for event in line.named('process_started')
        if event.fields['role'] == 'entry'
    }
    return sorted(holders)


def _reversions(line: timeline.Timeline) -> list[verdicts.Violation]:
    last: dict[tuple[timeline.Life, Key], trace.Event] = {}
    found = []
    for event in line.named('record_in_force'):
        slot = line.life(event), key_of(event)
        earlier = last.get(slot)
        if earlier and earlier.fields['version'] > event.fields['version']:
            found.append(
                verdicts.Violation(
                    f'{event.process} went from version '
                    f'{earlier.fields["version"]} of {key_of(event)} to '
                    f'{event.fields["version"]}',
                    (earlier, event),
                )
            )
        last[slot] = event
    return found


def _divergence(line: timeline.Timeline) -> list[verdicts.Violation]:
    """Return versions that were taken from different offsets."""
    first: dict[tuple[Key, int], trace.Event] = {}
    found = []
    accepted = line.named('record_accepted')
    in_force = [
        event
        for event in line.named('record_in_force')
        # A peer's copy need not carry the offset.
        if event.fields['source'] == 'log'
    ]
    for event in trace.merge([accepted, in_force]):
        slot = key_of(event), event.fields['version']
        other = first.setdefault(slot, event)
        if other.fields['offset'] != event.fields['offset']:
            found.append(
                verdicts.Violation(
                    f'{key_of(event)} version {event.fields["version"]} was '
                    'taken from two offsets',
                    (other, event),
                )
            )
    return found


def _holds(event: trace.Event, record: trace.Event) -> bool:
    if timeline.name(event) == 'state_restored':
        return event.fields['offset'] > record.fields['offset']
    return (
        timeline.name(event) == 'record_in_force'
        and key_of(event) == key_of(record)
        and event.fields['version'] >= record.fields['version']
    )


def _cut_off(events: typing.Sequence[trace.Event], until: float) -> bool:
    """Return whether neither the log nor a peer reached the process."""
    log_down = False
    peers: set[str] = set()
    for event in events:
        if event.monotonic_s > until:
            break
        kind = timeline.name(event)
        if kind in ('log_unreachable', 'log_reachable'):
            log_down = kind == 'log_unreachable'
        elif kind == 'peer_up':
            peers.add(event.fields['peer'])
        elif kind == 'peer_down':
            peers.discard(event.fields['peer'])
    return log_down and not peers


class _Spread(typing.NamedTuple):
    violations: list[verdicts.Violation]
    doubts: list[str]
    examined: int


def _spread(line: timeline.Timeline, records: list[trace.Event]) -> _Spread:
    """Check that each record is in force in every process in time."""
    violations, doubts, examined = [], [], 0
    held = {
        life: [
            event
            for event in line.by_life[life]
            if timeline.name(event) in HOLDING
        ]
        for life in instances(line)
    }
    for record in records:
        for life in held:
            events = line.by_life[life]
            arrivals = held[life]
            begin = max(record.monotonic_s, events[0].monotonic_s)
            due = begin + limits.CONFIGURATION_S
            if events[-1].monotonic_s <= due:
                continue
            examined += 1
            if any(
                _holds(event, record)
                for event in arrivals
                if event.monotonic_s <= due
            ):
                continue
            what = (
                f'{key_of(record)} version {record.fields["version"]} was not '
                f'in force in {life.process} after {limits.CONFIGURATION_S} s'
            )
            if _cut_off(events, due):
                doubts.append(f'{what}, which reached neither log nor peers')
                continue
            late = [event for event in arrivals if _holds(event, record)][:1]
            violations.append(verdicts.Violation(what, (record, *late)))
    return _Spread(violations, doubts, examined)


def _accepted(line: timeline.Timeline) -> list[trace.Event]:
    """Return each accepted record once, at its earliest acknowledgement."""
    found: dict[tuple[Key, int], trace.Event] = {}
    for event in line.named('record_accepted', 'record_in_force'):
        # A record in force was read back, so its writer may have been told.
        found.setdefault((key_of(event), event.fields['version']), event)
    return list(found.values())


def check_in_force(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 10: in force everywhere in time, and versions only grow."""
    records = _accepted(line)
    if not records:
        return verdicts.Undecidable('no trace of an accepted record')
    spread = _spread(line, records)
    violations = _reversions(line) + _divergence(line) + spread.violations
    doubts = list(spread.doubts)
    if not spread.examined:
        doubts.append(
            f'no process was traced for {limits.CONFIGURATION_S} s after an '
            'accepted record'
        )
    checked = f'{len(records)} records, {spread.examined} arrivals'
    return verdicts.decide(violations, doubts, checked)


def check_plans(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 2: every later process has each acknowledged plan."""
    plans = [
        event for event in _accepted(line) if event.fields['kind'] == 'plan'
    ]
    if not plans:
        return verdicts.Undecidable('no trace of an acknowledged plan')
    spread = _spread(line, plans)
    violations = [
        found
        for found in _reversions(line) + _divergence(line)
        if found.events[0].fields['kind'] == 'plan'
    ]
    doubts = list(spread.doubts)
    if not spread.examined:
        doubts.append('no process was traced long enough after a plan')
    checked = f'{len(plans)} plans, {spread.examined} arrivals'
    return verdicts.decide(violations + spread.violations, doubts, checked)
