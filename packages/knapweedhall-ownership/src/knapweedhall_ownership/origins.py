"""Groups that have to release slices before their next owner starts."""

from __future__ import annotations

import typing

from knapweedhall_ownership import placement
from knapweedhall_ownership import slices
from knapweedhall_records import bodies


def mark_origins(
    plan: bodies.Plan,
    versions: typing.Mapping[int, int],
    previous: bodies.Plan | None,
    groups: typing.Mapping[str, str],
    released: typing.Callable[[int, bodies.Origin], bool],
) -> bodies.Plan:
    """Return the plan with the groups that have to release slices first.

    Parameters
    ----------
    plan : bodies.Plan
        Whole plan that `make_plan` returned.
    versions : mapping of int to int
        Version that the record of each chunk will have, by first slice.
    previous : bodies.Plan or None
        Whole plan in force.
    groups : mapping of str to str
        Lease group per upstream, also of those that are gone.
    released : callable
        Whether the release of a slice by its origin has been read.
    """
    if previous is None:
        return plan
    origins = {}
    for number, indices in enumerate(plan.slices):
        origin = previous.origins.get(number)
        before = _group(previous, previous.slices[number], groups)
        after = _group(plan, indices, groups)
        waiting = origin is not None and not released(number, origin)
        if origin and waiting and after != origin.group:
            origins[number] = origin
        elif before and before != after:
            # Also for a slice that goes back to its origin: the group in
            # between may have activated it when the release came in time.
            origins[number] = bodies.Origin(
                before, versions[number - number % placement.PLAN_CHUNK]
            )
    return plan._replace(origins=origins)


def keep_in_flight(
    plan: bodies.Plan,
    previous: bodies.Plan | None,
    groups: typing.Mapping[str, str],
    released: typing.Callable[[int, bodies.Origin], bool],
) -> bodies.Plan:
    """Return the plan without moves of waiting slices to a third group.

    A slice whose origin has not released it may be active in the origin or,
    if the release is just being read, in the next group. A third group could
    only wait for one of them, so such a slice goes back to its origin.
    """
    if previous is None:
        return plan
    lists = list(plan.slices)
    for number, origin in previous.origins.items():
        after = _group(plan, plan.slices[number], groups)
        before = _group(previous, previous.slices[number], groups)
        if after in (before, origin.group) or released(number, origin):
            continue
        home = [
            place
            for place, name in enumerate(plan.upstreams)
            if groups.get(name) == origin.group
        ]
        if home:
            first = slices.hash_text(str(number)) % len(home)
            lists[number] = tuple(home[first:] + home[:first])[
                : len(plan.slices[number])
            ]
    return plan._replace(slices=tuple(lists))


def _group(
    plan: bodies.Plan,
    indices: typing.Iterable[int],
    groups: typing.Mapping[str, str],
) -> str:
    names = (plan.upstreams[i] for i in indices)
    return next((groups[name] for name in names if name in groups), '')
