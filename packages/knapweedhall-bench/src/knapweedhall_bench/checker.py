"""Checks the invariants against callers' results and upstreams' logs."""

from __future__ import annotations

import collections
import json
import math
import pathlib
import typing

from knapweedhall_bench import callers

# Grants of a key to two upstreams may overlap by this time: the delay of a
# grant's answer and the difference between two upstreams' clocks (platform
# rules, OWNER).
MAX_OVERLAP_S = 0.5
# Time for which a leaving upstream may still get requests after a router
# passed on its notice; `drain_s` of the routers' settings.
DRAIN_S = 2.0
# Requests that may arrive during a pause, and the time after the refusal from
# which they count (platform rules, BUDGET).
MAX_ARRIVALS_IN_PAUSE = 2
PAUSE_SLACK_S = 0.5
# Time from SIGTERM to the end of a process, `grace_s` of the routers'
# settings. In its last sixth, requests of the first EXCUSED_S may be given up
# (platform rules, LOST).
GRACE_S = 6.0
EXCUSED_FROM_S = GRACE_S * 5 / 6
EXCUSED_S = 3.0
# Time for which the platform counts answers to a stop beyond the grace time.
STOP_END_SLACK_S = 1.0
# An instance may answer this long before a deadline that it received late.
DEADLINE_SLACK_S = 0.1
# Time after the confirmation of a configuration from which it is in force at
# all instances that are in touch (platform's pages, `configS`).
IN_FORCE_S = 2.0
# Time after the confirmation of a record without a key after which no request
# with this key is served.
KEY_WITHDRAWN_S = 3.0
# Distance between the keys at which grants are compared. All moved ranges are
# wider, except for single hot keys.
KEY_STEP = 256


class Violation(typing.NamedTuple):
    """A broken invariant and the evidence for it."""

    invariant: str
    evidence: str


class Run(typing.NamedTuple):
    """The start of a request's execution at an upstream.

    Attributes
    ----------
    at : float
        Seconds of the monotonic clock.
    upstream, request : str
        Name of the upstream, and request ID.
    key : int or None
        Key of the request; None if the service has no keys.
    """

    at: float
    upstream: str
    request: str
    key: int | None


class GrantPeriod(typing.NamedTuple):
    """Period for which an upstream held a key range.

    Attributes
    ----------
    first, last : int
        First and last key, inclusive.
    fence : int
        Fencing token of the grant.
    begin, end : float
        Seconds of the monotonic clock.
    upstream : str
        Name of the upstream.
    """

    first: int
    last: int
    fence: int
    begin: float
    end: float
    upstream: str


class Refusal(typing.NamedTuple):
    """A refusal with which an upstream asked for a pause.

    Attributes
    ----------
    at : float
        Seconds of the monotonic clock.
    upstream, request : str
        Name of the upstream, and request ID.
    pause_s : float
        Length of the pause, seconds; it ends when another process starts
        under the name.
    """

    at: float
    upstream: str
    request: str
    pause_s: float


class UpstreamActivity(typing.NamedTuple):
    """What all upstreams did.

    Attributes
    ----------
    runs : list of Run
        Requests that they ran.
    grants : list of GrantPeriod
        Keys that they held.
    refusals : list of Refusal
        Requests that they turned away for a time.
    leaving : dict of str to list of tuple of float and float
        Times in which their responses said that they leave; each ends when
        another process starts under the name.
    cut : frozenset of str
        IDs of the requests whose responses they cut.
    """

    runs: list[Run]
    grants: list[GrantPeriod]
    refusals: list[Refusal] = []
    leaving: dict[str, list[tuple[float, float]]] = {}
    cut: frozenset[str] = frozenset()


class _GrantHistory:
    """Grant periods of one upstream while its log is read.

    Attributes
    ----------
    open : list of GrantPeriod
        Grants that no event has ended so far.
    closed : list of GrantPeriod
        Grants that were ended or replaced.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.open: list[GrantPeriod] = []
        self.closed: list[GrantPeriod] = []

    def end_grants(self, first: int, last: int, at: float) -> None:
        """End the grants of a key range, splitting those that overlap it."""
        kept = []
        for grant in self.open:
            if grant.last < first or grant.first > last:
                kept.append(grant)
                continue
            ended = grant._replace(
                first=max(first, grant.first),
                last=min(last, grant.last),
                end=min(grant.end, at),
            )
            self.closed.append(ended)
            if grant.first < first:
                kept.append(grant._replace(last=first - 1))
            if grant.last > last:
                kept.append(grant._replace(first=last + 1))
        self.open = kept


def read_logs(
    folder: pathlib.Path, upstreams: typing.Iterable[str]
) -> UpstreamActivity:
    """Read the logs of the named upstreams."""
    runs: list[Run] = []
    grants: list[GrantPeriod] = []
    refusals: list[Refusal] = []
    leaving: dict[str, list[tuple[float, float]]] = {}
    cut: set[str] = set()
    for name in upstreams:
        history = _GrantHistory(name)
        for line in (folder / f'{name}.log').read_text().splitlines():
            if not line.startswith('{"at"') or not line.endswith('}'):
                continue
            event = json.loads(line)
            _apply_event(event, history, runs)
            if event['event'] == 'turned_away':
                refusals.append(
                    Refusal(
                        event['at'], name, event['request'], event['pause_s']
                    )
                )
            elif event['event'] == 'cut':
                cut.add(event['request'])
            elif event['event'] == 'trouble' and event.get('leaving'):
                leaving.setdefault(name, []).append((event['at'], math.inf))
            elif event['event'] == 'started':
                # The notices were those of the process before.
                refusals = [
                    (
                        refusal._replace(
                            pause_s=min(
                                refusal.pause_s, event['at'] - refusal.at
                            )
                        )
                        if refusal.upstream == name
                        else refusal
                    )
                    for refusal in refusals
                ]
                leaving[name] = [
                    (begin, min(end, event['at']))
                    for begin, end in leaving.get(name, ())
                ]
        grants += history.closed + history.open
    return UpstreamActivity(
        sorted(runs), grants, sorted(refusals), leaving, frozenset(cut)
    )


def _apply_event(
    event: dict[str, typing.Any], history: _GrantHistory, runs: list[Run]
) -> None:
    at = event['at']
    if event['event'] == 'run':
        runs.append(Run(at, history.upstream, event['request'], event['key']))
    elif event['event'] == 'started':
        # A process that ended holds no keys. The time of its end is not
        # logged, and the routers can't know it before the next start.
        history.end_grants(0, callers.KEY_COUNT, at)
    elif event['event'] == 'released':
        history.end_grants(event['first'], event['last'], at)
    elif event['event'] == 'granted':
        first, last = event['first'], event['last']
        history.end_grants(first, last, at)
        history.open.append(
            GrantPeriod(
                first,
                last,
                event['fence'],
                at,
                event['until'],
                history.upstream,
            )
        )


def check(
    results: typing.Sequence[callers.Result], activity: UpstreamActivity
) -> list[Violation]:
    """Return all violations."""
    return [
        *_check_responses(results),
        *_check_refusals(results, activity.runs),
        *_check_repeated_runs(results, activity.runs),
        *_check_owners(activity),
        *_check_tokens(activity.grants),
    ]


def _check_responses(
    results: typing.Sequence[callers.Result],
) -> typing.Iterator[Violation]:
    for result in results:
        if result.status == 200 and not result.right:
            yield Violation(
                'whole answer', f'{result.request} at {result.router}'
            )


def _check_refusals(
    results: typing.Sequence[callers.Result], runs: typing.Sequence[Run]
) -> typing.Iterator[Violation]:
    run_by_request = {run.request: run for run in runs}
    for result in results:
        if result.status in (429, 503) and not result.idempotent:
            if result.request in run_by_request:
                yield Violation(
                    'refused means not run',
                    f'{result} {run_by_request[result.request]}',
                )


def _check_repeated_runs(
    results: typing.Sequence[callers.Result], runs: typing.Sequence[Run]
) -> typing.Iterator[Violation]:
    counts = collections.Counter(run.request for run in runs)
    for result in results:
        if not result.idempotent and counts[result.request] > 1:
            yield Violation('at most once', result.request)


def _check_owners(activity: UpstreamActivity) -> typing.Iterator[Violation]:
    """Yield overlaps of grants in which both upstreams began requests."""
    by_key: dict[int, list[GrantPeriod]] = collections.defaultdict(list)
    for grant in activity.grants:
        first_key = -(-grant.first // KEY_STEP) * KEY_STEP
        for key in range(first_key, grant.last + 1, KEY_STEP):
            by_key[key].append(grant)
    seen: set[tuple[str, str, int]] = set()
    for grants in by_key.values():
        grants.sort(key=lambda grant: grant.begin)
        for index, earlier in enumerate(grants):
            for later in grants[index + 1 :]:
                if later.begin > earlier.end - MAX_OVERLAP_S:
                    break
                pair = (earlier.upstream, later.upstream, int(later.begin))
                if earlier.upstream == later.upstream or pair in seen:
                    continue
                seen.add(pair)
                if _both_ran_requests(earlier, later, activity.runs):
                    yield Violation('one owner', f'{earlier} {later}')


def _both_ran_requests(
    old: GrantPeriod, new: GrantPeriod, runs: typing.Sequence[Run]
) -> bool:
    begin, end = max(old.begin, new.begin), min(old.end, new.end)
    first, last = max(old.first, new.first), min(old.last, new.last)
    upstreams = {
        run.upstream
        for run in runs
        if begin <= run.at <= end
        and run.key is not None
        and first <= run.key <= last
    }
    return {old.upstream, new.upstream} <= upstreams


def _check_tokens(
    grants: typing.Sequence[GrantPeriod],
) -> typing.Iterator[Violation]:
    """Yield grants with a token not above that of an earlier holder."""
    highest: dict[int, GrantPeriod] = {}
    for grant in sorted(grants, key=lambda grant: grant.begin):
        first_key = -(-grant.first // KEY_STEP) * KEY_STEP
        for key in range(first_key, grant.last + 1, KEY_STEP):
            earlier = highest.get(key)
            if earlier is not None and earlier.upstream != grant.upstream:
                if earlier.fence >= grant.fence:
                    yield Violation('rising tokens', f'{earlier} {grant}')
                    break
            if earlier is None or earlier.fence < grant.fence:
                highest[key] = grant


def check_stops(
    results: typing.Sequence[callers.Result],
    activity: UpstreamActivity,
    signalled_at: typing.Mapping[str, typing.Sequence[float]],
    is_undisturbed: typing.Callable[[str, float, float], bool],
) -> list[Violation]:
    """Return requests that a stopping router gave up while they ran.

    Their answer is the router's own, though their upstream was sound and their
    time limit was not over. Those with keys are left out, as a key may move.

    Parameters
    ----------
    results : sequence of callers.Result
        Results of all requests.
    activity : UpstreamActivity
        What the upstreams did.
    signalled_at : mapping of str to sequence of float
        When each router got SIGTERM, seconds of the monotonic clock.
    is_undisturbed : callable
        Returns whether a router or an upstream, given by its name, ran without
        a disruption between two times.
    """
    upstreams: dict[str, set[str]] = collections.defaultdict(set)
    for run in activity.runs:
        upstreams[run.request].add(run.upstream)
    return [
        Violation('no request is given up in a stop', f'{result} {at}')
        for result in results
        if result.status in (502, 504)
        and not result.signed
        and result.key is None
        and result.request in upstreams
        and result.request not in activity.cut
        and result.ended_at < result.deadline - DEADLINE_SLACK_S
        for at in signalled_at.get(result.router, ())
        if at <= result.ended_at <= at + GRACE_S + STOP_END_SLACK_S
        and not (
            result.sent_at <= at + EXCUSED_S
            and result.ended_at >= at + EXCUSED_FROM_S
        )
        and all(
            is_undisturbed(name, result.sent_at, result.ended_at)
            for name in (result.router, *upstreams[result.request])
        )
    ]


def check_configurations(
    results: typing.Sequence[callers.Result],
    confirmed: typing.Mapping[str, tuple[float, float]],
    is_in_touch: typing.Callable[[str, float, float], bool],
) -> list[Violation]:
    """Return 404 responses for hosts that the configuration has.

    Parameters
    ----------
    results : sequence of callers.Result
        Results of all requests.
    confirmed : mapping of str to (float, float)
        Time in which the store has each added host, seconds of the monotonic
        clock. The others were configured before the first request, so that
        not even an instance that has just started may answer 404 for them.
    is_in_touch : callable
        Returns whether a router, given by its name, was in touch with the
        store between two times.
    """
    return [
        Violation('configuration in force', f'{result}')
        for result in results
        if result.status == 404
        and not result.signed
        and (
            result.host not in confirmed
            or confirmed[result.host][0] + IN_FORCE_S < result.sent_at
            and result.ended_at < confirmed[result.host][1]
            and is_in_touch(result.router, result.sent_at, result.ended_at)
        )
    ]


def check_caller_keys(
    results: typing.Sequence[callers.Result],
    activity: UpstreamActivity,
    withdrawn: tuple[float, float],
    is_in_touch: typing.Callable[[str, float, float], bool],
) -> list[Violation]:
    """Return requests that were served without a key, or refused with one.

    Parameters
    ----------
    results : sequence of callers.Result
        Results of all requests.
    activity : UpstreamActivity
        What the upstreams did.
    withdrawn : (float, float)
        Time in which the store has the record that withdraws a key, seconds
        of the monotonic clock.
    is_in_touch : callable
        Returns whether a router, given by its name, was in touch with the
        store between two times.
    """
    ran = {run.request for run in activity.runs}
    violations = []
    for result in results:
        if result.caller_key == callers.KEY:
            if result.status == 401:
                violations.append(Violation('known key', f'{result}'))
        elif result.status != 200 and result.request not in ran:
            continue
        elif result.caller_key == callers.UNKNOWN_KEY:
            violations.append(Violation('unknown key', f'{result}'))
        elif (
            result.caller_key == callers.WITHDRAWN_KEY
            and withdrawn[0] + KEY_WITHDRAWN_S < result.sent_at
            and result.ended_at < withdrawn[1]
            and is_in_touch(result.router, result.sent_at, result.ended_at)
        ):
            violations.append(Violation('withdrawn key', f'{result}'))
    return violations


def check_notices(
    results: typing.Sequence[callers.Result],
    activity: UpstreamActivity,
    is_undisturbed: typing.Callable[[str, float, float], bool],
) -> list[Violation]:
    """Return requests to upstreams that leave or asked for a pause.

    Parameters
    ----------
    results : sequence of callers.Result
        Results of all requests.
    activity : UpstreamActivity
        What the upstreams did.
    is_undisturbed : callable
        Returns whether a router, given by its name, ran without a disruption
        between two times.
    """
    return [
        *_check_leaving(results, activity, is_undisturbed),
        *_check_pauses(results, activity, is_undisturbed),
    ]


def _check_leaving(
    results: typing.Sequence[callers.Result],
    activity: UpstreamActivity,
    is_undisturbed: typing.Callable[[str, float, float], bool],
) -> typing.Iterator[Violation]:
    # The name, and the begin of the time in which the upstream leaves.
    notice_by_request = {
        run.request: (run.upstream, begin)
        for run in activity.runs
        for begin, end in activity.leaving.get(run.upstream, ())
        if begin <= run.at < end
    }
    # When each router first passed on a response of an upstream that leaves.
    passed_at: dict[tuple[str, tuple[str, float]], float] = {}
    for result in sorted(results, key=lambda result: result.ended_at):
        notice = notice_by_request.get(result.request)
        if notice is None:
            continue
        pair = (result.router, notice)
        if result.status == 200:
            passed_at.setdefault(pair, result.ended_at)
        begin = passed_at.get(pair, float('inf'))
        if result.sent_at > begin + DRAIN_S and is_undisturbed(
            result.router, begin, result.ended_at
        ):
            yield Violation('leaving upstream', f'{result} {notice[0]}')


def _check_pauses(
    results: typing.Sequence[callers.Result],
    activity: UpstreamActivity,
    is_undisturbed: typing.Callable[[str, float, float], bool],
) -> typing.Iterator[Violation]:
    router_by_request = {result.request: result.router for result in results}
    arrivals: dict[tuple[str, str], list[float]] = collections.defaultdict(
        list
    )
    arrived = [(run.request, run.upstream, run.at) for run in activity.runs]
    arrived += [
        (refusal.request, refusal.upstream, refusal.at)
        for refusal in activity.refusals
    ]
    for request, upstream, at in arrived:
        if request in router_by_request:
            arrivals[router_by_request[request], upstream].append(at)
    for refusal in activity.refusals:
        router = router_by_request.get(refusal.request)
        if router is None:
            continue
        end = refusal.at + refusal.pause_s
        late = [
            at
            for at in arrivals[router, refusal.upstream]
            if refusal.at + PAUSE_SLACK_S < at < end
        ]
        if len(late) > MAX_ARRIVALS_IN_PAUSE and is_undisturbed(
            router, refusal.at, end
        ):
            yield Violation('pause', f'{refusal} {router} {late}')
