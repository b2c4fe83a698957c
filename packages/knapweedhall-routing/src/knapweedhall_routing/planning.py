"""Plans which key ranges are moved, and to which upstream."""

from __future__ import annotations

import dataclasses
import statistics
import typing

from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import rates

# Keys are moved away from an upstream if its load, as a share of its capacity,
# exceeds the mean by this factor ...
OVERLOAD_FACTOR = 1.3
# ... and exceeds this value; below it, requests hardly wait.
MIN_OVERLOAD_USAGE = 0.45
# Requests per second of a service up to which its keys are distributed evenly
# instead of by load.
IDLE_RATE_PER_S = 2.0
# Requests per second that each key is assumed to receive in addition to its
# measured rate; distributes keys evenly while there is no traffic.
BASE_RATE_PER_S = 0.0002
# Maximum number of ranges per upstream; each range is renewed on its own.
MAX_RANGES_PER_UPSTREAM = 12
# A hot bucket is moved only to an upstream that is faster by this factor;
# measured service times of one upstream vary by less between two plans.
MIN_HOT_BUCKET_SPEEDUP = 1.3
# Least capacity that an upstream is assumed to have during a pause.
MIN_PAUSED_CAPACITY_PER_S = 0.1
# Load of one part of an orphaned range, as a share of the median upstream's
# capacity; ranges of an upstream that leaves are distributed in these parts.
ORPHAN_PART_SHARE = 0.15


class Move(typing.NamedTuple):
    """A key range and the upstream that it is moved to."""

    first: int
    last: int
    target: str


class Rules(typing.NamedTuple):
    """Operators' rules for moving the keys of a service.

    Attributes
    ----------
    hot_key_share : float
        A single bucket that needs at least this share of its upstream's
        capacity is moved to a faster upstream, as splitting ranges can't
        relieve its owner.
    min_gain : float
        Share of capacity by which a move must lower the higher usage of its
        source and its target.
    cooldown_s : float
        Time for which a moved range is not moved again; the rates that led to
        the move take this long to settle.
    max_moves : int
        Maximum number of rebalancing moves that one plan begins.
    """

    hot_key_share: float = 0.6
    min_gain: float = 0.06
    cooldown_s: float = 3.0
    max_moves: int = 6


class Inputs(typing.NamedTuple):
    """Inputs of a plan.

    Attributes
    ----------
    capacity : dict of str to float
        Requests per second that each upstream that may get keys can serve.
    rates : rates.KeyRates
        Measured request rates.
    rules : Rules
        Rules of the service.
    """

    capacity: dict[str, float]
    rates: rates.KeyRates
    rules: Rules = Rules()


def _load(inputs: Inputs, first: int, last: int) -> float:
    """Return the load of a key range, requests per second."""
    return inputs.rates.rate(first, last) + BASE_RATE_PER_S * (
        last - first + 1
    )


def _usage(
    items: typing.Iterable[holdings.Holding], inputs: Inputs
) -> dict[str, float]:
    """Return the load of each upstream as a share of its capacity.

    A range that is being moved counts at its target; otherwise the next plan
    would move more of the same load.
    """
    usage = dict.fromkeys(inputs.capacity, 0.0)
    for holding in items:
        name = holding.target or holding.upstream
        if name in usage:
            usage[name] += (
                _load(inputs, holding.first, holding.last)
                / inputs.capacity[name]
            )
    return usage


def with_pauses(
    items: typing.Iterable[holdings.Holding],
    inputs: Inputs,
    pauses: typing.Mapping[str, float],
) -> Inputs:
    """Return inputs in which upstreams that asked for a pause are full.

    It answers an upstream that turns away requests for its keys: it gets no
    more keys, and the longer its pause lasts, the more are moved away from
    it.

    Parameters
    ----------
    items : iterable of holdings.Holding
        All ranges.
    inputs : Inputs
        Inputs without regard to pauses.
    pauses : dict of str to float
        Time left of the pause of each upstream that asked for one, seconds.
    """
    loads = dict.fromkeys(pauses, 0.0)
    for holding in items:
        name = holding.target or holding.upstream
        if name in loads:
            loads[name] += _load(inputs, holding.first, holding.last)
    capacity = {
        name: (
            min(
                value,
                max(
                    MIN_PAUSED_CAPACITY_PER_S,
                    loads[name] / (1 + pauses[name]),
                ),
            )
            if name in pauses
            else value
        )
        for name, value in inputs.capacity.items()
    }
    return inputs._replace(capacity=capacity)


def place_orphans(
    items: typing.Sequence[holdings.Holding],
    inputs: Inputs,
    orphans: typing.Sequence[holdings.Holding],
) -> list[Move]:
    """Return moves of orphans, ranges that can't stay with their holder.

    Ranges with a high load are split, so that no single upstream takes over
    all the load of one that left.
    """
    if not inputs.capacity:
        return []
    usage = _usage(items, inputs)
    parts = []
    # The median, since the capacity of the slowest upstream would fragment all
    # ranges as soon as one upstream almost stops working.
    max_part_load = ORPHAN_PART_SHARE * statistics.median(
        inputs.capacity.values()
    )
    spare_ranges = MAX_RANGES_PER_UPSTREAM * len(inputs.capacity) - len(items)
    for orphan in orphans:
        load = _load(inputs, orphan.first, orphan.last)
        part_count = max(1, min(int(load / max_part_load) + 1, spare_ranges))
        if orphan.last - orphan.first + 1 == model.KEY_COUNT:
            part_count = max(part_count, len(inputs.capacity))
        orphan_parts = _split_by_load(
            orphan, min(part_count, 4 * len(inputs.capacity)), inputs
        )
        spare_ranges -= len(orphan_parts) - 1
        parts += orphan_parts
    moves = []
    for load, first, last in sorted(parts, reverse=True):
        target = min(
            usage,
            key=lambda name: usage[name] + load / inputs.capacity[name],
        )
        usage[target] += load / inputs.capacity[target]
        moves.append(Move(first, last, target))
    return sorted(moves)


def _split_by_load(
    holding: holdings.Holding, part_count: int, inputs: Inputs
) -> list[tuple[float, int, int]]:
    """Split a range into parts of about equal load.

    Returns
    -------
    list of tuple of float, int and int
        Load, first and last key of each part.
    """
    total = _load(inputs, holding.first, holding.last)
    parts = []
    begin = holding.first
    load = 0.0
    base = BASE_RATE_PER_S * rates.BUCKET_KEYS
    buckets = inputs.rates.bucket_rates(holding.first, holding.last)
    for number, rate in enumerate(buckets, 1):
        load += rate + base
        end = holding.first + number * rates.BUCKET_KEYS - 1
        if end >= holding.last:
            break
        if load >= total / part_count:
            parts.append((load, begin, end))
            begin, load = end + 1, 0.0
    parts.append((load, begin, holding.last))
    return parts


def rebalance(
    items: typing.Sequence[holdings.Holding],
    inputs: Inputs,
    now: float,
) -> list[Move]:
    """Return moves of single hot ranges from the busiest upstreams.

    The borders of ranges are not shifted, as that would move many more keys:
    each moved key starts with a cold cache, and an instance with an outdated
    table sends its requests to the wrong upstream.
    """
    if len(inputs.capacity) < 2:
        return []
    planned = holdings.Holdings('')
    planned.items = [dataclasses.replace(holding) for holding in items]
    usage = _usage(planned.items, inputs)
    total = sum(inputs.capacity.values())
    mean = sum(usage[name] * inputs.capacity[name] for name in usage) / total
    overload = OVERLOAD_FACTOR * mean
    if inputs.rates.total() > IDLE_RATE_PER_S:
        overload = max(overload, MIN_OVERLOAD_USAGE)
    exhausted: set[str] = set()
    moves: list[Move] = []
    while len(moves) < inputs.rules.max_moves:
        sources = [name for name in usage if name not in exhausted]
        if not sources or len(planned.items) > MAX_RANGES_PER_UPSTREAM * len(
            usage
        ):
            break
        source = max(sources, key=lambda name: usage[name])
        used = {
            holding.target or holding.upstream for holding in planned.items
        }
        if usage[source] < overload and used >= set(usage):
            break
        target = min(usage, key=lambda name: usage[name])
        move = _hot_bucket(planned.items, inputs, now, source) or _hot_window(
            planned.items, inputs, now, source, target, usage
        )
        if move is None:
            exhausted.add(source)
            continue
        part = planned.split(move.first, move.last)
        part.moving, part.target = True, move.target
        usage = _usage(planned.items, inputs)
        moves.append(move)
    return moves


def _may_move(holding: holdings.Holding, source: str, now: float) -> bool:
    """Return whether a range may be moved away from a busy upstream."""
    return (
        holding.upstream == source
        and holding.confirmed
        and not holding.moving
        and not holding.in_flight
        and holding.cooldown_until <= now
    )


def _hot_bucket(
    items: typing.Sequence[holdings.Holding],
    inputs: Inputs,
    now: float,
    source: str,
) -> Move | None:
    """Return a move of a bucket that needs most of its upstream's capacity.

    It is moved to the fastest upstream, whose other ranges are moved away by
    the next moves.
    """
    fastest = max(inputs.capacity, key=lambda name: inputs.capacity[name])
    if (
        inputs.capacity[fastest]
        < MIN_HOT_BUCKET_SPEEDUP * inputs.capacity[source]
    ):
        return None
    min_rate = inputs.rules.hot_key_share * inputs.capacity[source]
    for holding in items:
        if not _may_move(holding, source, now):
            continue
        buckets = inputs.rates.bucket_rates(holding.first, holding.last)
        hottest = max(buckets)
        if hottest >= min_rate:
            first = holding.first + buckets.index(hottest) * rates.BUCKET_KEYS
            last = min(first + rates.BUCKET_KEYS - 1, holding.last)
            return Move(first, last, fastest)
    return None


def _hot_window(
    items: typing.Sequence[holdings.Holding],
    inputs: Inputs,
    now: float,
    source: str,
    target: str,
    usage: typing.Mapping[str, float],
) -> Move | None:
    """Return the move of neighboring buckets that balances two upstreams."""
    gap = usage[source] - usage[target]
    # The load whose move leads to the same usage of both upstreams.
    max_load = gap / (
        1 / inputs.capacity[source] + 1 / inputs.capacity[target]
    )
    best: tuple[float, int, int, int] | None = None
    for holding in items:
        if not _may_move(holding, source, now):
            continue
        window = _busiest_window(inputs, holding, max_load)
        if window is None:
            continue
        load, first, last = window
        # Rounded, so that the narrowest of the windows with about the same
        # load is moved: each key that changes its owner has a cost.
        rank = (round(8 * load / max_load), first - last, first, last)
        if best is None or rank > best:
            best = rank
    if best is None:
        return None
    first, last = best[2:]
    load = _load(inputs, first, last)
    usage_after = max(
        usage[source] - load / inputs.capacity[source],
        usage[target] + load / inputs.capacity[target],
    )
    target_is_unused = all(
        target not in (holding.upstream, holding.target) for holding in items
    )
    gain = usage[source] - usage_after
    if target_is_unused or inputs.rates.total() <= IDLE_RATE_PER_S:
        return Move(first, last, target) if gain > 0 else None
    if gain < inputs.rules.min_gain:
        return None
    return Move(first, last, target)


def _busiest_window(
    inputs: Inputs, holding: holdings.Holding, max_load: float
) -> tuple[float, int, int] | None:
    """Return the neighboring buckets with the highest load up to `max_load`.

    Returns
    -------
    tuple of float, int and int, or None
        Load, first and last key; None if each bucket exceeds `max_load`.
    """
    base = BASE_RATE_PER_S * rates.BUCKET_KEYS
    loads = [
        base + rate
        for rate in inputs.rates.bucket_rates(holding.first, holding.last)
    ]
    best = (0.0, 0, 0)
    begin = 0
    total = 0.0
    for end, load in enumerate(loads):
        total += load
        while total > max_load and begin <= end:
            total -= loads[begin]
            begin += 1
        # A window must have at least 2% more load than the best one before, or
        # a wider one without a real gain would replace it.
        if begin <= end and total > best[0] * 1.02:
            best = (total, begin, end)
    if not best[0]:
        return None
    first = holding.first + best[1] * rates.BUCKET_KEYS
    last = holding.first + (best[2] + 1) * rates.BUCKET_KEYS - 1
    return best[0], first, min(last, holding.last)
