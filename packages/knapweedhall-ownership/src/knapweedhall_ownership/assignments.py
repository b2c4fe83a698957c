"""The plans in force, as one coordinator looks slices up in them."""

from __future__ import annotations

import typing

from knapweedhall_ownership import placement
from knapweedhall_ownership import slices
from knapweedhall_records import bodies


class _Chunk(typing.NamedTuple):
    version: int
    plan: bodies.Plan
    known_names: dict[tuple[int, ...], tuple[str, ...]]


class HotKey(typing.NamedTuple):
    """A hot key, its plain slice and its upstreams."""

    key: str
    plain: int
    names: tuple[str, ...]


class Change(typing.NamedTuple):
    """Slices whose lists differ, and hot keys that came or went."""

    slices: list[int]
    added: list[int]
    removed: list[int]


class Assignments:
    """Plans of the divided services."""

    def __init__(self) -> None:
        self.chunks: dict[tuple[str, int], _Chunk] = {}
        self.hot: dict[str, dict[int, HotKey]] = {}

    def set_plan(
        self,
        service: str,
        first: int,
        version: int,
        plan: bodies.Plan,
        count: int,
    ) -> Change | None:
        """Take a chunk; return what changed, None if it is not newer.

        `count` is the number of slices of the service.
        """
        known = self.chunks.get((service, first))
        if known and known.version >= version:
            return None
        before = known.plan if known else None
        self.chunks[service, first] = _Chunk(version, plan, {})
        changed = [
            first + place
            for place, indices in enumerate(plan.slices)
            if before is None
            or _names(before, before.slices[place]) != _names(plan, indices)
        ]
        if first:
            return Change(changed, [], [])
        return self._set_hot(service, plan, count, changed)

    def _set_hot(
        self, service: str, plan: bodies.Plan, count: int, changed: list[int]
    ) -> Change:
        before = self.hot.get(service, {})
        after: dict[int, HotKey] = {}
        for key, indices in sorted(plan.hot_keys.items()):
            # Of two keys with one number the first stays a hot key; planners
            # do not pick the second.
            after.setdefault(
                slices.hot_slice_of(key),
                HotKey(
                    key, slices.slice_of(key, count), _names(plan, indices)
                ),
            )
        self.hot[service] = after
        changed += [
            number
            for number, hot in after.items()
            if number in before and before[number] != hot
        ]
        return Change(
            changed,
            sorted(set(after) - set(before)),
            sorted(set(before) - set(after)),
        )

    def names(self, service: str, number: int) -> tuple[str, ...]:
        """Return the owner and the successors of a slice."""
        if slices.is_hot(number):
            hot = self.hot.get(service, {}).get(number)
            return hot.names if hot else ()
        first = number - number % placement.PLAN_CHUNK
        chunk = self.chunks.get((service, first))
        if chunk is None or number - first >= len(chunk.plan.slices):
            return ()
        indices = chunk.plan.slices[number - first]
        names = chunk.known_names.get(indices)
        if names is None:
            names = chunk.known_names[indices] = _names(chunk.plan, indices)
        return names

    def origin(self, service: str, number: int) -> bodies.Origin | None:
        """Return the group that has to release a slice first, if any."""
        if slices.is_hot(number):
            hot = self.hot.get(service, {}).get(number)
            return self.origin(service, hot.plain) if hot else None
        first = number - number % placement.PLAN_CHUNK
        chunk = self.chunks.get((service, first))
        return chunk.plan.origins.get(number) if chunk else None

    def hot_of(self, service: str, plain: int) -> list[int]:
        """Return the hot keys of a plain slice."""
        return [
            number
            for number, hot in self.hot.get(service, {}).items()
            if hot.plain == plain
        ]


def _names(
    plan: bodies.Plan, indices: typing.Iterable[int]
) -> tuple[str, ...]:
    return tuple(plan.upstreams[i] for i in indices)
