"""Majority vote for the coordinator of a lease group."""

from __future__ import annotations

import random
import typing

from knapweedhall_ownership import messages
from knapweedhall_records import ids

LEASE_S = 1.0
LEASE_MS = 1000
RENEWAL_S = 0.25
# Candidates ask in the order of their rank to avoid split votes.
RANK_DELAY_S = 0.15
# Time that a candidate waits for the votes of a new term at first.
ROUND_S = 0.1
# The wait doubles with each round that ends without enough votes. A fixed one
# below the round trip on a busy machine kept a group without a coordinator for
# 18 s and 83 terms.
MAX_ROUND_S = 0.8
# Longest random part of the delay after a round that was not won.
RETRY_S = 0.1
# Covers clock rates within 0.2% of each other on three clocks.
CLOCK_MARGIN = 1.01
# Renewals whose answers are still counted when they arrive late.
KEPT_ROUNDS = 4

VoteRequests = list[tuple[ids.InstanceId, messages.VoteRequest]]
VoteReleases = list[tuple[ids.InstanceId, messages.VoteRelease]]


class Lease(typing.NamedTuple):
    """Lease of a group: encoded term, end on the holder's clock (seconds)."""

    term: int
    deadline: float


class Promise:
    """What an elector knows of one group."""

    def __init__(self) -> None:
        self.holder: ids.InstanceId | None = None
        self.highest_term = 0
        self.deadline = 0.0
        self.electors_version = 0
        self.released = False


class Elector:
    """Votes of one instance for the coordinators of all groups.

    The promises and the highest terms live as long as the process; a
    restarted process has another incarnation and is no elector until an
    electors record names it.

    Attributes
    ----------
    offset : int
        First offset of the log that this instance has not read.
    """

    def __init__(self) -> None:
        self.promises: dict[str, Promise] = {}
        self.offset = 0

    def _promise(self, group: str) -> Promise:
        return self.promises.setdefault(group, Promise())

    def set_electors_version(self, group: str, version: int) -> None:
        """Note the version of a group's electors record in force."""
        promise = self._promise(group)
        promise.electors_version = max(promise.electors_version, version)

    def request(
        self,
        now: float,
        sender: ids.InstanceId,
        request: messages.VoteRequest,
    ) -> messages.Vote:
        """Decide on a request or a renewal; return the answer to send."""
        promise = self._promise(request.group)
        granted = self.may_grant(now, sender, request, promise)
        if granted:
            length = request.lease_ms / 1000 * CLOCK_MARGIN
            # A renewal that was delayed in transit must not shorten a newer
            # promise.
            promise.deadline = max(promise.deadline, now + length)
            promise.holder = sender
            promise.highest_term = request.term
            promise.electors_version = request.electors_version
            promise.released = False
        return messages.Vote(
            request.group,
            granted,
            promise.highest_term,
            promise.electors_version,
            request.number,
            self.offset,
        )

    def may_grant(
        self,
        now: float,
        sender: ids.InstanceId,
        request: messages.VoteRequest,
        promise: Promise,
    ) -> bool:
        """Return whether a promise may be given."""
        if request.electors_version < promise.electors_version:
            return False
        if request.term == promise.highest_term:
            return sender == promise.holder and not promise.released
        # A candidate that has read less of the log may not know a plan that
        # moved slices to another group, and would grant them a second time.
        if request.offset < self.offset:
            return False
        # The holder itself may not ask for a new term either: the permits of
        # its previous term have not expired on other clocks.
        return request.term > promise.highest_term and (
            now >= promise.deadline
        )

    def release(
        self, sender: ids.InstanceId, release: messages.VoteRelease
    ) -> bool:
        """End a promise early; return whether it was the sender's."""
        promise = self._promise(release.group)
        if (promise.holder, promise.highest_term) != (sender, release.term):
            return False
        promise.deadline = 0.0
        promise.released = True
        return True

    def promised_until(self, group: str) -> float:
        """Return the deadline of a group's last promise, 0 for none."""
        return self._promise(group).deadline

    def holder(self, now: float, group: str) -> ids.InstanceId | None:
        """Return who holds the promise for a group at present."""
        promise = self._promise(group)
        return promise.holder if now < promise.deadline else None


class Round:
    """One numbered request to all electors and the votes for it."""

    def __init__(
        self,
        number: int,
        term: int,
        sent_at: float,
        electors_version: int,
        electors: tuple[ids.InstanceId, ...],
    ) -> None:
        self.number = number
        self.term = term
        self.sent_at = sent_at
        self.electors_version = electors_version
        self.electors = electors
        self.granted: set[ids.InstanceId] = set()
        self.refused: set[ids.InstanceId] = set()

    def won(self) -> bool:
        """Return whether a majority has granted the request."""
        return 2 * len(self.granted) > len(self.electors)

    def lost(self) -> bool:
        """Return whether a majority can no longer be reached."""
        return 2 * len(self.refused) >= len(self.electors)


class Candidate:
    """One instance's candidacy for one group, and its lease once it has won.

    Parameters
    ----------
    instance : ids.InstanceId
        This instance.
    group : str
        Lease group.
    rng : random.Random
        Spreads retries after a split vote.
    """

    def __init__(
        self, instance: ids.InstanceId, group: str, rng: random.Random
    ) -> None:
        self.instance = instance
        self.group = group
        self.rng = rng
        self.electors_version = 0
        self.electors: tuple[ids.InstanceId, ...] = ()
        self.highest_term = 0
        self.number = 0
        self.rounds: dict[int, Round] = {}
        self.round_s = ROUND_S
        self.ask_after = 0.0
        self.renew_at = 0.0
        self.term = 0
        self.deadline = 0.0
        self.majority_version = 0
        self.offset = 0
        self.read_offsets: dict[ids.InstanceId, int] = {}
        self.to_release: VoteReleases = []

    def set_electors(
        self, version: int, electors: tuple[ids.InstanceId, ...]
    ) -> None:
        """Take the electors record in force; older versions are ignored."""
        if version <= self.electors_version:
            return
        self.electors_version = version
        self.electors = electors
        self.renew_at = 0.0

    def poll(self, now: float, promised_until: float) -> VoteRequests:
        """Return the requests and renewals that are due.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        promised_until : float
            `Elector.promised_until` of this instance; a new term is asked
            for after it and the delay of this instance's rank.
        """
        if self.term:
            return self._poll_holder(now)
        if self.rounds:
            self._expire_round(now)
            return []
        if self.instance not in self.electors:
            return []
        if now < self._ask_at(promised_until):
            return []
        return self._send(now, self._next_term())

    def _poll_holder(self, now: float) -> VoteRequests:
        if now >= self.deadline and self._superseded():
            self._drop_term(now)
            return []
        if now < self.renew_at:
            return []
        self.renew_at = now + RENEWAL_S
        return self._send(now, self.term)

    def _superseded(self) -> bool:
        return self.highest_term > self.term

    def _drop_term(self, now: float) -> None:
        self.term = 0
        self.rounds.clear()
        self._delay(now)

    def _delay(self, now: float) -> None:
        rank = self._rank()
        delay = rank * RANK_DELAY_S + self.rng.random() * RETRY_S
        self.ask_after = now + delay

    def _rank(self) -> int:
        if self.instance in self.electors:
            return self.electors.index(self.instance)
        return len(self.electors)

    def _ask_at(self, promised_until: float) -> float:
        by_rank = promised_until + self._rank() * RANK_DELAY_S
        return max(by_rank, self.ask_after)

    def _next_term(self) -> int:
        highest = ids.Term.decode(self.highest_term)
        if highest.electors_version >= self.electors_version:
            return self.highest_term + 1
        return ids.Term(self.electors_version, 1).encode()

    def _send(self, now: float, term: int) -> VoteRequests:
        self.number += 1
        self.highest_term = max(self.highest_term, term)
        self.rounds[self.number] = Round(
            self.number, term, now, self.electors_version, self.electors
        )
        while len(self.rounds) > KEPT_ROUNDS:
            del self.rounds[min(self.rounds)]
        request = messages.VoteRequest(
            self.group,
            self.electors_version,
            term,
            LEASE_MS,
            self.number,
            self.offset,
        )
        return [(elector, request) for elector in self.electors]

    def _expire_round(self, now: float) -> None:
        latest = self.rounds[max(self.rounds)]
        if now >= latest.sent_at + self.round_s:
            self.round_s = min(2 * self.round_s, MAX_ROUND_S)
            self._abandon(now, latest)

    def _abandon(self, now: float, lost: Round) -> None:
        # The term is never used again, so its votes can be given back; they
        # would block the next candidate until their deadline otherwise.
        release = messages.VoteRelease(self.group, lost.term)
        self.to_release += [(each, release) for each in lost.electors]
        self.rounds.clear()
        self._delay(now)

    def vote(
        self, now: float, sender: ids.InstanceId, vote: messages.Vote
    ) -> None:
        """Count the answer of an elector."""
        self.highest_term = max(self.highest_term, vote.highest_term)
        self.read_offsets[sender] = vote.offset
        counted = self.rounds.get(vote.number)
        if counted is None or sender not in counted.electors:
            return
        (counted.granted if vote.granted else counted.refused).add(sender)
        if counted.won():
            self._win(counted)
        elif counted.lost() and not self.term:
            self._abandon(now, counted)

    def _win(self, won: Round) -> None:
        self.round_s = ROUND_S
        self.term = won.term
        self.deadline = max(self.deadline, won.sent_at + LEASE_S)
        self.renew_at = max(self.renew_at, won.sent_at + RENEWAL_S)
        self.majority_version = max(
            self.majority_version, won.electors_version
        )

    def lease(self, now: float) -> Lease | None:
        """Return the lease if it is held at `now`."""
        if not self.term or now >= self.deadline:
            return None
        return Lease(self.term, self.deadline)

    def next_poll(self, now: float, promised_until: float) -> float:
        """Return the time at which `poll` has to be called next."""
        if self.term:
            return max(now, self.renew_at)
        if self.rounds:
            return self.rounds[max(self.rounds)].sent_at + self.round_s
        return max(now, self._ask_at(promised_until))

    def may_change_electors(self, now: float) -> bool:
        """Return whether the next elector step may be appended.

        That is when the lease is held and its last majority was counted
        under the newest electors version known.
        """
        current = self.majority_version == self.electors_version
        return self.lease(now) is not None and current

    def majority_has_read(self, offset: int) -> bool:
        """Return whether a majority of electors has read the log to `offset`.

        No candidate that has not read the record at `offset` can win a later
        term then.
        """
        readers = sum(
            self.read_offsets.get(elector, 0) > offset
            for elector in self.electors
        )
        return 2 * readers > len(self.electors)

    def release(self, now: float, quiet_at: float) -> VoteReleases:
        """Give the lease back; return the messages to the electors.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        quiet_at : float
            `Coordinator.quiet_at`; before it nothing is released, as the
            next coordinator takes all permits and grants for expired.
        """
        if not self.term or now < quiet_at:
            return []
        release = messages.VoteRelease(self.group, self.term)
        self._drop_term(now)
        self.deadline = 0.0
        return [(elector, release) for elector in self.electors]

    def abandoned(self) -> VoteReleases:
        """Return the releases of votes for terms that were not won."""
        releases, self.to_release = self.to_release, []
        return releases
