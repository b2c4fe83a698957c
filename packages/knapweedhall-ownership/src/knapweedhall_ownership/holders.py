"""The coordinator's table for send permits, and who holds which version."""

from __future__ import annotations

import bisect
import typing

from knapweedhall_ownership import messages
from knapweedhall_records import ids

# An offer has to fit in a message of 64 KB; a version has to fit in an offer.
MAX_OFFER_BYTES = 48000
MAX_VERSION_ENTRIES = 64
ENTRY_BYTES = 24
# Ends of permits are kept for the longest `max_work_ms` after them.
KEPT_S = 1.0

SliceKey = tuple[str, int]


def entry_bytes(entry: messages.TableEntry) -> int:
    """Return about how long an entry is in an encoded offer."""
    names = len(entry.service) + len(entry.upstream) + len(entry.key)
    return names + ENTRY_BYTES


class Table:
    """Entries of the slice table with the version that changed them last."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[SliceKey, tuple[int, messages.TableEntry]] = {}
        self.log_versions: list[int] = []
        self.log_keys: list[SliceKey] = []

    def put(self, entries: typing.Sequence[messages.TableEntry]) -> int:
        """Add changed entries; return the version that holds all of them."""
        for start in range(0, len(entries), MAX_VERSION_ENTRIES):
            self.version += 1
            for entry in entries[start : start + MAX_VERSION_ENTRIES]:
                key = entry.service, entry.slice
                self.entries[key] = self.version, entry
                self.log_versions.append(self.version)
                self.log_keys.append(key)
        if len(self.log_keys) > 2 * len(self.entries) + MAX_VERSION_ENTRIES:
            self._compact()
        return self.version

    def bump(self) -> int:
        """Return a new version without a changed entry."""
        self.version += 1
        return self.version

    def get(self, service: str, number: int) -> messages.TableEntry | None:
        """Return the present entry of a slice."""
        found = self.entries.get((service, number))
        return found[1] if found else None

    def _compact(self) -> None:
        order = sorted(
            (version, key) for key, (version, _) in self.entries.items()
        )
        self.log_versions = [version for version, _ in order]
        self.log_keys = [key for _, key in order]

    def since(self, base: int) -> tuple[int, list[messages.TableEntry]]:
        """Return entries changed after `base` and the version they lead to.

        The version is below the newest one if not all fit in an offer; it is
        always a version whose entries are complete.
        """
        start = bisect.bisect_right(self.log_versions, base)
        found: list[messages.TableEntry] = []
        size = 0
        for place in range(start, len(self.log_keys)):
            version, entry = self.entries[self.log_keys[place]]
            if version != self.log_versions[place]:
                continue
            size += entry_bytes(entry)
            if size > MAX_OFFER_BYTES:
                return self._cut(version, found)
            found.append(entry)
        return self.version, found

    def _cut(
        self, version: int, found: list[messages.TableEntry]
    ) -> tuple[int, list[messages.TableEntry]]:
        complete = [
            entry
            for entry in found
            if self.entries[entry.service, entry.slice][0] < version
        ]
        return version - 1, complete


class Holder:
    """What the coordinator knows of one instance's send permit.

    Attributes
    ----------
    number : int
        Number of the last request.
    received_at : float
        Time of its receipt.
    acknowledged : int
        Table version acknowledged.
    offered : int
        Newest table version at the time of the last offer.
    ends : dict of int to float
        Latest end of the permits per table version that were offered and
        not replaced by an acknowledged one.
    """

    def __init__(self) -> None:
        self.number = 0
        self.received_at = 0.0
        self.acknowledged = 0
        self.offered = 0
        self.ends: dict[int, float] = {}

    def old_end(self, version: int) -> float:
        """Return the end of all permits with a table before `version`."""
        if self.acknowledged >= version:
            return 0.0
        return max(
            (end for each, end in self.ends.items() if each < version),
            default=0.0,
        )


class Holders:
    """All instances that may hold a send permit of this term."""

    def __init__(self) -> None:
        self.by_instance: dict[ids.InstanceId, Holder] = {}

    def request(
        self,
        now: float,
        sender: ids.InstanceId,
        number: int,
        acknowledged: int,
    ) -> Holder | None:
        """Note a request; return None if it is a duplicate or overtaken."""
        holder = self.by_instance.setdefault(sender, Holder())
        if number <= holder.number:
            return None
        holder.number = number
        holder.received_at = now
        if acknowledged > holder.acknowledged:
            holder.acknowledged = acknowledged
        holder.ends = {
            version: end
            for version, end in holder.ends.items()
            if version >= holder.acknowledged and end + KEPT_S > now
        }
        return holder

    def offered(self, holder: Holder, version: int, end: float) -> None:
        """Note an offer of a table version that ends at `end`."""
        holder.ends[version] = max(holder.ends.get(version, 0.0), end)

    def cleared(self, now: float, version: int) -> bool:
        """Return whether no live permit has a table before `version`."""
        return all(
            holder.old_end(version) <= now
            for holder in self.by_instance.values()
        )

    def acknowledged(self, now: float, version: int) -> bool:
        """Return whether nobody lost a permit before acknowledging it."""
        return all(
            holder.old_end(version) + KEPT_S <= now
            for holder in self.by_instance.values()
        )

    def old_end(self, version: int) -> float:
        """Return the end of all permits with a table before `version`."""
        return max(
            (holder.old_end(version) for holder in self.by_instance.values()),
            default=0.0,
        )

    def latest_end(self) -> float:
        """Return the end of all permits offered."""
        return max(
            (
                max(holder.ends.values(), default=0.0)
                for holder in self.by_instance.values()
            ),
            default=0.0,
        )

    def forget(self, now: float) -> None:
        """Drop instances whose permits have ended long ago."""
        for instance, holder in list(self.by_instance.items()):
            last = max(holder.ends.values(), default=holder.received_at)
            if max(last, holder.received_at) + 2 * KEPT_S < now:
                del self.by_instance[instance]
