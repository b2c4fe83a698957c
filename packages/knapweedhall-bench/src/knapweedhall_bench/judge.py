"""Checks the promises from what callers were told and upstreams did."""

from __future__ import annotations

import collections
import json
import pathlib
import typing

from knapweedhall_bench import callers

# Two holders of a key are no violation for so long: a grant's answer and the
# clocks of two upstreams may differ by this much (platform rules, OWNER).
OVERLAP_S = 0.5
# Keys at which holders are compared; every move is wider than their distance
# for all but single hot keys.
KEY_STEP = 256


class Violation(typing.NamedTuple):
    """A broken promise and what shows it."""

    promise: str
    evidence: str


class Run(typing.NamedTuple):
    """A request that an upstream began to work on."""

    at: float
    upstream: str
    request: str
    key: int | None


class Hold(typing.NamedTuple):
    """Keys that an upstream held from a time to a time."""

    first: int
    last: int
    fence: int
    begin: float
    end: float
    upstream: str


class Evidence(typing.NamedTuple):
    """What all upstreams did."""

    runs: list[Run]
    holds: list[Hold]


class _Book:
    """Holds of one upstream while its log is read."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.open: list[Hold] = []
        self.closed: list[Hold] = []

    def cut(self, first: int, last: int, at: float) -> None:
        """End the holds of some keys."""
        kept = []
        for one in self.open:
            if one.last < first or one.first > last:
                kept.append(one)
                continue
            middle = one._replace(
                first=max(first, one.first),
                last=min(last, one.last),
                end=min(one.end, at),
            )
            self.closed.append(middle)
            if one.first < first:
                kept.append(one._replace(last=first - 1))
            if one.last > last:
                kept.append(one._replace(first=last + 1))
        self.open = kept


def read(folder: pathlib.Path, upstreams: typing.Iterable[str]) -> Evidence:
    """Read the logs of the upstreams."""
    runs: list[Run] = []
    holds: list[Hold] = []
    for name in upstreams:
        book = _Book(name)
        for line in (folder / f'{name}.log').read_text().splitlines():
            if not line.startswith('{"at"') or not line.endswith('}'):
                continue
            _take(json.loads(line), book, runs)
        holds += book.closed + book.open
    return Evidence(sorted(runs), holds)


def _take(event: dict[str, typing.Any], book: _Book, runs: list[Run]) -> None:
    at = event['at']
    if event['event'] == 'run':
        runs.append(Run(at, book.upstream, event['request'], event['key']))
    elif event['event'] == 'started':
        # A process that ended holds nothing; when it ended is not written,
        # and nobody could tell before it started again.
        book.cut(0, callers.KEYS, at)
    elif event['event'] == 'released':
        book.cut(event['first'], event['last'], at)
    elif event['event'] == 'granted':
        first, last = event['first'], event['last']
        book.cut(first, last, at)
        book.open.append(
            Hold(
                first, last, event['fence'], at, event['until'], book.upstream
            )
        )


def judge(
    told: typing.Sequence[callers.Told], found: Evidence
) -> list[Violation]:
    """Return all broken promises."""
    return [
        *_answers(told),
        *_not_run(told, found.runs),
        *_twice(told, found.runs),
        *_owners(found),
        *_tokens(found.holds),
    ]


def _answers(
    told: typing.Sequence[callers.Told],
) -> typing.Iterator[Violation]:
    for one in told:
        if one.status == 200 and not one.right:
            yield Violation('whole answer', f'{one.request} at {one.router}')


def _not_run(
    told: typing.Sequence[callers.Told], runs: typing.Sequence[Run]
) -> typing.Iterator[Violation]:
    ran = {run.request: run for run in runs}
    for one in told:
        if one.status in (429, 503) and not one.idempotent:
            if one.request in ran:
                yield Violation(
                    'refused means not run', f'{one} {ran[one.request]}'
                )


def _twice(
    told: typing.Sequence[callers.Told], runs: typing.Sequence[Run]
) -> typing.Iterator[Violation]:
    counts = collections.Counter(run.request for run in runs)
    for one in told:
        if not one.idempotent and counts[one.request] > 1:
            yield Violation('at most once', one.request)


def _owners(found: Evidence) -> typing.Iterator[Violation]:
    """Yield overlaps in which both holders began requests."""
    by_key: dict[int, list[Hold]] = collections.defaultdict(list)
    for hold in found.holds:
        begin = -(-hold.first // KEY_STEP) * KEY_STEP
        for key in range(begin, hold.last + 1, KEY_STEP):
            by_key[key].append(hold)
    seen: set[tuple[str, str, int]] = set()
    for holds in by_key.values():
        holds.sort(key=lambda hold: hold.begin)
        for place, one in enumerate(holds):
            for other in holds[place + 1 :]:
                if other.begin > one.end - OVERLAP_S:
                    break
                names = (one.upstream, other.upstream, int(other.begin))
                if one.upstream == other.upstream or names in seen:
                    continue
                seen.add(names)
                if _both_ran(one, other, found.runs):
                    yield Violation('one owner', f'{one} {other}')


def _both_ran(one: Hold, other: Hold, runs: typing.Sequence[Run]) -> bool:
    begin, end = max(one.begin, other.begin), min(one.end, other.end)
    first, last = max(one.first, other.first), min(one.last, other.last)
    names = {
        run.upstream
        for run in runs
        if begin <= run.at <= end
        and run.key is not None
        and first <= run.key <= last
    }
    return {one.upstream, other.upstream} <= names


def _tokens(holds: typing.Sequence[Hold]) -> typing.Iterator[Violation]:
    """Yield grants whose token is not above that of another holder."""
    highest: dict[int, Hold] = {}
    for hold in sorted(holds, key=lambda hold: hold.begin):
        begin = -(-hold.first // KEY_STEP) * KEY_STEP
        for key in range(begin, hold.last + 1, KEY_STEP):
            before = highest.get(key)
            if before is not None and before.upstream != hold.upstream:
                if before.fence >= hold.fence:
                    yield Violation('rising tokens', f'{before} {hold}')
                    break
            if before is None or before.fence < hold.fence:
                highest[key] = hold
