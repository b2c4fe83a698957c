"""Majority vote for the coordinator of a lease group."""

from __future__ import annotations

import random
import typing

from knapweedhall_ownership import messages
from knapweedhall_records import ids

LEASE_S = 1.0
RENEWAL_S = 0.25
# Candidates ask in the order of their rank to avoid split votes.
RANK_DELAY_S = 0.15
# Longest time that a candidate waits for the votes of a new term.
ROUND_S = 0.1
# Covers clock rates within 0.2% of each other on three clocks.
CLOCK_MARGIN = 1.01

VoteRequests = list[tuple[ids.InstanceId, messages.VoteRequest]]
VoteReleases = list[tuple[ids.InstanceId, messages.VoteRelease]]


class Lease(typing.NamedTuple):
    """Lease of a group: encoded term, end on the holder's clock (seconds)."""

    term: int
    deadline: float


class Elector:
    """Votes of one instance for the coordinators of all groups.

    The promises and the highest terms live as long as the process; a
    restarted process has another incarnation and is no elector until an
    electors record names it.
    """

    def set_electors_version(self, group: str, version: int) -> None:
        """Note the version of a group's electors record in force."""
        raise NotImplementedError

    def request(
        self,
        now: float,
        sender: ids.InstanceId,
        request: messages.VoteRequest,
    ) -> messages.Vote:
        """Decide on a request or a renewal; return the answer to send."""
        raise NotImplementedError

    def release(
        self, sender: ids.InstanceId, release: messages.VoteRelease
    ) -> bool:
        """End a promise early; return whether it was the sender's."""
        raise NotImplementedError

    def promised_until(self, group: str) -> float:
        """Return the deadline of a group's last promise, 0 for none."""
        raise NotImplementedError

    def holder(self, now: float, group: str) -> ids.InstanceId | None:
        """Return who holds the promise for a group at present."""
        raise NotImplementedError


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

    def set_electors(
        self, version: int, electors: tuple[ids.InstanceId, ...]
    ) -> None:
        """Take the electors record in force; older versions are ignored."""
        raise NotImplementedError

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
        raise NotImplementedError

    def vote(
        self, now: float, sender: ids.InstanceId, vote: messages.Vote
    ) -> None:
        """Count the answer of an elector."""
        raise NotImplementedError

    def lease(self, now: float) -> Lease | None:
        """Return the lease if it is held at `now`."""
        raise NotImplementedError

    def next_poll(self, now: float, promised_until: float) -> float:
        """Return the time at which `poll` has to be called next."""
        raise NotImplementedError

    def may_change_electors(self, now: float) -> bool:
        """Return whether the next elector step may be appended.

        That is when the lease is held and its last majority was counted
        under the newest electors version known.
        """
        raise NotImplementedError

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
        raise NotImplementedError

    def abandoned(self) -> VoteReleases:
        """Return the releases of votes for terms that were not won."""
        raise NotImplementedError
