"""Decisions of a lease group's coordinator within one term."""

from __future__ import annotations

import typing

from knapweedhall_ownership import contacts
from knapweedhall_ownership import drains
from knapweedhall_ownership import election
from knapweedhall_ownership import holders
from knapweedhall_ownership import messages
from knapweedhall_ownership import orders
from knapweedhall_ownership import shares
from knapweedhall_ownership import slice_table
from knapweedhall_records import bodies
from knapweedhall_records import ids

# A step that comes later than this after the last one was paused.
STALL_S = 0.25

UpstreamView = orders.UpstreamView
Orders = orders.Orders


class Coordinator:
    """One term of one group.

    `step` has to be called at least every 0.1 s, after each input, and again
    while `busy` returns true.

    Parameters
    ----------
    group : str
        Lease group.
    term : int
        Encoded term of the lease.
    started : float
        Time at which the lease was won, on the clock of this process.
    """

    def __init__(self, group: str, term: int, started: float) -> None:
        self.group = group
        self.term = term
        self.closing = float('inf')
        self.stepped_at = self.resumed_at = started
        self.number = 0
        self.superseded_by = 0
        self.contacts: dict[str, contacts.Contact] = {}
        self.permits = holders.Holders()
        self.shares = shares.ShareBook()
        self.slices = slice_table.SliceTable(
            group, term, started, self.contacts, self.permits
        )
        self.releasing: dict[int, drains.Drain] = {}
        self.domains: dict[str, tuple[ids.InstanceId, ...]] = {}
        self.cold_budgets: dict[str, int] = {}
        self.hottest: dict[
            ids.InstanceId, dict[str, list[tuple[str, float]]]
        ] = {}

    def set_service(self, name: str, service: bodies.Service) -> None:
        """Take the record of a service that has upstreams in the group.

        It has to be known before the service's plan.
        """
        self.slices.services[name] = service
        self.slices.changed = True

    def set_upstreams(
        self, now: float, upstreams: typing.Sequence[orders.UpstreamView]
    ) -> None:
        """Take all upstreams of the group; those not named are gone."""
        for view in upstreams:
            contact = self.contacts.get(view.name)
            if contact is None:
                contact = contacts.Contact(view, now)
                self.contacts[view.name] = contact
            contact.view = view
            contact.gone = False
        named = {view.name for view in upstreams}
        for name, contact in self.contacts.items():
            contact.gone = name not in named
        self.slices.changed = True
        self._set_members()

    def set_instances(
        self, by_domain: typing.Mapping[str, typing.Iterable[ids.InstanceId]]
    ) -> None:
        """Take the live instances per failure domain, for the shares."""
        self.domains = {
            name: tuple(found) for name, found in by_domain.items()
        }
        self._set_members()

    def _set_members(self) -> None:
        for name, contact in self.contacts.items():
            domain = contact.view.failure_domain
            self.shares.set_instances(name, self.domains.get(domain, ()))

    def set_cold_budget(self, upstream: str, slots: int) -> None:
        """Set how many requests an upstream takes during a cold start."""
        self.cold_budgets[upstream] = slots

    def set_plan(
        self,
        service: str,
        first_slice: int,
        version: int,
        plan: bodies.Plan,
    ) -> None:
        """Take a plan, or one chunk of it, that is in force.

        Parameters
        ----------
        service : str
            Service.
        first_slice : int
            First slice of the chunk.
        version : int
            Version of the record; older ones are ignored.
        plan : bodies.Plan
            The chunk.
        """
        self.slices.set_plan(service, first_slice, version, plan)

    def release_read(self, release: bodies.Release) -> None:
        """Note a release record, of this or another group.

        `release.service` is the service, not the name of the plan's chunk.
        """
        for number in release.slices:
            key = release.service, number
            read = self.slices.releases_read.setdefault(key, {})
            read[release.group] = max(
                read.get(release.group, 0), release.plan_version
            )
        self.slices.changed = True

    def set_groups_out(self, groups: typing.Iterable[str]) -> None:
        """Take the groups marked out for `out_wait_ms` or longer."""
        self.slices.groups_out = set(groups)
        self.slices.changed = True

    def clock_read(
        self, now: float, upstream: str, incarnation: int, clock_ms: int
    ) -> None:
        """Take the clock of an upstream from the response to a probe.

        `now` is the time of receipt.
        """
        contact = self.contacts[upstream]
        contact.clock = contacts.Clock(incarnation, clock_ms, now)
        contact.sent_at = float('-inf')

    def granted(
        self,
        now: float,
        upstream: str,
        number: int,
        answer: messages.GrantAnswer,
    ) -> None:
        """Take the answer to a grant; `now` is the time of receipt."""
        contact = self.contacts[upstream]
        usable = contact.usable()
        confirmed = contact.take_answer(now, number, answer)
        self.slices.publish(upstream, confirmed)
        if not usable:
            self.slices.changed = True

    def grant_failed(self, now: float, upstream: str, number: int) -> None:
        """Note that a grant got no answer; it may still take effect."""
        self.contacts[upstream].failed(number)

    def grant_rejected(
        self, now: float, upstream: str, number: int, highest_term: int
    ) -> None:
        """Note that an upstream has seen a later term (409)."""
        self.contacts[upstream].failed(number)
        self.superseded_by = max(self.superseded_by, highest_term)

    def released(self, now: float, upstream: str, number: int) -> None:
        """Note that an upstream runs no more work of the released slices."""
        drain = self.releasing.pop(number, None)
        if drain is not None and drain.release_number == number:
            drain.released = True

    def release_failed(self, now: float, upstream: str, number: int) -> None:
        """Note that a release got no answer; it is repeated."""
        drain = self.releasing.pop(number, None)
        if drain is not None and drain.release_number == number:
            drain.release_failed(now)

    def permit_request(
        self,
        now: float,
        lease_deadline: float,
        sender: ids.InstanceId,
        request: messages.PermitRequest,
    ) -> messages.PermitOffer | None:
        """Return the offer for a request.

        None without a lease and for a request that was overtaken.
        """
        same_term = request.term == self.term
        holder = self.permits.request(
            now,
            sender,
            request.number,
            request.table_version if same_term else 0,
        )
        if holder is None:
            return None
        if same_term:
            self.shares.acknowledge(sender, request.shares_version)
        self.shares.set_demand(sender, request.demand)
        self.hottest[sender] = request.hottest
        return self._offer(now, lease_deadline, sender, holder)

    def _offer(
        self,
        now: float,
        lease_deadline: float,
        sender: ids.InstanceId,
        holder: holders.Holder,
    ) -> messages.PermitOffer | None:
        bound = min(lease_deadline, self.closing)
        # The instance counts from the time it sent the request, which is
        # before the receipt.
        length = min(bound - holder.received_at, election.LEASE_S)
        lease_ms = int(length * 1000)
        if now >= bound or lease_ms <= 0:
            return None
        base = holder.acknowledged
        version, entries = self.slices.table.since(base)
        if version < self.slices.table.version:
            # A sender must not use a table that lacks later withdrawals.
            lease_ms = 0
        end = holder.received_at + lease_ms / 1000 * election.CLOCK_MARGIN
        if lease_ms:
            self.permits.offered(holder, version, end)
        # Shares in an offer without a lease are used under the old permit.
        last = max(holder.ends.values(), default=0.0)
        share_version, given = self.shares.offer(now, sender, max(end, last))
        holder.offered = self.slices.table.version
        return messages.PermitOffer(
            self.group,
            self.term,
            holder.number,
            lease_ms,
            version,
            base,
            entries,
            share_version,
            given,
        )

    def step(self, now: float, lease_deadline: float) -> orders.Orders:
        """Return what is due; nothing is given beyond `lease_deadline`."""
        if now - self.stepped_at > STALL_S:
            self.resumed_at = now
        self.stepped_at = now
        bound = min(lease_deadline, self.closing)
        if now >= bound:
            return orders.Orders([], [], [], [], [], [])
        self._watch(now)
        self.slices.withdraw_unusable()
        due = self.slices.progress(now)
        self.slices.activate_idle(now)
        grants = self._grants(now, bound)
        releases = [self._release(drain) for drain in due]
        found = self.slices.group_releases(now)
        events, self.slices.events = self.slices.events, []
        return orders.Orders(
            self._probes(now),
            grants,
            releases,
            self._pushes(now, lease_deadline),
            found,
            events,
        )

    def busy(self) -> bool:
        """Return whether the last step left slices for the next one."""
        return bool(self.slices.queue)

    def _watch(self, now: float) -> None:
        self.permits.forget(now)
        for name, contact in list(self.contacts.items()):
            contact.forget(now)
            contact.watch(now, self.resumed_at)
            if contact.usable() != contact.was_usable:
                # Senders learn at once which upstreams have shares.
                contact.was_usable = contact.usable()
                self.slices.table.bump()
            self.shares.set_limit(name, self._limit(contact))
            if contact.gone and self._unused(name, contact):
                del self.contacts[name]

    def _limit(self, contact: contacts.Contact) -> messages.Share:
        if not contact.usable():
            return shares.NO_SHARE
        limits = contact.view.limits
        cold = self.cold_budgets.get(contact.view.name, limits.cold_slots)
        return messages.Share(limits.slots, limits.connections, cold)

    def _unused(self, name: str, contact: contacts.Contact) -> bool:
        return not any(contact.owned.values()) and not any(
            drain.upstream == name for drain in self.slices.drains
        )

    def _probes(self, now: float) -> list[str]:
        due = []
        for name, contact in self.contacts.items():
            waited = now >= contact.sent_at + contacts.PROBE_S
            if contact.clock is None and not contact.gone and waited:
                contact.sent_at = now
                due.append(name)
        return due

    def _grants(self, now: float, bound: float) -> list[orders.GrantOrder]:
        found = []
        for name, contact in self.contacts.items():
            if contact.gone or not contact.due(now):
                continue
            self.number += 1
            body = contact.grant(
                now, bound, self.number, self.group, self.term
            )
            if body is not None:
                found.append(orders.GrantOrder(name, self.number, body))
        return found

    def _release(self, drain: drains.Drain) -> orders.ReleaseOrder:
        self.number += 1
        self.releasing[self.number] = drain
        drain.release_sent(self.number)
        body = messages.ReleaseBody(
            self.group, self.term, drain.service, sorted(drain.slices)
        )
        return orders.ReleaseOrder(drain.upstream, self.number, body)

    def _pushes(
        self, now: float, lease_deadline: float
    ) -> list[tuple[ids.InstanceId, messages.PermitOffer]]:
        found = []
        version = self.slices.table.version
        for instance, holder in self.permits.by_instance.items():
            live = max(holder.ends.values(), default=0.0) > now
            if not live or holder.offered >= version:
                continue
            offer = self._offer(now, lease_deadline, instance, holder)
            if offer is not None:
                found.append((instance, offer))
        return found

    def close(self, deadline: float) -> None:
        """Bound all further permits and grants for a planned release.

        The new table version makes every instance replace its permit by a
        shorter one and acknowledge that.
        """
        self.closing = min(self.closing, deadline)
        self.slices.table.bump()
        for contact in self.contacts.values():
            contact.dirty = True

    def quiet_at(self) -> float:
        """Return when all permits and grants given so far have ended."""
        ends = [each.latest_end() for each in self.contacts.values()]
        return max(self.permits.latest_end(), *ends, 0.0)
