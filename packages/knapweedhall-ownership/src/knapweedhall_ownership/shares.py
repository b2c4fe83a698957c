"""Division of an upstream's limits over the instances."""

from __future__ import annotations

import typing

from knapweedhall_ownership import messages
from knapweedhall_ownership import slices
from knapweedhall_records import ids

MAX_INSTANCES = 4
NO_SHARE = messages.Share(0, 0, 0)


def choose_instances(
    upstream: str,
    instances: typing.Iterable[ids.InstanceId],
    count: int = MAX_INSTANCES,
) -> list[ids.InstanceId]:
    """Return the instances that send to an upstream, by rendezvous hashing.

    `instances` are those of the upstream's failure domain.
    """
    return sorted(
        instances,
        key=lambda each: (slices.hash_text(f'{upstream} {each.name}'), each),
    )[:count]


def divide(limit: int, demand: typing.Sequence[float]) -> list[int]:
    """Divide a limit in proportion to the demand, the sum being the limit.

    Every member gets at least 1 if the limit allows.
    """
    count = len(demand)
    if limit <= count:
        order = sorted(range(count), key=lambda i: (-demand[i], i))
        return [int(order.index(i) < limit) for i in range(count)]
    rest = limit - count
    total = sum(demand)
    exact = [rest * each / total if total else rest / count for each in demand]
    parts = [1 + int(each) for each in exact]
    order = sorted(range(count), key=lambda i: (int(exact[i]) - exact[i], i))
    for i in order[: limit - sum(parts)]:
        parts[i] += 1
    return parts


class Reservation(typing.NamedTuple):
    """Share in one offer; it counts until `end` unless replaced."""

    version: int
    end: float
    share: messages.Share


class ShareBook:
    """Shares of all upstreams of a group within one term.

    The sum of the shares in all permits that may still be in use never
    exceeds an upstream's limit.
    """

    def __init__(self) -> None:
        self.version = 0
        self.limits: dict[str, messages.Share] = {}
        self.members: dict[str, list[ids.InstanceId]] = {}
        self.upstreams_of: dict[ids.InstanceId, set[str]] = {}
        self.demand: dict[ids.InstanceId, dict[str, float]] = {}
        self.reserved: dict[str, dict[ids.InstanceId, list[Reservation]]] = {}

    def set_limit(self, upstream: str, limit: messages.Share) -> None:
        """Set what all instances together may use of an upstream."""
        self.limits[upstream] = limit

    def set_instances(
        self, upstream: str, instances: typing.Iterable[ids.InstanceId]
    ) -> None:
        """Set the live instances of an upstream's failure domain."""
        for each in self.members.get(upstream, ()):
            self.upstreams_of[each].discard(upstream)
        chosen = choose_instances(upstream, instances)
        self.members[upstream] = chosen
        for each in chosen:
            self.upstreams_of.setdefault(each, set()).add(upstream)

    def set_demand(
        self, instance: ids.InstanceId, demand: typing.Mapping[str, float]
    ) -> None:
        """Note the demand of an instance per upstream."""
        self.demand[instance] = dict(demand)

    def offer(
        self, now: float, instance: ids.InstanceId, end: float
    ) -> tuple[int, dict[str, messages.Share]]:
        """Return the version and shares of a permit that ends at `end`."""
        self.version += 1
        shares = {}
        for upstream in sorted(self.upstreams_of.get(instance, ())):
            target = self._target(upstream, instance)
            free = self.available(now, upstream, instance)
            share = messages.Share(*map(min, zip(target, free)))
            if share == NO_SHARE:
                continue
            shares[upstream] = share
            held = self.reserved.setdefault(upstream, {})
            held.setdefault(instance, []).append(
                Reservation(self.version, end, share)
            )
        return self.version, shares

    def _target(
        self, upstream: str, instance: ids.InstanceId
    ) -> messages.Share:
        members = self.members[upstream]
        position = members.index(instance)
        demand = [
            self.demand.get(each, {}).get(upstream, 0.0) for each in members
        ]
        limit = self.limits.get(upstream, NO_SHARE)
        return messages.Share(
            *(divide(part, demand)[position] for part in limit)
        )

    def available(
        self, now: float, upstream: str, instance: ids.InstanceId
    ) -> messages.Share:
        """Return what other instances cannot be using any more."""
        used = [0, 0, 0]
        held = self.reserved.get(upstream, {})
        for other, reservations in list(held.items()):
            live = [each for each in reservations if each.end > now]
            held[other] = live
            if not live:
                del held[other]
            elif other != instance:
                for i in range(len(used)):
                    used[i] += max(each.share[i] for each in live)
        limit = self.limits.get(upstream, NO_SHARE)
        return messages.Share(
            *(max(0, part - taken) for part, taken in zip(limit, used))
        )

    def acknowledge(self, instance: ids.InstanceId, version: int) -> None:
        """Note that an instance holds a version; older ones end."""
        for held in self.reserved.values():
            if instance in held:
                held[instance] = [
                    each for each in held[instance] if each.version >= version
                ]
