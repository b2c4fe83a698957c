"""Feeds a coordinator with records, upstreams and instances."""

from __future__ import annotations


from knapweedhall_entry import fleet
from knapweedhall_entry import membership
from knapweedhall_ownership import coordinator
from knapweedhall_ownership import groups
from knapweedhall_records import bodies
from knapweedhall_records import ids

Revision = tuple[int, int, tuple[str, ...]]
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

    def revision(self, now: float) -> Revision:
        """Return a value that changes with anything that `feed` tells."""
        out = tuple(sorted(self.view.groups_out(now)))
        return self.view.revision, self.members.revision, out

    def feed(
        self, target: coordinator.Coordinator, group: str, now: float
    ) -> None:
        """Tell a coordinator all that it needs; repeats change nothing."""
        services = {
            name: service
            for name, service in self.view.services().items()
            if concerns(group, name, service)
        }
        for name, service in services.items():
            target.set_service(name, service)
        upstreams = self.view.by_group().get(group, [])
        target.set_upstreams(now, [each.view for each in upstreams])
        target.set_instances(self.instances())
        target.set_groups_out(self.view.groups_out(now))
        for release in self.view.releases():
            if release.service in services:
                target.release_read(release)
        for name, service in services.items():
            if service.mode == 'divided':
                self.feed_plan(target, name)

    def feed_plan(self, target: coordinator.Coordinator, service: str) -> None:
        """Tell a coordinator the plan of one service."""
        for first, record in self.view.plan_chunks(service).items():
            if isinstance(record.body, bodies.Plan):
                target.set_plan(service, first, record.version, record.body)

    def plan_offset(self, service: str) -> int:
        """Return the highest offset of the plan records in force."""
        return max(
            (
                self.view.store.entries['plan', record.name].offset
                for record in self.view.plan_chunks(service).values()
            ),
            default=0,
        )

    def release(self, name: str) -> tuple[int, tuple[int, ...]]:
        """Return version and slices of a release record, 0 for none."""
        record = self.view.store.get('release', name)
        if record is None or not isinstance(record.body, bodies.Release):
            return 0, ()
        return record.version, record.body.slices

    def instances(self) -> ByDomain:
        """Return the instances that send, per failure domain.

        A leaving instance still finishes requests.
        """
        found: ByDomain = {self.failure_domain: [self.me]}
        for state in self.members.live().values():
            if not (state.heartbeat.ready or state.heartbeat.leaving):
                continue
            domain = state.heartbeat.failure_domain
            found.setdefault(domain, []).append(state.instance)
        return found

    def address(self, upstream: str) -> str:
        """Return the address of an upstream, '' if it has left."""
        known = self.view.upstreams.get(upstream)
        return known.address if known else ''


def concerns(group: str, name: str, service: bodies.Service) -> bool:
    """Return whether a group can have upstreams of a service."""
    own = groups.SERVICE_PREFIX + name
    if service.mode == 'divided' and service.partition_mode == 'handover':
        return group == own
    return group.startswith(groups.DOMAIN_PREFIX)
