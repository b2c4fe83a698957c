"""Upstreams listed in the store, and which of them may be used."""

from __future__ import annotations

import typing

from knapweedhall_routing import model

# Time after a store outage for which upstreams whose entries expired stay
# listed; they register again within about two seconds of its end (users'
# requirements, Serving).
RELISTING_GRACE_S = 2.5
# Time after the last failure of the store for which a removal may be caused by
# the outage; equals the time in which a removal is detected by three missed
# heartbeats.
RECENT_OUTAGE_S = 4.0
# Time for which it is remembered that an upstream was leaving or had an entry
# after the entry was removed. The store may list it again for seconds after an
# outage.
LEAVING_KEPT_S = 600.0


class Leaving(typing.NamedTuple):
    """An upstream that said that it is leaving, or whose entry was removed.

    Attributes
    ----------
    born_ms : int
        Its incarnation; another one with the same name is not affected.
    since : float
        When this instance learned of it, seconds.
    """

    born_ms: int
    since: float


class PendingRemoval(typing.NamedTuple):
    """An upstream that the store removed and that may still be listed again.

    Attributes
    ----------
    upstream : model.Upstream
        Its last entry.
    expires_at : float
        When the removal becomes final, seconds.
    """

    upstream: model.Upstream
    expires_at: float


class Directory:
    """Entries of all upstreams.

    Attributes
    ----------
    entries : dict of str to model.Upstream
        Entries by name, including those with a pending removal.
    pending_removals : dict of str to PendingRemoval
        Entries that the store removed and that are used until their removal
        is final.
    draining_since : dict of str to float
        When an entry may have begun to drain, seconds.
    leaving : dict of str to Leaving
        Upstreams that said that they are leaving, by name. It ends with
        another incarnation of the name, or `LEAVING_KEPT_S` after the
        upstream said so if it is no longer listed.
    evacuated : dict of str to float
        Failure domains whose upstreams must not be used, and since when.
    last_outage_at : float
        When the store last failed to answer, seconds.
    removed : dict of str to Leaving
        Last incarnations of the names whose removal is final, and since when.
    """

    def __init__(self) -> None:
        self.entries: dict[str, model.Upstream] = {}
        self.pending_removals: dict[str, PendingRemoval] = {}
        self.draining_since: dict[str, float] = {}
        self.leaving: dict[str, Leaving] = {}
        self.evacuated: dict[str, float] = {}
        self.last_outage_at = float('-inf')
        self.removed: dict[str, Leaving] = {}

    def has_left(self, entry: model.Upstream) -> bool:
        """Return whether an entry is older than what is known of its process.

        A process does not become ready again once it drains, and one that is
        listed again after its removal writes its entry once more.
        """
        known = self.entries.get(entry.name)
        if known is not None:
            return known.born_ms == entry.born_ms and (
                known.draining and not entry.draining
            )
        removed = self.removed.get(entry.name)
        return removed is not None and removed.born_ms == entry.born_ms

    def record_store_failure(self, now: float) -> None:
        """Record that the store did not answer."""
        self.last_outage_at = now

    def put(self, entry: model.Upstream, unchanged_until: float) -> bool:
        """Add or replace an entry; return whether it is a new process.

        Parameters
        ----------
        entry : model.Upstream
            The entry.
        unchanged_until : float
            When the entries were last known, seconds. A change that is seen
            now may have happened any time after that.
        """
        known = self.entries.get(entry.name)
        self.pending_removals.pop(entry.name, None)
        self.removed.pop(entry.name, None)
        self.entries[entry.name] = entry
        if entry.draining:
            self.draining_since.setdefault(entry.name, unchanged_until)
        else:
            self.draining_since.pop(entry.name, None)
        leaving = self.leaving.get(entry.name)
        if leaving is not None and leaving.born_ms != entry.born_ms:
            del self.leaving[entry.name]
        return known is None or known.born_ms != entry.born_ms

    def record_leaving(
        self, name: str, now: float, born_ms: int | None = None
    ) -> bool:
        """Record that an upstream said that it is leaving.

        Parameters
        ----------
        name : str
            Name of the upstream.
        now : float
            Current time, seconds.
        born_ms : int or None
            Its incarnation; None for the listed one.

        Returns
        -------
        bool
            Whether this was not known.
        """
        entry = self.entries.get(name)
        if born_ms is None:
            if entry is None:
                return False
            born_ms = entry.born_ms
        elif entry is not None and entry.born_ms != born_ms:
            return False
        known = self.leaving.get(name)
        if known is not None and known.born_ms == born_ms:
            return False
        self.leaving[name] = Leaving(born_ms, now)
        return True

    def is_leaving(self, entry: model.Upstream) -> bool:
        """Return whether an upstream said that it is leaving."""
        leaving = self.leaving.get(entry.name)
        return leaving is not None and leaving.born_ms == entry.born_ms

    def unlisted_leaving(self) -> list[tuple[str, int]]:
        """Return names and incarnations of those not listed as draining."""
        return [
            (name, leaving.born_ms)
            for name, leaving in self.leaving.items()
            if name in self.entries and name not in self.draining_since
        ]

    def remove(
        self, name: str, now: float, outage_at: float | None = None
    ) -> bool:
        """Record that the store no longer has an entry of this name.

        After a recent outage of the store, the entry stays usable until the
        removal is final.

        Parameters
        ----------
        name : str
            Name of the upstream.
        now : float
            Current time, seconds.
        outage_at : float or None
            When the store last failed to answer the reader of the removal,
            seconds; None if this instance read it.

        Returns
        -------
        bool
            Whether the store had the entry before.
        """
        entry = self.entries.get(name)
        if entry is None or name in self.pending_removals:
            return False
        expires_at = now
        if outage_at is None:
            outage_at = self.last_outage_at
        if now - outage_at < RECENT_OUTAGE_S:
            expires_at = outage_at + RELISTING_GRACE_S
            expires_at = max(expires_at, now + RELISTING_GRACE_S / 2)
        self.pending_removals[name] = PendingRemoval(entry, expires_at)
        self.expire(now)
        return True

    def expire(self, now: float) -> list[str]:
        """Drop entries whose removal is final; return their names."""
        removed = [
            name
            for name, removal in self.pending_removals.items()
            if removal.expires_at <= now
        ]
        for name in removed:
            del self.pending_removals[name]
            entry = self.entries.pop(name)
            self.removed[name] = Leaving(entry.born_ms, now)
            self.draining_since.pop(name, None)
        for memory in (self.leaving, self.removed):
            forgotten = [
                name
                for name, leaving in memory.items()
                if name not in self.entries
                and now - leaving.since > LEAVING_KEPT_S
            ]
            for name in forgotten:
                del memory[name]
        return removed

    def set_evacuated(
        self, domains: typing.Collection[str], now: float
    ) -> bool:
        """Set the evacuated failure domains; return whether they changed."""
        if set(domains) == set(self.evacuated):
            return False
        self.evacuated = {
            domain: self.evacuated.get(domain, now) for domain in domains
        }
        return True

    def unusable_since(self, name: str) -> float | None:
        """Return since when an upstream is leaving or evacuated, or None."""
        times = []
        if name in self.draining_since:
            times.append(self.draining_since[name])
        entry = self.entries.get(name)
        if entry is not None and self.is_leaving(entry):
            times.append(self.leaving[name].since)
        if entry is not None and entry.failure_domain in self.evacuated:
            times.append(self.evacuated[entry.failure_domain])
        return min(times, default=None)

    def usable(self, service: str) -> list[model.Upstream]:
        """Return the upstreams of a service that may receive new work."""
        return [
            entry
            for entry in self.entries.values()
            if entry.service == service and self.is_usable(entry)
        ]

    def is_usable(self, entry: model.Upstream) -> bool:
        """Return whether an upstream may receive new work."""
        return (
            not entry.draining
            and entry.failure_domain not in self.evacuated
            and not self.is_leaving(entry)
        )
