"""Finds out from the logs of backends whether two held the same keys."""

import json
import typing


class Hold(typing.NamedTuple):
    first: int
    last: int
    begin: float
    end: float


class Overlap(typing.NamedTuple):
    first: int
    last: int
    backends: tuple[str, str]
    begin: float
    length_s: float


def read_events(path, name):
    events = []
    for line in path.read_text().splitlines():
        if line.startswith('{'):
            events.append(json.loads(line) | {'backend': name})
    return events


def _apply(holds, event):
    """Return the holds after a grant or a release; ended ones stay."""
    at, first, last = event['at'], event['first'], event['last']
    result = []
    begins = []
    for hold in holds:
        if hold.end <= at or hold.last < first or hold.first > last:
            result.append(hold)
            continue
        if hold.first < first:
            result.append(hold._replace(last=first - 1))
        if hold.last > last:
            result.append(hold._replace(first=last + 1))
        begin, end = max(hold.first, first), min(hold.last, last)
        if event['event'] == 'granted':
            # The grant renews this part.
            begins.append((begin, end))
            result.append(Hold(begin, end, hold.begin, event['until']))
        else:
            result.append(Hold(begin, end, hold.begin, at))
    if event['event'] == 'granted':
        next_key = first
        for begin, end in sorted(begins):
            if next_key < begin:
                result.append(Hold(next_key, begin - 1, at, event['until']))
            next_key = end + 1
        if next_key <= last:
            result.append(Hold(next_key, last, at, event['until']))
    return result


def find_overlaps(events, backends):
    """Return for which keys two backends were holders at the same time.

    A backend holds a key from its grant until `holdS` after the last grant
    arrived, or until a release of the key arrives.
    """
    holds = {name: [] for name in backends}
    for event in events:
        if event['event'] in ('granted', 'released'):
            name = event['backend']
            holds[name] = _apply(holds[name], event)
    overlaps = []
    for number, one in enumerate(backends):
        for other in backends[number + 1 :]:
            for left in holds[one]:
                for right in holds[other]:
                    first = max(left.first, right.first)
                    last = min(left.last, right.last)
                    begin = max(left.begin, right.begin)
                    length_s = min(left.end, right.end) - begin
                    if first <= last and length_s > 0:
                        overlaps.append(
                            Overlap(
                                first, last, (one, other), begin, length_s
                            )
                        )
    return overlaps
