"""Points 5, 6 and 7: responses, refusals and repeated work."""

from __future__ import annotations

import collections

from knapweedhall_events import trace
from knapweedhall_replay import timeline
from knapweedhall_replay import verdicts

Events = list[trace.Event]


def by_request(events: Events) -> dict[str, Events]:
    """Return the events of each request id."""
    found: dict[str, Events] = collections.defaultdict(list)
    for event in events:
        found[event.fields['request']].append(event)
    return found


def check_complete(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 5: an answered call got the complete response to its request."""
    calls = line.named('call_finished')
    if not calls:
        return verdicts.Undecidable('no trace of a caller')
    violations = []
    sent = by_request(line.named('call_sent'))
    for call in calls:
        fields = call.fields
        if fields['outcome'] != 'answered':
            continue
        if fields['whole'] and fields['matches']:
            continue
        fault = 'belongs to another request' if fields['whole'] else 'was cut'
        violations.append(
            verdicts.Violation(
                f'the response of {fields["request"]} {fault}',
                (*sent.get(fields['request'], []), call),
            )
        )
    return verdicts.decide(violations, [], f'{len(calls)} calls')


def _claims(line: timeline.Timeline) -> Events:
    """Return the events that say for a whole request that it did not run.

    A refusal inside one instance is no such claim when a caller's trace shows
    the outcome or another instance answered the request.
    """
    calls = line.named('call_finished')
    claims = [call for call in calls if call.fields['outcome'] == 'not-run']
    settled = {call.fields['request'] for call in calls}
    for event in line.named('request_answered', 'request_unknown'):
        settled.add(event.fields['request'])
    return claims + [
        event
        for event in line.named('request_not_run')
        if event.fields['request'] not in settled
    ]


def check_not_run(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 6: no work started for a request that was said not to run."""
    started = by_request(line.named('work_started'))
    if not line.upstreams():
        return verdicts.Undecidable('no trace of an upstream')
    claims = _claims(line)
    if not claims:
        return verdicts.Undecidable('no refusal in the traces')
    violations = [
        verdicts.Violation(
            f'request {claim.fields["request"]} ran but was said not to',
            (*started[claim.fields['request']], claim),
        )
        for claim in claims
        if claim.fields['request'] in started
    ]
    return verdicts.decide(violations, [], f'{len(claims)} refusals')


def check_once(line: timeline.Timeline) -> verdicts.Verdict:
    """Point 7: work of a non-idempotent request started at most once."""
    started = by_request(line.named('work_started'))
    if not started:
        return verdicts.Undecidable('no work in the traces')
    idempotent = {
        event.fields['request']: bool(event.fields['idempotent'])
        for event in line.named('call_sent', 'request_received')
    }
    violations, doubts = [], []
    for request, runs in started.items():
        if len(runs) < 2 or idempotent.get(request):
            continue
        if request not in idempotent:
            doubts.append(
                f'request {request} ran {len(runs)} times and no trace shows '
                'whether it is idempotent'
            )
            continue
        violations.append(
            verdicts.Violation(
                f'non-idempotent request {request} ran {len(runs)} times',
                tuple(runs),
            )
        )
    return verdicts.decide(violations, doubts, f'{len(started)} requests')
