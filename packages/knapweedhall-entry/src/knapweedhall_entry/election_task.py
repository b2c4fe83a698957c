"""Votes for and asks for the leases of all groups."""

from __future__ import annotations

import random
import time
import typing

from knapweedhall_entry import fleet
from knapweedhall_entry import mailboxes
from knapweedhall_entry import messenger
from knapweedhall_events import trace
from knapweedhall_ownership import election
from knapweedhall_ownership import messages
from knapweedhall_peering import envelope
from knapweedhall_records import ids

# Bounds the delay until a new electors record or group is noticed.
MAX_SLEEP_S = 0.1
MIN_SLEEP_S = 0.005
# Highest lease length that a vote is given for; a longer one would block the
# group when its holder is lost.
MAX_LEASE_MS = 2 * election.LEASE_MS
# An instance that joins a set of electors knows of no promise yet. Without
# this wait it would ask for a new term, and its vote for itself would keep
# the holder from renewing.
JOIN_WAIT_S = 1.5 * election.LEASE_S


def ignore(group: str, term: int) -> None:
    """Do nothing about a lease that was won."""


class ElectionTask:
    """Owns the elector and one candidate per group.

    Parameters
    ----------
    sender : messenger.Messenger
        Sends requests and votes.
    view : fleet.Fleet
        Groups and their electors records.
    rng : random.Random
        Spreads retries.
    events : trace.TraceWriter
        Receives lease_* and vote_given.

    Attributes
    ----------
    stopping : bool
        Whether no new lease is asked for.
    on_acquired : callable
        Called with group and term when a lease was won.
    """

    def __init__(
        self,
        sender: messenger.Messenger,
        view: fleet.Fleet,
        rng: random.Random,
        events: trace.TraceWriter,
    ) -> None:
        self.sender = sender
        self.me = sender.me
        self.view = view
        self.rng = rng
        self.events = events
        self.elector = election.Elector()
        self.candidates: dict[str, election.Candidate] = {}
        self.held: dict[str, int] = {}
        self.stopping = False
        self.resigned: set[str] = set()
        self.joined_at: dict[str, float] = {}
        self.state = '', -1
        self.own_requests: dict[str, messages.VoteRequest] = {}
        self.on_acquired: typing.Callable[[str, int], None] = ignore

    def lease(self, now: float, group: str) -> election.Lease | None:
        """Return the lease of a group if this instance holds it."""
        candidate = self.candidates.get(group)
        return candidate.lease(now) if candidate else None

    def term(self, group: str) -> int:
        """Return the term whose lease was won last, 0 if it was given up."""
        candidate = self.candidates.get(group)
        return candidate.term if candidate else 0

    def majority_has_read(self, group: str, offset: int) -> bool:
        """Return whether a majority of a group's electors read an offset."""
        candidate = self.candidates.get(group)
        return candidate is not None and candidate.majority_has_read(offset)

    def leases(self, now: float) -> dict[str, election.Lease]:
        """Return all leases that this instance holds."""
        found = {group: self.lease(now, group) for group in self.candidates}
        return {group: lease for group, lease in found.items() if lease}

    def refresh(self, now: float) -> None:
        """Take the groups and electors records in force."""
        # Records without effect advance the offset, too; electors compare it.
        offset = self.view.store.next_offset
        state = self.view.store.digest(), offset
        if state == self.state:
            return
        self.state = state
        self.elector.offset = offset
        for group in self.view.names('electors'):
            # A record that came from a peer ahead of the log may stand behind
            # a plan that its electors have not read, see `offset`.
            if self.view.store.entries['electors', group].offset >= offset:
                continue
            version, electors = self.view.electors(group)
            self.elector.set_electors_version(group, version)
            candidate = self.candidates.get(group)
            if candidate is None:
                candidate = election.Candidate(self.me, group, self.rng)
                self.candidates[group] = candidate
            if self.me in electors and self.me not in candidate.electors:
                before = set(candidate.electors)
                # A set that shares no member with the last one is published
                # only after the last one's promises have ended.
                new = version == 1 or (
                    bool(before) and before.isdisjoint(electors)
                )
                self.joined_at[group] = now - JOIN_WAIT_S * new
            candidate.set_electors(version, electors)
            candidate.offset = offset

    def tick(self, now: float) -> None:
        """Send what is due and note leases that were won or lost."""
        for group, candidate in self.candidates.items():
            promised = self.elector.promised_until(group)
            if self.asks(now, group, candidate):
                for elector, request in candidate.poll(now, promised):
                    self.ask(now, candidate, elector, request)
            for elector, release in candidate.abandoned():
                self.sender.send(elector.name, release)
            self.note_lease(now, group)

    def asks(
        self, now: float, group: str, candidate: election.Candidate
    ) -> bool:
        """Return whether the lease of a group is asked for or renewed."""
        if group in self.resigned:
            return False
        if candidate.term:
            return True
        if self.stopping or self.me not in candidate.electors:
            return False
        return now >= self.joined_at.get(group, now) + JOIN_WAIT_S

    def ask(
        self,
        now: float,
        candidate: election.Candidate,
        elector: ids.InstanceId,
        request: messages.VoteRequest,
    ) -> None:
        """Send one request, or ask the own elector.

        For a new term the own elector is asked last. A vote for itself that
        cannot win would make the elector of an isolated instance refuse the
        holder's renewals after the isolation has ended.
        """
        if elector != self.me:
            self.sender.send(elector.name, request)
        elif candidate.term:
            candidate.vote(now, self.me, self.vote(now, self.me, request))
        else:
            self.own_requests[candidate.group] = request
            self.ask_own(now, candidate)

    def ask_own(self, now: float, candidate: election.Candidate) -> None:
        """Ask the own elector if only its vote is missing for a majority."""
        request = self.own_requests.get(candidate.group)
        asked = candidate.rounds.get(request.number) if request else None
        if request is None or asked is None:
            self.own_requests.pop(candidate.group, None)
            return
        if len(asked.granted) >= len(asked.electors) // 2:
            del self.own_requests[candidate.group]
            candidate.vote(now, self.me, self.vote(now, self.me, request))

    def vote(
        self,
        now: float,
        sender: ids.InstanceId,
        request: messages.VoteRequest,
    ) -> messages.Vote:
        """Return the own elector's vote and record a new promise."""
        before = self.promised(request.group)
        vote = self.elector.request(now, sender, request)
        if vote.granted and request.term != before:
            self.events.emit(
                'vote_given',
                group=request.group,
                term=request.term,
                candidate=sender.name,
            )
        return vote

    def promised(self, group: str) -> int:
        """Return the highest term that the own elector promised."""
        promise = self.elector.promises.get(group)
        return promise.highest_term if promise else 0

    def note_lease(self, now: float, group: str) -> None:
        """Emit an event when a lease was won or has expired."""
        lease = self.lease(now, group)
        held = self.held.get(group, 0)
        if held and (lease is None or lease.term != held):
            del self.held[group]
            self.events.emit('lease_lost', group=group, term=held)
        if lease and lease.term != held:
            self.held[group] = lease.term
            self.events.emit('lease_acquired', group=group, term=lease.term)
            self.on_acquired(group, lease.term)

    def take(self, now: float, message: envelope.Received) -> None:
        """Take a message of another instance."""
        body = message.body
        if isinstance(body, messages.VoteRequest):
            self.take_request(now, message.sender, body)
        elif isinstance(body, messages.Vote):
            candidate = self.candidates.get(body.group)
            if candidate is not None:
                candidate.vote(now, message.sender, body)
                self.ask_own(now, candidate)
                self.note_lease(now, body.group)
        else:
            self.elector.release(message.sender, body)

    def take_request(
        self,
        now: float,
        sender: ids.InstanceId,
        request: messages.VoteRequest,
    ) -> None:
        """Answer a request if this instance is an elector of the group."""
        version, electors = self.view.electors(request.group)
        # Between two versions of the set both members may be asked; a version
        # that this instance does not know yet can name it.
        known = version >= request.electors_version
        if known and self.me not in electors:
            return
        if not 0 < request.lease_ms <= MAX_LEASE_MS:
            return
        self.sender.send(sender.name, self.vote(now, sender, request))

    def release(self, now: float, group: str, quiet_at: float) -> bool:
        """Give a lease back if all permits and grants have ended.

        Returns
        -------
        bool
            Whether it was given back.
        """
        candidate = self.candidates.get(group)
        term = candidate.term if candidate else 0
        if candidate is None or not term:
            return True
        releases = candidate.release(now, quiet_at)
        if not releases:
            return False
        for elector, message in releases:
            if elector == self.me:
                self.elector.release(self.me, message)
            else:
                self.sender.send(elector.name, message)
        self.held.pop(group, None)
        self.events.emit('lease_released', group=group, term=term)
        return True

    def resign(self, group: str) -> None:
        """Stop asking for and renewing the lease of a group.

        The lease ends at its deadline, when its permits have ended, too.
        """
        self.resigned.add(group)

    def next_tick(self, now: float) -> float:
        """Return when `tick` has to be called next."""
        due = now + MAX_SLEEP_S
        for group, candidate in self.candidates.items():
            if self.asks(now, group, candidate):
                promised = self.elector.promised_until(group)
                due = min(due, candidate.next_poll(now, promised))
        return max(due, now + MIN_SLEEP_S)

    async def run(self, boxes: mailboxes.Mailboxes) -> None:
        """Vote and ask until cancelled."""
        kinds: tuple[type[typing.Any], ...] = (
            messages.VoteRequest,
            messages.Vote,
            messages.VoteRelease,
        )
        queue = boxes.subscribe(*kinds)
        next_tick = time.monotonic()
        while True:
            message = await mailboxes.receive(queue, next_tick)
            now = time.monotonic()
            if message is None:
                self.refresh(now)
                self.tick(now)
                next_tick = self.next_tick(now)
            else:
                self.take(now, message)
                # A message must not put off what is already due earlier.
                next_tick = min(next_tick, self.next_tick(now))
