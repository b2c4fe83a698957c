"""Which ranges of keys move, and to which upstream."""

from __future__ import annotations

import dataclasses
import statistics
import typing

from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import rates

# An upstream is relieved when its load exceeds the mean by this factor ...
OVERLOAD_FACTOR = 1.3
# ... and this share of its capacity; below it requests hardly wait.
OVERLOAD_SHARE = 0.45
# Requests per second of a service below which its keys are spread evenly
# instead of by load.
IDLE_RATE = 2.0
# Load that a key is assumed to bring before it was ever asked for, requests
# per second; spreads keys evenly while there is no traffic.
BASE_RATE = 0.0002
# Ranges per upstream at most; each has to be renewed on its own.
RANGES_PER_UPSTREAM = 12
# An upstream must be faster by this factor to take such a bucket over;
# service times of one upstream vary by less between two plans.
HOT_BUCKET_GAIN = 1.3
# Parts of a usual upstream's load in which the ranges of one that leaves are
# spread over the others.
SPREAD_PART = 0.15


class Move(typing.NamedTuple):
    """Keys that go to an upstream."""

    first: int
    last: int
    target: str


class Rules(typing.NamedTuple):
    """Operators' rules for moving the keys of a service.

    The defaults were compared on the days of docs/measurements/platform.md.

    Attributes
    ----------
    hot_key_share : float
        Share of its upstream's capacity from which a single bucket is placed
        by speed: no division of ranges can relieve its owner then.
    min_gain : float
        Share of capacity by which a move must lower the higher load.
    cooldown_s : float
        Time for which a moved range stays where it is, seconds; the rates
        that led to the move need it to settle.
    max_moves : int
        Moves that level the load and begin in one plan.
    """

    hot_key_share: float = 0.6
    min_gain: float = 0.06
    cooldown_s: float = 3.0
    max_moves: int = 6


class Inputs(typing.NamedTuple):
    """What a plan is made from.

    Attributes
    ----------
    capacity : dict of str to float
        Requests per second of each upstream that may be given keys.
    rates : rates.KeyRates
        Measured load.
    rules : Rules
        Rules of the service.
    """

    capacity: dict[str, float]
    rates: rates.KeyRates
    rules: Rules = Rules()


def _load(view: Inputs, first: int, last: int) -> float:
    return view.rates.rate(first, last) + BASE_RATE * (last - first + 1)


def _loads(
    items: typing.Iterable[holdings.Holding], view: Inputs
) -> dict[str, float]:
    """Return the load of each upstream as a share of its capacity.

    A range that moves counts where it goes, or the next plan would move more
    of the same load.
    """
    found = dict.fromkeys(view.capacity, 0.0)
    for one in items:
        name = one.target or one.upstream
        if name in found:
            found[name] += (
                _load(view, one.first, one.last) / view.capacity[name]
            )
    return found


def place_orphans(
    items: typing.Sequence[holdings.Holding],
    view: Inputs,
    orphans: typing.Sequence[holdings.Holding],
) -> list[Move]:
    """Return where ranges go that can't stay with their holder.

    Large ones are divided, so that no single upstream takes all the load of
    one that left.
    """
    if not view.capacity:
        return []
    loads = _loads(items, view)
    chunks = []
    # Parts by the slowest upstream would fragment all ranges as soon as one
    # hardly works.
    part = SPREAD_PART * statistics.median(view.capacity.values())
    room = RANGES_PER_UPSTREAM * len(view.capacity) - len(items)
    for one in orphans:
        load = _load(view, one.first, one.last)
        parts = max(1, min(int(load / part) + 1, room))
        if one.last - one.first + 1 == model.KEY_COUNT:
            parts = max(parts, len(view.capacity))
        found = _divide(one, min(parts, 4 * len(view.capacity)), view)
        room -= len(found) - 1
        chunks += found
    moves = []
    for load, first, last in sorted(chunks, reverse=True):
        target = min(
            loads, key=lambda name: loads[name] + load / view.capacity[name]
        )
        loads[target] += load / view.capacity[target]
        moves.append(Move(first, last, target))
    return sorted(moves)


def _divide(
    one: holdings.Holding, parts: int, view: Inputs
) -> list[tuple[float, int, int]]:
    """Divide a range into parts of about equal load."""
    total = _load(view, one.first, one.last)
    found = []
    begin = one.first
    load = 0.0
    base = BASE_RATE * rates.BUCKET_KEYS
    buckets = view.rates.buckets(one.first, one.last)
    for number, rate in enumerate(buckets, 1):
        load += rate + base
        end = one.first + number * rates.BUCKET_KEYS - 1
        if end >= one.last:
            break
        if load >= total / parts:
            found.append((load, begin, end))
            begin, load = end + 1, 0.0
    found.append((load, begin, one.last))
    return found


def rebalance(
    items: typing.Sequence[holdings.Holding],
    view: Inputs,
    now: float,
) -> list[Move]:
    """Return moves of single hot ranges from the busiest upstreams.

    Borders of all ranges are never shifted: each key that moves leaves a
    cold cache behind, and each table that is behind sends requests astray.
    """
    if len(view.capacity) < 2:
        return []
    book = holdings.Holdings('')
    book.items = [dataclasses.replace(one) for one in items]
    loads = _loads(book.items, view)
    total = sum(view.capacity.values())
    mean = sum(loads[name] * view.capacity[name] for name in loads) / total
    least = OVERLOAD_FACTOR * mean
    if view.rates.total() > IDLE_RATE:
        least = max(least, OVERLOAD_SHARE)
    given_up: set[str] = set()
    moves: list[Move] = []
    while len(moves) < view.rules.max_moves:
        sources = [name for name in loads if name not in given_up]
        if not sources or len(book.items) > RANGES_PER_UPSTREAM * len(loads):
            break
        source = max(sources, key=lambda name: loads[name])
        used = {one.target or one.upstream for one in book.items}
        if loads[source] < least and used >= set(loads):
            break
        target = min(loads, key=lambda name: loads[name])
        move = _hot_bucket(book.items, view, now, source) or _hottest_part(
            book.items, view, now, source, target, loads
        )
        if move is None:
            given_up.add(source)
            continue
        part = book.split(move.first, move.last)
        part.moving, part.target = True, move.target
        loads = _loads(book.items, view)
        moves.append(move)
    return moves


def _may_leave(one: holdings.Holding, source: str, now: float) -> bool:
    """Return whether a range can be moved to level the load."""
    return (
        one.upstream == source
        and one.confirmed
        and not one.moving
        and not one.in_flight
        and one.cooldown_until <= now
    )


def _hot_bucket(
    items: typing.Sequence[holdings.Holding],
    view: Inputs,
    now: float,
    source: str,
) -> Move | None:
    """Return the move of a bucket that takes most of its upstream.

    It goes to the fastest upstream, whose other ranges leave next.
    """
    fastest = max(view.capacity, key=lambda name: view.capacity[name])
    if view.capacity[fastest] < HOT_BUCKET_GAIN * view.capacity[source]:
        return None
    least = view.rules.hot_key_share * view.capacity[source]
    for one in items:
        if not _may_leave(one, source, now):
            continue
        buckets = view.rates.buckets(one.first, one.last)
        hottest = max(buckets)
        if hottest >= least:
            first = one.first + buckets.index(hottest) * rates.BUCKET_KEYS
            last = min(first + rates.BUCKET_KEYS - 1, one.last)
            return Move(first, last, fastest)
    return None


def _hottest_part(
    items: typing.Sequence[holdings.Holding],
    view: Inputs,
    now: float,
    source: str,
    target: str,
    loads: typing.Mapping[str, float],
) -> Move | None:
    gap = loads[source] - loads[target]
    # The amount after which both have the same share of their capacity.
    wanted = gap / (1 / view.capacity[source] + 1 / view.capacity[target])
    best: tuple[float, int, int, int] | None = None
    for one in items:
        if not _may_leave(one, source, now):
            continue
        found = _window(view, one, wanted)
        if found is None:
            continue
        load, first, last = found
        # Rounded, so that among parts of about the same load the narrowest
        # moves: keys that change hands are priced.
        rank = (round(8 * load / wanted), first - last, first, last)
        if best is None or rank > best:
            best = rank
    if best is None:
        return None
    first, last = best[2:]
    load = _load(view, first, last)
    after = max(
        loads[source] - load / view.capacity[source],
        loads[target] + load / view.capacity[target],
    )
    idle = all(target not in (one.upstream, one.target) for one in items)
    gain = loads[source] - after
    if idle or view.rates.total() <= IDLE_RATE:
        return Move(first, last, target) if gain > 0 else None
    if gain < view.rules.min_gain:
        return None
    return Move(first, last, target)


def _window(
    view: Inputs, one: holdings.Holding, wanted: float
) -> tuple[float, int, int] | None:
    """Return the neighbouring buckets with the most load up to `wanted`."""
    base = BASE_RATE * rates.BUCKET_KEYS
    loads = [base + rate for rate in view.rates.buckets(one.first, one.last)]
    best = (0.0, 0, 0)
    begin = 0
    total = 0.0
    for place, load in enumerate(loads):
        total += load
        while total > wanted and begin <= place:
            total -= loads[begin]
            begin += 1
        # At least 2% more, or a wider window would gain nothing.
        if begin <= place and total > best[0] * 1.02:
            best = (total, begin, place)
    if not best[0]:
        return None
    first = one.first + best[1] * rates.BUCKET_KEYS
    last = one.first + (best[2] + 1) * rates.BUCKET_KEYS - 1
    return best[0], first, min(last, one.last)
