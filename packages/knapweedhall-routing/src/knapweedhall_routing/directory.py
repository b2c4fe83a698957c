"""Upstreams that the store lists, and those that must not be used."""

from __future__ import annotations

import typing

from knapweedhall_routing import model

# Entries that expired during an outage of the store are written again within
# about two seconds of its return (users' requirements, Serving).
RELISTING_GRACE_S = 2.5
# After the store answered without a failure for this time a removal is taken
# as it is; equals the time of the removal's detection by three heartbeats.
RECENT_OUTAGE_S = 4.0


class PendingRemoval(typing.NamedTuple):
    """An upstream that left the list.

    Attributes
    ----------
    upstream : model.Upstream
        Its last entry.
    expires_at : float
        When it is taken as gone, seconds.
    """

    upstream: model.Upstream
    expires_at: float


class Directory:
    """Entries of all upstreams.

    Attributes
    ----------
    entries : dict of str to model.Upstream
        By name; includes entries that lapsed and may come back.
    pending_removals : dict of str to PendingRemoval
        Entries that the store removed and that are still used until they
        are certain to be gone.
    leaving_since : dict of str to float
        When an entry was first seen draining or gone, seconds.
    evacuated : dict of str to float
        Failure domains whose upstreams get nothing, and since when.
    last_outage_at : float
        When the store last failed to answer, seconds.
    """

    def __init__(self) -> None:
        self.entries: dict[str, model.Upstream] = {}
        self.pending_removals: dict[str, PendingRemoval] = {}
        self.leaving_since: dict[str, float] = {}
        self.evacuated: dict[str, float] = {}
        self.last_outage_at = float('-inf')

    def record_store_failure(self, now: float) -> None:
        """Take note that the store did not answer."""
        self.last_outage_at = now

    def put(self, entry: model.Upstream, now: float) -> bool:
        """Add or replace an entry; return whether it is a new process."""
        known = self.entries.get(entry.name)
        self.pending_removals.pop(entry.name, None)
        self.entries[entry.name] = entry
        if entry.draining:
            self.leaving_since.setdefault(entry.name, now)
        else:
            self.leaving_since.pop(entry.name, None)
        return known is None or known.born_ms != entry.born_ms

    def remove(self, name: str, now: float) -> bool:
        """Take note that the store has no entry of this name any more.

        Returns whether it had one before.
        """
        entry = self.entries.get(name)
        if entry is None or name in self.pending_removals:
            return False
        expires_at = now
        if now - self.last_outage_at < RECENT_OUTAGE_S:
            expires_at = self.last_outage_at + RELISTING_GRACE_S
            expires_at = max(expires_at, now + RELISTING_GRACE_S / 2)
        self.pending_removals[name] = PendingRemoval(entry, expires_at)
        self.expire(now)
        return True

    def expire(self, now: float) -> list[str]:
        """Drop entries whose absence is certain; return their names."""
        gone = [
            name
            for name, departure in self.pending_removals.items()
            if departure.expires_at <= now
        ]
        for name in gone:
            del self.pending_removals[name]
            del self.entries[name]
            self.leaving_since.pop(name, None)
        return gone

    def set_evacuated(
        self, domains: typing.Collection[str], now: float
    ) -> bool:
        """Set the evacuated domains; return whether they changed."""
        if set(domains) == set(self.evacuated):
            return False
        self.evacuated = {
            domain: self.evacuated.get(domain, now) for domain in domains
        }
        return True

    def unusable_since(self, name: str) -> float | None:
        """Return since when an upstream must get nothing, or None."""
        times = []
        if name in self.leaving_since:
            times.append(self.leaving_since[name])
        entry = self.entries.get(name)
        if entry is not None and entry.failure_domain in self.evacuated:
            times.append(self.evacuated[entry.failure_domain])
        return min(times, default=None)

    def usable(self, service: str) -> list[model.Upstream]:
        """Return the upstreams of a service that may get new work."""
        return [
            entry
            for entry in self.entries.values()
            if entry.service == service and self.is_usable(entry)
        ]

    def is_usable(self, entry: model.Upstream) -> bool:
        """Return whether an upstream may get new work."""
        return (
            not entry.draining and entry.failure_domain not in self.evacuated
        )
