"""Lease groups and the sets of electors that vote for them."""

from __future__ import annotations

import typing

from knapweedhall_ownership import slices
from knapweedhall_records import bodies
from knapweedhall_records import ids

DOMAIN_PREFIX = 'domain/'
SERVICE_PREFIX = 'service/'
DOMAIN_ELECTORS = 3
MAX_ELECTORS = 5

Electors = tuple[ids.InstanceId, ...]


class Instance(typing.NamedTuple):
    """A live instance and its failure domain."""

    instance: ids.InstanceId
    failure_domain: str


def group_of(
    service_name: str, service: bodies.Service, failure_domain: str
) -> str:
    """Return the lease group of a service's upstreams in a failure domain."""
    if service.mode == 'divided' and service.partition_mode == 'handover':
        return SERVICE_PREFIX + service_name
    return DOMAIN_PREFIX + failure_domain


def elector_set(
    group: str,
    instances: typing.Sequence[Instance],
    current: Electors = (),
) -> Electors:
    """Return the electors that a group should have.

    Parameters
    ----------
    group : str
        Lease group.
    instances : sequence of Instance
        Live instances that stay, without those that are leaving.
    current : tuple of ids.InstanceId
        Electors in force; those that can stay are kept, in their order.

    Returns
    -------
    tuple of ids.InstanceId
        Wanted electors; the order is the candidates' rank. Empty if no
        instance qualifies.
    """
    ranked = _ranked(group, instances, current)
    if group.startswith(DOMAIN_PREFIX):
        domain = group.removeprefix(DOMAIN_PREFIX)
        return _domain_electors(domain, ranked)
    return _service_electors(ranked)


def _ranked(
    group: str, instances: typing.Sequence[Instance], current: Electors
) -> list[Instance]:
    position = {instance: rank for rank, instance in enumerate(current)}

    def order(candidate: Instance) -> tuple[int, int, ids.InstanceId]:
        text = f'{group} {candidate.instance.name}'
        return (
            position.get(candidate.instance, len(current)),
            slices.hash_text(text),
            candidate.instance,
        )

    return sorted(instances, key=order)


def _domain_electors(domain: str, ranked: list[Instance]) -> Electors:
    local = [each for each in ranked if each.failure_domain == domain]
    chosen = local[:DOMAIN_ELECTORS]
    # A neighbour beside two local electors leaves the majority in the domain;
    # beside a single one it could block that one during a partition.
    if len(chosen) == DOMAIN_ELECTORS - 1:
        others = [each for each in ranked if each.failure_domain != domain]
        chosen += others[:1]
    return tuple(each.instance for each in chosen)


def _service_electors(ranked: list[Instance]) -> Electors:
    domains = {each.failure_domain for each in ranked}
    size = MAX_ELECTORS if len(domains) >= MAX_ELECTORS else DOMAIN_ELECTORS
    used: dict[str, int] = {}
    chosen: list[Instance] = []
    # With fewer failure domains than electors some domains get a second one.
    while len(chosen) < min(size, len(ranked)):
        rest = [each for each in ranked if each not in chosen]
        best = min(rest, key=lambda each: used.get(each.failure_domain, 0))
        used[best.failure_domain] = used.get(best.failure_domain, 0) + 1
        chosen.append(best)
    if len(chosen) % 2 == 0:
        chosen = chosen[:-1]
    return tuple(each.instance for each in chosen)


def next_electors(current: Electors, wanted: Electors) -> Electors | None:
    """Return the next set on the way from `current` to `wanted`.

    Any two majorities of consecutive sets intersect only if the sets differ
    in one member, so a step adds or removes a single one.

    Returns
    -------
    tuple of ids.InstanceId or None
        The next set, None if the members are the wanted ones.
    """
    missing = [each for each in wanted if each not in current]
    surplus = [each for each in current if each not in wanted]
    names = {each.name for each in current}
    addable = [each for each in missing if each.name not in names]
    if addable:
        return (*current, addable[0])
    if surplus:
        # A restarted instance is removed under its old incarnation before it
        # is added, as a set must not name an instance twice.
        restarted = {each.name for each in missing}
        surplus.sort(key=lambda each: each.name not in restarted)
        return tuple(each for each in current if each != surplus[0])
    return None
