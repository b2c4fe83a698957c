"""Plans: which upstream owns each slice, and who succeeds it.

Rendezvous hashing with bounded loads moves slices that are not affected when
a bound is reached. A plan has its predecessor at hand, so quotas are computed
instead, and only slices above a quota or without an owner move.
"""

from __future__ import annotations

import math
import typing

from knapweedhall_ownership import slices as slice_numbers
from knapweedhall_records import bodies

SUCCESSORS = 2
PLAN_CHUNK = 4096
# Keeps the rounding of weights from adding a slice to a whole quota.
ROUNDING = 1e-9


class Candidate(typing.NamedTuple):
    """An upstream that can own slices.

    Attributes
    ----------
    name : str
        Name of the upstream.
    failure_domain : str
        Its failure domain.
    weight : float
        Its share of the slices relative to the others, above 0.
    """

    name: str
    failure_domain: str
    weight: float = 1.0


def make_plan(
    slices: int,
    upstreams: typing.Sequence[Candidate],
    previous: bodies.Plan | None = None,
    successors: int = SUCCESSORS,
    same_domain: bool = False,
    pinned: typing.Collection[int] = (),
) -> bodies.Plan:
    """Return a plan that moves as few slices as possible.

    Every upstream owns its weighted mean rounded down or up. Slices of an
    upstream that is gone go to their first named successor that has room,
    which is where the coordinator has put them already.

    Parameters
    ----------
    slices : int
        Number of slices.
    upstreams : sequence of Candidate
        Upstreams that are to own slices, at least one.
    previous : bodies.Plan or None
        Plan in force.
    successors : int
        Named successors per slice, fewer if there are not enough upstreams.
    same_domain : bool
        Whether successors have to be in the owner's failure domain, as for
        `stay` services.
    pinned : collection of int
        Slices that keep their owner while it is among `upstreams`, as those
        whose move between groups is not complete.

    Raises ValueError if there is no upstream.
    """
    if not upstreams:
        raise ValueError('a plan needs at least one upstream')
    ordered = sorted(upstreams)
    index = {each.name: number for number, each in enumerate(ordered)}
    lists = _known_lists(slices, previous, index)
    owners = _owners(lists, ordered, frozenset(pinned))
    assigned = _with_successors(owners, ordered, successors, same_domain)
    return bodies.Plan(
        tuple(each.name for each in ordered),
        assigned,
        _kept_hot_keys(slices, previous, index, ordered, owners, same_domain),
    )


def _known_lists(
    slices: int, previous: bodies.Plan | None, index: dict[str, int]
) -> list[list[int]]:
    """Return per slice the previous list; -1 stands for a gone upstream."""
    if previous is None:
        return [[-1]] * slices
    translated = [index.get(name, -1) for name in previous.upstreams]
    return [
        [translated[each] for each in indices] for indices in previous.slices
    ]


def _quotas(
    slices: int,
    upstreams: list[Candidate],
    loads: list[int],
    inherited: list[int],
) -> list[int]:
    total = math.fsum(each.weight for each in upstreams)
    means = [slices * each.weight / total for each in upstreams]
    quotas = [math.floor(mean + ROUNDING) for mean in means]

    def need(i: int) -> tuple[bool, bool, float, int]:
        # An upstream that owns more than its mean rounded down keeps one of
        # them where possible, as each such slice need not move; then come
        # those that have taken slices over as successors.
        after_takeover = loads[i] + inherited[i]
        return (
            loads[i] <= quotas[i],
            after_takeover <= quotas[i],
            quotas[i] - means[i],
            i,
        )

    order = sorted(range(len(upstreams)), key=need)
    for each in order[: slices - sum(quotas)]:
        quotas[each] += 1
    return quotas


def _owners(
    lists: list[list[int]],
    upstreams: list[Candidate],
    pinned: frozenset[int],
) -> list[int]:
    owners = [indices[0] for indices in lists]
    loads = _loads(owners, len(upstreams))
    heirs = [_heir(indices) for indices in lists if indices[0] < 0]
    inherited = _loads(heirs, len(upstreams))
    quotas = _quotas(len(lists), upstreams, loads, inherited)
    surplus = [max(0, load - quotas[i]) for i, load in enumerate(loads)]
    # The order by hash takes a donor's slices from all over the range.
    order = sorted(range(len(owners)), key=_scatter) if any(surplus) else []
    for number in order:
        owner = owners[number]
        if owner >= 0 and surplus[owner] and number not in pinned:
            surplus[owner] -= 1
            owners[number] = -1
    room = [
        quota - load
        for quota, load in zip(quotas, _loads(owners, len(upstreams)))
    ]
    _give_to_successors(owners, lists, room)
    _give_to_others(owners, room)
    return owners


def _heir(indices: list[int]) -> int:
    """Return the first live upstream of a list, -1 for none."""
    return next((each for each in indices if each >= 0), -1)


def _loads(owners: list[int], count: int) -> list[int]:
    loads = [0] * count
    for owner in owners:
        if owner >= 0:
            loads[owner] += 1
    return loads


def _scatter(number: int) -> int:
    return slice_numbers.hash_text(str(number))


def _give_to_successors(
    owners: list[int], lists: list[list[int]], room: list[int]
) -> None:
    for number, indices in enumerate(lists):
        if owners[number] >= 0 or indices[0] >= 0:
            continue
        for successor in indices[1:]:
            if successor >= 0 and room[successor] > 0:
                room[successor] -= 1
                owners[number] = successor
                break


def _give_to_others(owners: list[int], room: list[int]) -> None:
    places = [
        (slice_numbers.hash_text(f'{upstream} {place}'), upstream)
        for upstream, free in enumerate(room)
        for place in range(free)
    ]
    homeless = [number for number, owner in enumerate(owners) if owner < 0]
    for number, (_, upstream) in zip(homeless, sorted(places)):
        owners[number] = upstream


def _with_successors(
    owners: list[int],
    upstreams: list[Candidate],
    successors: int,
    same_domain: bool,
) -> tuple[tuple[int, ...], ...]:
    loads = _loads(owners, len(upstreams))
    rotations: dict[int, list[int]] = {}
    turn: dict[int, int] = {}
    assigned = []
    for owner in owners:
        if owner not in rotations:
            rotations[owner] = _rotation(owner, upstreams, loads, same_domain)
        position = turn[owner] = turn.get(owner, -1) + 1
        chosen = _successors(rotations[owner], position, successors)
        if chosen and not same_domain:
            _reach_another_domain(chosen, rotations[owner], owner, upstreams)
        assigned.append((owner, *chosen))
    return tuple(assigned)


def _rotation(
    owner: int,
    upstreams: list[Candidate],
    loads: list[int],
    same_domain: bool,
) -> list[int]:
    """Return the possible successors of an owner's slices in order.

    Those with the fewest slices for their weight come first, so that they
    have room when the owner is lost.
    """
    domain = upstreams[owner].failure_domain
    others = [
        number
        for number, each in enumerate(upstreams)
        if number != owner
        and (not same_domain or each.failure_domain == domain)
    ]
    name = upstreams[owner].name
    return sorted(
        others,
        key=lambda i: (
            loads[i] / upstreams[i].weight,
            slice_numbers.hash_text(f'{name} {upstreams[i].name}'),
        ),
    )


def _successors(rotation: list[int], position: int, wanted: int) -> list[int]:
    count = min(wanted, len(rotation))
    # The second successor moves on by one with each turn of the rotation, so
    # that slices with the same first successor have different second ones.
    if not count:
        return []
    turns, first = divmod(position, len(rotation))
    chosen = [rotation[first]]
    step = 1 + turns
    for number in range(1, count):
        place = (first + step + number - 1) % len(rotation)
        while rotation[place] in chosen:
            place = (place + 1) % len(rotation)
        chosen.append(rotation[place])
    return chosen


def _reach_another_domain(
    chosen: list[int],
    rotation: list[int],
    owner: int,
    upstreams: list[Candidate],
) -> None:
    """Make the last successor survive the loss of the owner's domain."""
    domain = upstreams[owner].failure_domain
    if any(upstreams[i].failure_domain != domain for i in chosen):
        return
    start = rotation.index(chosen[-1])
    for each in rotation[start:] + rotation[:start]:
        if upstreams[each].failure_domain != domain:
            chosen[-1] = each
            return


def _kept_hot_keys(
    slices: int,
    previous: bodies.Plan | None,
    index: dict[str, int],
    upstreams: list[Candidate],
    owners: list[int],
    same_domain: bool,
) -> dict[str, tuple[int, ...]]:
    kept: dict[str, tuple[int, ...]] = {}
    for key, indices in previous.hot_keys.items() if previous else ():
        names = (previous.upstreams[i] for i in indices) if previous else ()
        live = tuple(index[name] for name in names if name in index)
        plain = owners[slice_numbers.slice_of(key, slices)]
        # A hot key must not be in another lease group than its plain slice.
        if same_domain:
            domain = upstreams[plain].failure_domain
            live = tuple(
                i for i in live if upstreams[i].failure_domain == domain
            )
        if live:
            kept[key] = live
    return kept


def divide(service: str, plan: bodies.Plan) -> dict[str, bodies.Plan]:
    """Return the plan's chunks by record name; hot keys are in the first."""
    chunks = {}
    for first in range(0, len(plan.slices), PLAN_CHUNK):
        end = first + PLAN_CHUNK
        origins = {
            number: origin
            for number, origin in plan.origins.items()
            if first <= number < end
        }
        chunks[record_name(service, first, len(plan.slices))] = bodies.Plan(
            plan.upstreams,
            plan.slices[first:end],
            plan.hot_keys if first == 0 else {},
            origins,
        )
    return chunks


def record_name(service: str, first: int, slices: int) -> str:
    """Return the name of the plan record that starts with a slice."""
    return service if slices <= PLAN_CHUNK else f'{service}/{first}'


def join(chunks: typing.Mapping[int, bodies.Plan]) -> bodies.Plan:
    """Return the plan of chunks by their first slice."""
    names: dict[str, int] = {}
    lists: list[tuple[int, ...]] = []
    hot_keys: dict[str, tuple[int, ...]] = {}
    origins: dict[int, bodies.Origin] = {}
    for first in sorted(chunks):
        plan = chunks[first]
        new = [names.setdefault(name, len(names)) for name in plan.upstreams]
        lists += [tuple(new[i] for i in indices) for indices in plan.slices]
        for key, indices in plan.hot_keys.items():
            hot_keys[key] = tuple(new[i] for i in indices)
        origins.update(plan.origins)
    return bodies.Plan(tuple(names), tuple(lists), hot_keys, origins)


def moved(previous: bodies.Plan, plan: bodies.Plan) -> list[int]:
    """Return the slices whose owners differ."""
    return [
        number
        for number, (before, after) in enumerate(
            zip(previous.slices, plan.slices)
        )
        if previous.upstreams[before[0]] != plan.upstreams[after[0]]
    ]
