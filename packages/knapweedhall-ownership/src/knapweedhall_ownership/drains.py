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
# How long the old owner may finish its work before its grant is left to
# expire; grants that do not name a slice may end its running work.
PATIENCE_S = 1.0


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
        self.patient_until = 0.0

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
        self.stale_end = contact.stale_end(self.last_grant)
        contact.disown(self.service, self.slices)

    def advance(
        self,
        now: float,
        permits: holders.Holders,
        contact: contacts.Contact,
    ) -> None:
        """Stop the grants when the old owner has had time to finish."""
        self.watch_permits(permits)
        if not permits.cleared(now, self.version):
            return
        if not self.patient_until:
            self.patient_until = now + PATIENCE_S
        late = now >= self.patient_until
        if self.released or late or contact.lost or contact.gone:
            self.exclude(contact)

    def release_due(self, now: float, contact: contacts.Contact) -> bool:
        """Return whether the release has to be sent to the old owner."""
        if not self.patient_until or self.released or self.release_number:
            return False
        return not (contact.lost or contact.gone) and now >= self.retry_at

    def release_sent(self, number: int) -> None:
        """Note the number of the release under way."""
        self.release_number = number

    def release_failed(self, now: float) -> None:
        """Send the release again later."""
        self.release_number = 0
        self.retry_at = now + RETRY_S

    def done(
        self,
        now: float,
        permits: holders.Holders,
        contact: contacts.Contact,
    ) -> bool:
        """Return whether the slices may be activated elsewhere."""
        if not permits.cleared(now, self.version):
            return False
        if self.released and self.release_counts(now, permits, contact):
            return True
        if self.checks_tokens:
            return self.excluded and now >= self.grant_end
        return now >= self.work_end + self.work_s * CLOCK_MARGIN

    def release_counts(
        self,
        now: float,
        permits: holders.Holders,
        contact: contacts.Contact,
    ) -> bool:
        """Return whether nothing can undo or overtake the release."""
        if not self.checks_tokens:
            # A request of a sender that did not acknowledge can reach the
            # old owner after the release; without tokens nothing rejects it.
            return permits.acknowledged(now, self.version)
        # A grant that arrived after the release has undone it, unless the
        # old owner has answered a later one without the slices.
        return (
            self.excluded
            and contact.answered_number > self.last_grant
            and now >= self.stale_end
        )


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
