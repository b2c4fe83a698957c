"""Keeps this instance's send permits of all groups up to date."""

from __future__ import annotations

import asyncio
import time
import typing

from knapweedhall_entry import fleet
from knapweedhall_entry import mailboxes
from knapweedhall_entry import messenger
from knapweedhall_events import trace
from knapweedhall_ownership import messages
from knapweedhall_ownership import permits
from knapweedhall_peering import envelope

REQUEST_PERIOD_S = 0.25
# Without a permit every request waits, so the new coordinator is looked for
# more often.
SEARCH_PERIOD_S = 0.1
# Bounds the delay until a new group is noticed.
TICK_S = 0.05

# Longest time that a new instance waits for the permits of all groups.
WARM_UP_S = 3.0

Hottest = dict[str, list[tuple[str, float]]]


class Load(typing.NamedTuple):
    """What a permit request tells the coordinator."""

    demand: dict[str, float]
    hottest: Hottest


class GroupState:
    """Permit of one group and where to ask for the next one."""

    def __init__(self, group: str) -> None:
        self.table = permits.PermitTable(group)
        self.coordinator = ''
        self.next_request = 0.0
        self.expired = True
        self.served = False


class PermitTask:
    """Owns the permit tables.

    Parameters
    ----------
    sender : messenger.Messenger
        Sends requests.
    view : fleet.Fleet
        Groups, electors and services.
    load : callable
        Returns the demand and the hottest keys.
    changed : callable
        Called after each offer that was taken.
    events : trace.TraceWriter
        Receives `table_received` and `permit_expired`.
    """

    def __init__(
        self,
        sender: messenger.Messenger,
        view: fleet.Fleet,
        load: typing.Callable[[], Load],
        changed: typing.Callable[[], None],
        events: trace.TraceWriter,
    ) -> None:
        self.sender = sender
        self.view = view
        self.load = load
        self.changed = changed
        self.events = events
        self.groups: dict[str, GroupState] = {}
        self.first_request: float | None = None
        self.revision = -1

    def refresh(self) -> None:
        """Take the groups and the rules of the services."""
        if self.view.revision == self.revision:
            return
        self.revision = self.view.revision
        wanted = set(self.view.by_group())
        for group in wanted - set(self.groups):
            self.groups[group] = GroupState(group)
        for group in set(self.groups) - wanted:
            del self.groups[group]
        if self.view.complete and self.first_request is None:
            self.first_request = time.monotonic()
        services = self.view.services()
        for state in self.groups.values():
            for name, service in services.items():
                state.table.set_service(
                    name,
                    service.slices,
                    service.checks_tokens,
                    service.max_work_ms,
                )

    def ready(self, now: float) -> bool:
        """Return whether callers can be served.

        At first every group has to give a permit; one that gives none, as on
        the minority side of a partition, delays this only for a while. Later
        a single permit is enough.
        """
        if self.first_request is None:
            return False
        states = self.groups.values()
        waited = now >= self.first_request + WARM_UP_S
        if not waited and not all(each.served for each in states):
            return False
        live = (now < each.table.deadline for each in states)
        return not self.groups or any(live)

    def table(self, group: str) -> permits.PermitTable | None:
        """Return the permit table of a group."""
        state = self.groups.get(group)
        return state.table if state else None

    def tick(self, now: float) -> None:
        """Send the requests that are due and note expired permits."""
        for group, state in self.groups.items():
            if now >= state.table.deadline:
                self.note_expired(group, state)
            if now >= state.next_request:
                self.request(now, group, state)
            state.table.forget(now)

    def note_expired(self, group: str, state: GroupState) -> None:
        """Forget the coordinator whose permit has expired."""
        state.coordinator = ''
        if not state.expired:
            state.expired = True
            self.events.emit('permit_expired', group=group)

    def request(self, now: float, group: str, state: GroupState) -> None:
        """Ask the coordinator, or every elector if it is not known."""
        found = bool(state.coordinator)
        state.next_request = now + (
            REQUEST_PERIOD_S if found else SEARCH_PERIOD_S
        )
        names = [state.coordinator]
        if not found:
            _, electors = self.view.electors(group)
            names = [each.name for each in electors]
        load = self.load()
        request = state.table.request(now, load.demand, load.hottest)
        for name in names:
            self.sender.send(name, request)

    def take(self, now: float, message: envelope.Received) -> None:
        """Take an offer."""
        offer: messages.PermitOffer = message.body
        state = self.groups.get(offer.group)
        if state is None or not state.table.acceptable(offer):
            return
        held = state.table.term, state.table.version
        due = state.table.take(now, offer)
        state.coordinator = message.sender.name
        state.served = True
        state.expired = now >= state.table.deadline
        if held != (offer.term, offer.table_version):
            self.events.emit(
                'table_received',
                group=offer.group,
                term=offer.term,
                version=offer.table_version,
            )
        self.changed()
        if due:
            self.request(now, offer.group, state)

    async def run(self, boxes: mailboxes.Mailboxes) -> None:
        """Ask for permits until cancelled."""
        queue = boxes.subscribe(messages.PermitOffer)
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    message = await queue.get()
                self.take(time.monotonic(), message)
            except TimeoutError:
                self.refresh()
            self.tick(time.monotonic())
