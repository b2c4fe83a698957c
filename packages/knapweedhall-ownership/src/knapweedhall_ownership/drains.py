"""Conditions under which a slice may leave an upstream within a term."""

from __future__ import annotations

import typing

from knapweedhall_ownership import contacts
from knapweedhall_ownership import election
from knapweedhall_ownership import holders
from knapweedhall_ownership import orders
from knapweedhall_ownership import placement

CLOCK_MARGIN = election.CLOCK_MARGIN
# Delay before a release that got no answer is sent again.
RETRY_S = 0.25


class Drain:
    """Slices of one service that leave one upstream together.

    Attributes
    ----------
    service, upstream : str
        Service and old owner.
    slices : set of int
        Slices that are drained.
    followers : set of int
        New hot keys whose plain slice is drained.
    version : int
        First table version without the old owner.
    checks_tokens : bool
        Whether the old owner rejects old tokens.
    work_s : float
        Longest time that work may last beyond a permit, in seconds.
    reason : str
        Why the slices are withdrawn.
    """

    def __init__(
        self,
        service: str,
        upstream: str,
        numbers: set[int],
        version: int,
        checks_tokens: bool,
        work_s: float,
        reason: str,
    ) -> None:
        self.service = service
        self.upstream = upstream
        self.slices = numbers
        self.followers: set[int] = set()
        self.version = version
        self.checks_tokens = checks_tokens
        self.work_s = work_s
        self.reason = reason
        self.excluded = False
        self.last_grant = 0
        self.grant_end = 0.0
        self.stale_end = 0.0
        self.work_end = 0.0
        self.release_number = 0
        self.retry_at = 0.0
        self.released = False

    def watch_permits(self, permits: holders.Holders) -> None:
        """Note the end of the permits that still name the old owner.

        An offer with a part of a long table can extend an old permit after
        the withdrawal, so this is repeated in every step.
        """
        self.work_end = max(self.work_end, permits.old_end(self.version))

    def exclude(self, contact: contacts.Contact) -> None:
        """Stop granting the slices to the old owner."""
        if self.excluded:
            return
        self.excluded = True
        self.last_grant = contact.last_number
        self.grant_end = contact.latest_end()
        contact.disown(self.service, self.slices)

    def advance(
        self,
        now: float,
        permits: holders.Holders,
        contact: contacts.Contact,
    ) -> None:
        """Stop the grants once no permit names the old owner."""
        self.watch_permits(permits)
        if permits.cleared(now, self.version):
            self.exclude(contact)

    def release_due(self, now: float, contact: contacts.Contact) -> bool:
        """Return whether the release has to be sent to the old owner."""
        if not self.excluded or self.released or self.release_number:
            return False
        if contact.lost or contact.gone or now < self.retry_at:
            return False
        # A grant that arrived after the release would undo it.
        return not 0 < contact.in_flight <= self.last_grant

    def release_sent(self, number: int, contact: contacts.Contact) -> None:
        """Note the release's number, and grants that can overtake it."""
        self.release_number = number
        self.stale_end = contact.stale_end(self.last_grant)

    def release_failed(self, now: float) -> None:
        """Send the release again later."""
        self.release_number = 0
        self.retry_at = now + RETRY_S

    def done(self, now: float, permits: holders.Holders) -> bool:
        """Return whether the slices may be activated elsewhere."""
        if not permits.cleared(now, self.version):
            return False
        if self.released and self._release_counts(now, permits):
            return True
        if self.checks_tokens:
            return self.excluded and now >= self.grant_end
        return now >= self.work_end + self.work_s * CLOCK_MARGIN

    def _release_counts(self, now: float, permits: holders.Holders) -> bool:
        if now < self.stale_end:
            return False
        # A request of a sender that did not acknowledge can reach the old
        # owner after the release; without tokens nothing rejects it.
        return self.checks_tokens or permits.acknowledged(now, self.version)


def group_release(
    service: str,
    first: int,
    count: int,
    version: int,
    numbers: typing.Iterable[int],
) -> orders.GroupRelease:
    """Return the release of slices of one plan record."""
    name = placement.record_name(service, first, count)
    return orders.GroupRelease(service, name, version, tuple(sorted(numbers)))
