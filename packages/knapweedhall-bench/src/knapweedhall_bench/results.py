"""Counts, latencies and unserved times of a run."""

from __future__ import annotations

import bisect
import collections
import typing

from hdrh import histogram

# Histogram range in microseconds: 1 us to 10 min, 3 significant digits.
LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3

ANSWERED = 'answered'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
# The entry instance broke the exchange without a response.
BROKEN = 'broken'
# No response before the timeout that the caller stated, and some more.
LOST = 'lost'
OUTCOMES = (ANSWERED, NOT_RUN, UNKNOWN, BROKEN, LOST)


class Finished(typing.NamedTuple):
    """One call and what became of it.

    Attributes
    ----------
    request, key : str
        Request id and key.
    idempotent : bool
        Whether it may run more than once.
    target : str
        Entry instance that it was sent to.
    outcome : str
        One of `OUTCOMES`.
    status : int
        HTTP status, 0 if there was none.
    whole, matches : bool
        Whether the response was complete, and was the one expected.
    due_s, ended_s : float
        When it was due and when it ended, in seconds of one clock.
    """

    request: str
    key: str
    idempotent: bool
    target: str
    outcome: str
    status: int
    whole: bool
    matches: bool
    due_s: float
    ended_s: float


class Summary(typing.NamedTuple):
    """Figures of a run; times in milliseconds.

    `wrong` counts answered calls whose response was cut or not their own.
    """

    requests: int
    counts: dict[str, int]
    wrong: int
    p50_ms: float
    p99_ms: float
    longest_unserved_ms: float
    longest_unserved_key: str


def unserved_s(calls: typing.Sequence[Finished], end_s: float) -> float:
    """Return the longest time that a key waited for an answer.

    It runs from the time at which a call is due to the end of the first
    answered call of the same key at or after it; a call that was answered
    late counts as well as one that was refused.

    Parameters
    ----------
    calls : sequence of Finished
        All calls of one key.
    end_s : float
        End of the run, which ends a wait that no answer ended.
    """
    answers = sorted(
        call.ended_s for call in calls if call.outcome == ANSWERED
    )
    longest = 0.0
    for call in calls:
        index = bisect.bisect_left(answers, call.due_s)
        served = answers[index] if index < len(answers) else end_s
        longest = max(longest, served - call.due_s)
    return longest


def summarize(calls: typing.Sequence[Finished], end_s: float) -> Summary:
    """Return the figures of a run."""
    latencies = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    counts = collections.Counter(call.outcome for call in calls)
    by_key = collections.defaultdict(list)
    for call in calls:
        by_key[call.key].append(call)
        if call.outcome == ANSWERED:
            latency_us = int((call.ended_s - call.due_s) * 1e6)
            latencies.record_value(max(LOWEST_US, latency_us))
    longest, key = max(
        ((unserved_s(found, end_s), key) for key, found in by_key.items()),
        default=(0.0, ''),
    )
    return Summary(
        requests=len(calls),
        counts={outcome: counts[outcome] for outcome in OUTCOMES},
        wrong=sum(is_wrong(call) for call in calls),
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        longest_unserved_ms=longest * 1000,
        longest_unserved_key=key,
    )


def is_wrong(call: Finished) -> bool:
    """Return whether a caller was told `answered` without its own answer."""
    return call.outcome == ANSWERED and not (call.whole and call.matches)
