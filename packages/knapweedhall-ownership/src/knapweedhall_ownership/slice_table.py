"""Activation and withdrawal of slices within one term of a group."""

from __future__ import annotations

import collections
import typing

from knapweedhall_ownership import assignments
from knapweedhall_ownership import contacts
from knapweedhall_ownership import drains
from knapweedhall_ownership import holders
from knapweedhall_ownership import messages
from knapweedhall_ownership import orders
from knapweedhall_ownership import slices
from knapweedhall_records import bodies
from knapweedhall_records import ids

# How long a new coordinator waits for the upstreams to say what they hold.
DISCOVERY_S = 0.25
# Bounds the time of a step: a coordinator that examined all slices of a large
# service at once would miss renewals of its lease.
EXAMINED_PER_STEP = 4096

SliceKey = tuple[str, int]
Contacts = dict[str, contacts.Contact]


class Owner(typing.NamedTuple):
    """Upstream that a slice is activated at, and the token's sequence."""

    upstream: str
    sequence: int


class SliceTable:
    """State of all slices of a group: owned, being drained or idle.

    Parameters
    ----------
    group : str
        Lease group.
    term : int
        Encoded term.
    started : float
        Time at which the lease was won.
    upstreams : dict of str to contacts.Contact
        Upstreams of the group; shared with the coordinator.
    permits : holders.Holders
        Send permits; shared with the coordinator.
    """

    def __init__(
        self,
        group: str,
        term: int,
        started: float,
        upstreams: Contacts,
        permits: holders.Holders,
    ) -> None:
        self.group = group
        self.term = term
        self.started = started
        self.contacts = upstreams
        self.permits = permits
        self.services: dict[str, bodies.Service] = {}
        self.plans = assignments.Assignments()
        self.table = holders.Table()
        self.owners: dict[SliceKey, Owner] = {}
        self.idle: set[SliceKey] = set()
        self.drains: list[drains.Drain] = []
        self.releases_read: dict[SliceKey, dict[str, int]] = {}
        self.groups_out: set[str] = set()
        self.hot_entries: dict[SliceKey, int] = {}
        self.activated: set[SliceKey] = set()
        self.sequence = 0
        self.changed = True
        self.queue: collections.deque[SliceKey] = collections.deque()
        self.events: list[orders.Event] = []

    def set_plan(
        self, service: str, first: int, version: int, plan: bodies.Plan
    ) -> None:
        """Take a plan chunk; withdraw slices whose owners it changes."""
        count = self.services[service].slices
        change = self.plans.set_plan(service, first, version, plan, count)
        if change is None:
            return
        self.changed = True
        for number in change.added:
            self._add_hot_key(service, number)
        self._take_changes(service, [*change.slices, *change.removed])

    def _take_changes(self, service: str, numbers: list[int]) -> None:
        leaving: dict[tuple[str, str], set[int]] = {}
        for number in numbers:
            key = service, number
            owner = self.owners.get(key)
            if owner is None:
                self._settle(key)
                continue
            target = self.target(key)
            if target != owner.upstream:
                reason = 'plan' if self._is_here(key) else 'moved'
                entry = owner.upstream, reason
                leaving.setdefault(entry, set()).add(number)
        for (upstream, reason), found in leaving.items():
            self.withdraw(service, upstream, found, reason)

    def _add_hot_key(self, service: str, number: int) -> None:
        hot = self.plans.hot[service][number]
        known = self.table.get(service, number)
        if known and not known.removed:
            self._settle((service, number))
            return
        # The entry without an owner keeps senders from using the plain slice
        # for the key; its owner has to release before the key is activated.
        self._put_no_owner([(service, number)])
        self.hot_entries[service, number] = hot.plain
        plain = service, hot.plain
        owner = self.owners.get(plain)
        if owner is not None:
            self.withdraw(service, owner.upstream, {hot.plain}, 'hot-key')
        drain = self._drain_of(plain)
        if drain is not None:
            drain.followers.add(number)
        else:
            self._settle((service, number))

    def _drain_of(self, key: SliceKey) -> drains.Drain | None:
        for drain in self.drains:
            if drain.service == key[0] and (
                key[1] in drain.slices or key[1] in drain.followers
            ):
                return drain
        return None

    def _settle(self, key: SliceKey) -> None:
        """Decide what happens to a slice that nobody owns."""
        if self._drain_of(key) is not None:
            return
        self.idle.discard(key)
        if self._is_here(key):
            self.idle.add(key)
            self.changed = True
        elif slices.is_hot(key[1]):
            self._remove_hot_key(key)

    def _remove_hot_key(self, key: SliceKey) -> None:
        known = self.table.get(*key)
        if known and not known.removed:
            self.table.put([known._replace(upstream='', removed=True)])
            del self.hot_entries[key]

    def _is_here(self, key: SliceKey) -> bool:
        return any(name in self.contacts for name in self.plans.names(*key))

    def target(self, key: SliceKey) -> str:
        """Return the first usable upstream on a slice's list, '' for none."""
        for name in self.plans.names(*key):
            contact = self.contacts.get(name)
            if contact is not None and contact.usable():
                return name
        return ''

    def withdraw(
        self, service: str, upstream: str, numbers: set[int], reason: str
    ) -> None:
        """Take slices out of the table and start to drain them."""
        keys = [(service, number) for number in sorted(numbers)]
        for key in keys:
            del self.owners[key]
        version = self._put_no_owner(keys)
        checks = self.services[service].checks_tokens
        work_s = 0 if checks else self.services[service].max_work_ms / 1000
        drain = drains.Drain(
            service, upstream, numbers, version, checks, work_s, reason
        )
        drain.watch_permits(self.permits)
        contact = self.contacts[upstream]
        if not contact.usable() and reason in ('lost', 'gone'):
            drain.exclude(contact)
        self.drains.append(drain)
        self.events.append(
            orders.Withdrawal(
                service, tuple(sorted(numbers)), upstream, reason
            )
        )

    def _put_no_owner(self, keys: list[SliceKey]) -> int:
        return self.table.put([self._entry(key, '', 0) for key in keys])

    def _entry(
        self, key: SliceKey, upstream: str, sequence: int
    ) -> messages.TableEntry:
        service, number = key
        hot = self.plans.hot.get(service, {}).get(number)
        known = self.table.get(service, number)
        name = hot.key if hot else known.key if known else ''
        return messages.TableEntry(service, number, upstream, sequence, name)

    def withdraw_unusable(self) -> None:
        """Withdraw the slices of upstreams that are lost or leaving."""
        for name, contact in self.contacts.items():
            if contact.usable() or not contact.answered:
                continue
            for service, owned in list(contact.owned.items()):
                found = {
                    number
                    for number in owned
                    if self._owned_by((service, number), name)
                }
                if found:
                    self.withdraw(service, name, found, contact.reason())

    def _owned_by(self, key: SliceKey, upstream: str) -> bool:
        owner = self.owners.get(key)
        return owner is not None and owner.upstream == upstream

    def progress(self, now: float) -> list[drains.Drain]:
        """Advance all drains; return those whose release has to be sent."""
        due = []
        for drain in list(self.drains):
            contact = self.contacts[drain.upstream]
            if self._revive(drain, contact):
                continue
            drain.advance(now, self.permits, contact)
            if drain.done(now, self.permits, contact):
                self._finish(drain)
            elif drain.release_due(now, contact):
                due.append(drain)
        return due

    def _revive(self, drain: drains.Drain, contact: contacts.Contact) -> bool:
        """Reactivate slices at a lost owner that is back in time."""
        if drain.reason != 'lost' or not contact.usable() or drain.followers:
            return False
        staying = {
            number
            for number in drain.slices
            if drain.upstream in self.plans.names(drain.service, number)
        }
        if not drain.release_number and staying:
            drain.slices -= staying
            self._activate(drain.service, staying, drain.upstream)
        if not drain.slices:
            self.drains.remove(drain)
        return not drain.slices

    def _finish(self, drain: drains.Drain) -> None:
        self.drains.remove(drain)
        contact = self.contacts.get(drain.upstream)
        if contact is not None:
            contact.disown(drain.service, drain.slices)
        for number in sorted(drain.slices | drain.followers):
            self._settle((drain.service, number))

    def activate_idle(self, now: float) -> None:
        """Activate idle slices whose waits are over at usable upstreams."""
        if not self.queue and self.changed:
            self.changed = False
            self.queue.extend(sorted(self.idle))
        batches: dict[tuple[str, str], set[int]] = {}
        for _ in range(min(len(self.queue), EXAMINED_PER_STEP)):
            key = self.queue.popleft()
            upstream = self._choose(now, key) if key in self.idle else ''
            if upstream:
                batch = batches.setdefault((key[0], upstream), set())
                batch.add(key[1])
        for (service, upstream), numbers in batches.items():
            for number in numbers:
                self.idle.discard((service, number))
            self._activate(service, numbers, upstream)

    def _choose(self, now: float, key: SliceKey) -> str:
        early = key not in self.activated and self._awaits_discovery(now, key)
        if early or not self.may_start(now, key[0]):
            # These waits end by themselves, so the next step tries again.
            self.changed = True
            return ''
        if self._awaits_release(key):
            return ''
        if key in self.activated:
            return self.target(key)
        return self._holder_of(key) or self.target(key)

    def may_start(self, now: float, service: str) -> bool:
        """Return whether work of earlier terms has ended."""
        rules = self.services[service]
        if rules.checks_tokens:
            return True
        wait = rules.max_work_ms / 1000 * drains.CLOCK_MARGIN
        return now >= self.started + wait

    def _awaits_release(self, key: SliceKey) -> bool:
        origin = self.plans.origin(*key)
        if origin is None or origin.group == self.group:
            return False
        if origin.group in self.groups_out:
            return False
        return not self.is_released(key, origin)

    def is_released(self, key: SliceKey, origin: bodies.Origin) -> bool:
        """Return whether a release of a move between groups was read."""
        if slices.is_hot(key[1]):
            hot = self.plans.hot[key[0]][key[1]]
            key = key[0], hot.plain
        read = self.releases_read.get(key, {})
        return read.get(origin.group, 0) >= origin.version

    def _awaits_discovery(self, now: float, key: SliceKey) -> bool:
        if now >= self.started + DISCOVERY_S:
            return False
        found = (self.contacts.get(name) for name in self.plans.names(*key))
        return any(each is not None and not each.answered for each in found)

    def _holder_of(self, key: SliceKey) -> str:
        """Return the usable upstream that held the highest token, or ''."""
        best, found = ids.Token(0, 0), ''
        for name in self.plans.names(*key):
            contact = self.contacts.get(name)
            if contact is None or not contact.usable():
                continue
            token = contact.held.get(key, ids.Token(0, 0))
            if token > best:
                best, found = token, name
        return found

    def _activate(
        self, service: str, numbers: set[int], upstream: str
    ) -> None:
        self.sequence += 1
        for number in numbers:
            self.owners[service, number] = Owner(upstream, self.sequence)
            self.activated.add((service, number))
        self.contacts[upstream].own(service, numbers, self.sequence)
        token = ids.Token(self.term, self.sequence)
        self.events.append(
            orders.Activation(service, tuple(sorted(numbers)), upstream, token)
        )

    def publish(
        self, upstream: str, confirmed: list[tuple[SliceKey, int]]
    ) -> None:
        """Put slices into the table that their upstream has confirmed."""
        found = [
            self._entry(key, upstream, sequence)
            for key, sequence in sorted(confirmed)
            if self.owners.get(key) == Owner(upstream, sequence)
        ]
        self.table.put(found)

    def group_releases(self, now: float) -> list[orders.GroupRelease]:
        """Return the release records of slices that have left the group."""
        found = []
        for (service, first), chunk in self.plans.chunks.items():
            numbers = {
                number
                for number, origin in chunk.plan.origins.items()
                if origin.group == self.group
                and not self.is_released((service, number), origin)
            }
            if not numbers or not self.may_start(now, service):
                continue
            if not self._are_busy(service, numbers):
                count = self.services[service].slices
                found.append(
                    drains.group_release(
                        service, first, count, chunk.version, numbers
                    )
                )
        return found

    def _are_busy(self, service: str, numbers: set[int]) -> bool:
        hot = {
            number
            for (name, number), plain in self.hot_entries.items()
            if name == service and plain in numbers
        }
        return any(
            (service, number) in self.owners
            or self._drain_of((service, number)) is not None
            for number in numbers | hot
        )
