"""Upstreams, groups and marks, joined from the records and the list."""

from __future__ import annotations

import typing

from knapweedhall_entry import instance_list
from knapweedhall_ownership import configuration
from knapweedhall_ownership import coordinator
from knapweedhall_ownership import groups
from knapweedhall_records import bodies

# An upstream that disappears from the lagging list is drained for this time
# before it is dropped, since it may still serve.
DRAIN_UNLISTED_S = 10.0

Upstreams = dict[str, 'Upstream']


class Upstream(typing.NamedTuple):
    """One upstream as this instance sees it."""

    view: coordinator.UpstreamView
    address: str
    group: str


class Fleet:
    """Answers questions on upstreams and groups from memory.

    Parameters
    ----------
    store : configuration.Store
        Records in force.
    listed : instance_list.InstanceListFollower
        The platform's list.

    Attributes
    ----------
    complete : bool
        Whether the upstreams were joined after the list had been read.
    revision : int
        Grows with each change of records or upstreams, so that readers need
        not compare them.
    """

    def __init__(
        self,
        store: configuration.Store,
        listed: instance_list.InstanceListFollower,
    ) -> None:
        self.store = store
        self.listed = listed
        self.upstreams: Upstreams = {}
        self.unlisted: dict[str, tuple[Upstream, float]] = {}
        self.out_since: dict[str, float] = {}
        self.complete = False
        self.revision = 0
        self.joined: tuple[int, int] | None = None

    def service(self, name: str) -> bodies.Service | None:
        """Return the service's record in force."""
        record = self.store.get('service', name)
        if record is None or not isinstance(record.body, bodies.Service):
            return None
        return record.body

    def services(self) -> dict[str, bodies.Service]:
        """Return all services by name."""
        found = {name: self.service(name) for name in self.names('service')}
        return {name: body for name, body in found.items() if body}

    def names(self, kind: str) -> list[str]:
        """Return the names of the records of a kind."""
        return self.store.names(kind)

    def marked_out(self, kind: str, name: str) -> bool:
        """Return whether a domain or an instance is marked out."""
        record = self.store.get('mark', f'{kind}/{name}')
        if record is None or not isinstance(record.body, bodies.Mark):
            return False
        return record.body.state == 'out'

    def refresh(self, now: float) -> None:
        """Join the list and the records anew if either has changed."""
        sources = self.store.combined, self.listed.revision
        if sources == self.joined and not self.unlisted:
            return
        self.joined = sources
        self.revision += 1
        found = self.described()
        for name, upstream in self.upstreams.items():
            if name not in found and name not in self.unlisted:
                self.unlisted[name] = (upstream, now + DRAIN_UNLISTED_S)
        for name, (upstream, end) in list(self.unlisted.items()):
            if name in found or now >= end:
                del self.unlisted[name]
            else:
                leaving = upstream.view._replace(state='leaving')
                found[name] = upstream._replace(view=leaving)
        self.upstreams = found
        self.complete = self.listed.read_at is not None or bool(found)
        self.note_marks(now)

    def described(self) -> Upstreams:
        """Return the upstreams that the list or a record names."""
        rows: dict[str, tuple[str, str, str, str]] = {
            row.name: (
                row.service,
                row.failure_domain,
                row.address,
                row.state,
            )
            for row in self.listed.upstreams()
        }
        overrides: dict[str, bodies.Limits | None] = {}
        for name in self.names('upstream'):
            record = self.store.get('upstream', name)
            if record and isinstance(record.body, bodies.Upstream):
                body = record.body
                state = rows[name][3] if name in rows else 'live'
                rows[name] = (
                    body.service,
                    body.failure_domain,
                    body.address,
                    state,
                )
                overrides[name] = body.limits
        found: Upstreams = {}
        for name, row in sorted(rows.items()):
            service = self.service(row[0])
            if service is None:
                continue
            limits = overrides.get(name) or service.limits
            found[name] = self.build(name, row, service, limits)
        return found

    def build(
        self,
        name: str,
        row: tuple[str, str, str, str],
        service: bodies.Service,
        limits: bodies.Limits,
    ) -> Upstream:
        """Return one upstream with its state by list and marks."""
        service_name, domain, address, state = row
        out = self.marked_out('domain', domain)
        if out or self.marked_out('instance', name):
            state = 'out'
        view = coordinator.UpstreamView(
            name, service_name, domain, state, limits
        )
        group = groups.group_of(service_name, service, domain)
        return Upstream(view, address, group)

    def note_marks(self, now: float) -> None:
        """Remember since when failure domains are marked out."""
        out = {
            name.removeprefix('domain/')
            for name in self.names('mark')
            if name.startswith('domain/')
            and self.marked_out('domain', name.removeprefix('domain/'))
        }
        for domain in out:
            self.out_since.setdefault(domain, now)
        for domain in set(self.out_since) - out:
            del self.out_since[domain]

    def groups_out(self, now: float) -> list[str]:
        """Return the domain groups whose mark is old enough to take over."""
        found = []
        for domain, since in self.out_since.items():
            record = self.store.get('mark', f'domain/{domain}')
            if record is None or not isinstance(record.body, bodies.Mark):
                continue
            if now >= since + record.body.out_wait_ms / 1000:
                found.append(groups.DOMAIN_PREFIX + domain)
        return found

    def by_group(self) -> dict[str, list[Upstream]]:
        """Return the upstreams per lease group, sorted by name."""
        found: dict[str, list[Upstream]] = {}
        for name in sorted(self.upstreams):
            upstream = self.upstreams[name]
            found.setdefault(upstream.group, []).append(upstream)
        return found

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, sorted by name."""
        return [
            self.upstreams[name]
            for name in sorted(self.upstreams)
            if self.upstreams[name].view.service == service
        ]

    def electors(self, group: str) -> tuple[int, groups.Electors]:
        """Return version and members of a group's electors record."""
        record = self.store.get('electors', group)
        if record is None or not isinstance(record.body, bodies.Electors):
            return 0, ()
        return record.version, record.body.instances

    def plan_chunks(self, service: str) -> dict[int, bodies.Record]:
        """Return the plan records of a service by first slice."""
        chunks = {}
        for name in self.names('plan'):
            base, _, first = name.rpartition('/')
            if not base or not first.isdecimal():
                base, first = name, '0'
            record = self.store.get('plan', name)
            if base == service and record is not None:
                chunks[int(first)] = record
        return chunks

    def has_release(
        self, service: str, number: int, origin: bodies.Origin
    ) -> bool:
        """Return whether a group has released a slice since an origin."""
        return any(
            release.service == service
            and release.group == origin.group
            and release.plan_version >= origin.version
            and number in release.slices
            for release in self.releases()
        )

    def releases(self) -> list[bodies.Release]:
        """Return all releases in force."""
        found = []
        for name in self.names('release'):
            record = self.store.get('release', name)
            if record and isinstance(record.body, bodies.Release):
                found.append(record.body)
        return found
