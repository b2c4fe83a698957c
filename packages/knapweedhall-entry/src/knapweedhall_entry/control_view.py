"""Lookups of the data path, answered from the permits and the records."""

from __future__ import annotations

import time
import typing

from knapweedhall_entry import fleet
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry import membership
from knapweedhall_entry import permit_task
from knapweedhall_ownership import groups
from knapweedhall_ownership import permits
from knapweedhall_ownership import shares
from knapweedhall_ownership import slices
from knapweedhall_records import bodies
from knapweedhall_records import ids

Found = interfaces.Route | interfaces.Forward | interfaces.NoRoute


class ControlView:
    """Implements `gateway.interfaces.Control`.

    Parameters
    ----------
    me : ids.InstanceId
        This instance.
    failure_domain : str
        Its failure domain.
    view : fleet.Fleet
        Upstreams, services and plans.
    held : permit_task.PermitTask
        Permits of this instance.
    members : membership.Membership
        Live peers and their forward addresses.
    """

    def __init__(
        self,
        me: ids.InstanceId,
        failure_domain: str,
        view: fleet.Fleet,
        held: permit_task.PermitTask,
        members: membership.Membership,
    ) -> None:
        self.me = me
        self.failure_domain = failure_domain
        self.view = view
        self.held = held
        self.members = members
        self.listeners: list[typing.Callable[[], None]] = []

    def subscribe(self, listener: typing.Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self.listeners.append(listener)

    def changed(self) -> None:
        """Tell the data path that lookups may return something else."""
        for listener in self.listeners:
            listener()

    def service(self, name: str) -> bodies.Service | None:
        """Return the service's record in force, or None."""
        return self.view.service(name)

    def route(self, now: float, service: str, key: str) -> Found:
        """Return where a request for a key of a divided service goes."""
        record = self.view.service(service)
        if record is None:
            return interfaces.NoRoute('unknown-service', lasting=True)
        planned = self.planned_owner(service, record, key)
        if planned is None:
            return interfaces.NoRoute('no-plan')
        reason = 'no-permit'
        groups_order = self.search_order(service, record, planned)
        for group in groups_order:
            table = self.held.table(group)
            if table is None:
                continue
            found = table.route(now, service, key)
            if isinstance(found, permits.Route):
                return self.use(now, table, found)
            if group == groups_order[0]:
                reason = found.reason
        return self.elsewhere(record, planned, reason)

    def use(
        self, now: float, table: permits.PermitTable, found: permits.Route
    ) -> Found:
        """Return the route if this instance has a share of its upstream."""
        if table.share(now, found.upstream).slots > 0:
            return interfaces.Route(*found)
        return self.forward(found.upstream)

    def planned_owner(
        self, service: str, record: bodies.Service, key: str
    ) -> str | None:
        """Return the upstream that the plan in force names for a key."""
        number = slices.slice_of(key, record.slices)
        for first, chunk in self.view.plan_chunks(service).items():
            plan = chunk.body
            if not isinstance(plan, bodies.Plan):
                continue
            if first == 0 and key in plan.hot_keys:
                return plan.upstreams[plan.hot_keys[key][0]]
            if first <= number < first + len(plan.slices):
                return plan.upstreams[plan.slices[number - first][0]]
        return None

    def search_order(
        self, service: str, record: bodies.Service, planned: str
    ) -> list[str]:
        """Return the groups that may own a key, the planned one first.

        During a move between groups the old group still owns the key.
        """
        if record.partition_mode == 'handover':
            return [groups.SERVICE_PREFIX + service]
        upstream = self.view.upstreams.get(planned)
        first = upstream.group if upstream else ''
        return sorted(self.held.groups, key=lambda group: group != first)

    def elsewhere(
        self, record: bodies.Service, planned: str, reason: str
    ) -> Found:
        """Return where to send a request that this instance cannot route.

        Another failure domain may be able to serve its keys although its
        permits do not reach this instance.
        """
        upstream = self.view.upstreams.get(planned)
        remote = (
            upstream is not None
            and record.partition_mode == 'stay'
            and upstream.view.failure_domain != self.failure_domain
        )
        if not remote or reason == 'no-owner':
            return interfaces.NoRoute(reason)
        found = self.forward(planned)
        return (
            found
            if isinstance(found, interfaces.Forward)
            else (interfaces.NoRoute(reason))
        )

    def forward(
        self, upstream: str
    ) -> interfaces.Forward | interfaces.NoRoute:
        """Return the instances that have shares of an upstream."""
        known = self.view.upstreams.get(upstream)
        if known is None:
            return interfaces.NoRoute('no-owner')
        domain = known.view.failure_domain
        chosen = shares.choose_instances(upstream, self.instances(domain))
        peers = self.peers(each for each in chosen if each != self.me)
        if peers:
            return interfaces.Forward(peers)
        return interfaces.NoRoute('no-share')

    def instances(self, domain: str) -> list[ids.InstanceId]:
        """Return the instances of a failure domain that take requests.

        One that is not ready may lack the configuration and would refuse a
        request for good.
        """
        found = [
            state.instance
            for state in self.members.live().values()
            if state.heartbeat.failure_domain == domain
            and state.heartbeat.ready
        ]
        return found + [self.me] * (domain == self.failure_domain)

    def peers(
        self, chosen: typing.Iterable[ids.InstanceId]
    ) -> tuple[interfaces.Peer, ...]:
        """Return instances with their forward addresses."""
        found = []
        for instance in chosen:
            address = parse(self.members.forward_address(instance.name))
            if address is not None:
                found.append(interfaces.Peer(instance.name, address))
        return tuple(found)

    def candidates(
        self, now: float, service: str
    ) -> (
        tuple[interfaces.Route, ...] | interfaces.Forward | interfaces.NoRoute
    ):
        """Return the upstreams of a `choice` service to choose from.

        Those of the own failure domain are used while there are any.
        """
        if self.view.service(service) is None:
            return interfaces.NoRoute('unknown-service', lasting=True)
        upstreams = self.view.of_service(service)
        found = []
        for upstream in upstreams:
            table = self.held.table(upstream.group)
            name = upstream.view.name
            if table is None or table.share(now, name).slots < 1:
                continue
            token = ids.Token(table.term, 0)
            found.append(interfaces.Route(0, name, token, table.deadline))
        if found:
            return tuple(found)
        for upstream in upstreams:
            forward = self.forward(upstream.view.name)
            live = upstream.view.state == 'live'
            if live and isinstance(forward, interfaces.Forward):
                return forward
        return interfaces.NoRoute('no-upstream')

    def address(self, upstream: str) -> interfaces.Address | None:
        """Return the address of an upstream, or None if it has left."""
        known = self.view.upstreams.get(upstream)
        return parse(known.address) if known else None

    def share(self, upstream: str) -> interfaces.Share | None:
        """Return this instance's share of an upstream, or None for none."""
        known = self.view.upstreams.get(upstream)
        table = self.held.table(known.group) if known else None
        if known is None or table is None:
            return None
        found = table.share(time.monotonic(), upstream)
        if found == shares.NO_SHARE:
            return None
        return interfaces.Share(
            found.slots,
            found.connections,
            found.cold,
            known.view.limits.connect_cost_ms,
        )


def parse(text: str) -> interfaces.Address | None:
    """Return an address of the list or a heartbeat, None if malformed."""
    host, _, port = text.rpartition(':')
    if not (host and port.isdecimal()):
        return None
    return interfaces.Address(host, int(port))
