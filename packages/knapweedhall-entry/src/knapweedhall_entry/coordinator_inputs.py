"""Feeds a coordinator with records, upstreams and instances."""

from __future__ import annotations

import typing

from knapweedhall_entry import fleet
from knapweedhall_entry import membership
from knapweedhall_ownership import configuration
from knapweedhall_ownership import coordinator
from knapweedhall_records import bodies
from knapweedhall_records import ids

ByDomain = dict[str, list[ids.InstanceId]]


class Inputs:
    """What the coordinators of all groups need to know.

    Parameters
    ----------
    me : ids.InstanceId
        This instance.
    failure_domain : str
        Its failure domain.
    view : fleet.Fleet
        Upstreams, marks and records.
    members : membership.Membership
        Live peers.
    """

    def __init__(
        self,
        me: ids.InstanceId,
        failure_domain: str,
        view: fleet.Fleet,
        members: membership.Membership,
    ) -> None:
        self.me = me
        self.failure_domain = failure_domain
        self.view = view
        self.members = members

    def feed(
        self, target: coordinator.Coordinator, group: str, now: float
    ) -> None:
        """Tell a coordinator all that it needs; repeats change nothing."""
        upstreams = self.view.by_group().get(group, [])
        services = sorted({each.view.service for each in upstreams})
        for name in services:
            service = self.view.service(name)
            if service is not None:
                target.set_service(name, service)
        target.set_upstreams(now, [each.view for each in upstreams])
        target.set_instances(self.instances())
        for name, service in self.view.services().items():
            if service.mode == 'divided':
                self.feed_plan(target, group, name, now)
        for out in self.view.groups_out(now):
            target.group_out(out)

    def feed_plan(
        self,
        target: coordinator.Coordinator,
        group: str,
        service: str,
        now: float,
    ) -> None:
        """Tell a coordinator the plan of one service and its releases."""
        releases = self.releases(service)
        for first, record in self.view.plan_chunks(service).items():
            if not isinstance(record.body, bodies.Plan):
                continue
            elsewhere = self.elsewhere(group, first, record.body)
            target.set_plan(
                now, service, first, record.version, record.body, elsewhere
            )
            for release in releases:
                if release.plan_version == record.version:
                    target.release_read(service, release.group, release.slices)

    def elsewhere(
        self, group: str, first: int, plan: bodies.Plan
    ) -> dict[int, str]:
        """Return the slices of a group that another group gives up first.

        A plan that moves a slice between groups keeps the old owner as the
        last entry of the slice's list, so that every reader knows the old
        group, even one that never saw the previous plan.
        """
        found: dict[int, str] = {}
        for position, indices in enumerate(plan.slices):
            owner = self.group_of(plan.upstreams[indices[0]])
            last = self.group_of(plan.upstreams[indices[-1]])
            if owner == group and last not in ('', group):
                found[first + position] = last
        return found

    def group_of(self, upstream: str) -> str:
        """Return the group of an upstream, '' if it is not known."""
        known = self.view.upstreams.get(upstream)
        return known.group if known else ''

    def releases(self, service: str) -> list[bodies.Release]:
        """Return the release records of a service."""
        found = []
        for name in self.view.names('release'):
            record = self.view.store.get('release', name)
            if record is None or not isinstance(record.body, bodies.Release):
                continue
            if record.body.service == service:
                found.append(record.body)
        return found

    def release_version(self, name: str) -> int:
        """Return the version of a release record, 0 for none."""
        key: configuration.Key = ('release', name)
        entry = self.view.store.entries.get(key)
        return entry.record.version if entry else 0

    def instances(self) -> ByDomain:
        """Return the live instances per failure domain, with this one."""
        found: ByDomain = {self.failure_domain: [self.me]}
        for state in self.members.live().values():
            domain = state.heartbeat.failure_domain
            found.setdefault(domain, []).append(state.instance)
        return found

    def address(self, upstream: str) -> str:
        """Return the address of an upstream, '' if it has left."""
        known = self.view.upstreams.get(upstream)
        return known.address if known else ''

    def upstreams(self, group: str) -> typing.Sequence[str]:
        """Return the names of a group's upstreams."""
        return [each.view.name for each in self.view.by_group().get(group, [])]
