"""Records in force, as every reader of the log derives them."""

from __future__ import annotations

import typing

from knapweedhall_ownership import consistency
from knapweedhall_ownership import slices
from knapweedhall_records import bodies
from knapweedhall_records import errors

CHECKPOINT = 'checkpoint'

Key = tuple[str, str]
Identity = tuple[str, int, int]


class Entry(typing.NamedTuple):
    """A record and the offset at which it was read.

    `first` is the offset of the first version in force of the same kind and
    name. It tells a reader that has a record from a peer whether there was
    one when an older offset was decided.
    """

    offset: int
    record: bodies.Record
    first: int


class InForce(typing.NamedTuple):
    """The record won; `previous` is what it replaced."""

    record: bodies.Record
    previous: bodies.Record | None


class Repeated(typing.NamedTuple):
    """The record was read before, at the same or a lower offset."""

    record: bodies.Record


class Superseded(typing.NamedTuple):
    """The record lost; `in_force` is the version that it did not replace."""

    record: bodies.Record
    in_force: int


class Refused(typing.NamedTuple):
    """The record is invalid; every reader skips it for the same reason."""

    refusal: errors.Refusal


class CheckpointPart(typing.NamedTuple):
    """The record is part of a checkpoint and changes no configuration."""

    record: bodies.Record


Outcome = InForce | Repeated | Superseded | Refused | CheckpointPart


class Snapshot(typing.NamedTuple):
    """Everything that decides the records from an offset on.

    Attributes
    ----------
    next_offset : int
        First offset that is not covered.
    entries : tuple of Entry
        Records in force with their offsets.
    ahead : tuple of Entry
        Records that lost because they replace a version above the one in
        force, or contradict a record of another kind. A repeat of such a
        record could win later, so a reader without them would decide
        differently.
    """

    next_offset: int
    entries: tuple[Entry, ...]
    ahead: tuple[Entry, ...] = ()


def key_of(record: bodies.Record) -> Key:
    """Return the (kind, name) that versions are counted for."""
    return record.kind, record.name


def identity_of(record: bodies.Record) -> Identity:
    """Return what a repeated append has in common with the first."""
    return record.writer, record.incarnation, record.number


def _fingerprint(record: bodies.Record) -> int:
    parts = (*key_of(record), record.version, *identity_of(record))
    return slices.hash_text('\n'.join(str(part) for part in parts))


class Store:
    """Records in force; the same for all readers of the same log.

    Attributes
    ----------
    next_offset : int
        First offset that was not read.
    entries : dict of (str, str) to Entry
        Records in force by (kind, name).
    ahead : dict of (str, str) to dict of Identity to Entry
        Records that lost and whose repeats could win, see `Snapshot`.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.entries: dict[Key, Entry] = {}
        self.ahead: dict[Key, dict[Identity, Entry]] = {}
        self.combined = 0

    def apply(
        self, offset: int, record: bodies.Record | errors.Refusal
    ) -> Outcome:
        """Decide on the record, or the undecodable one, at an offset.

        A record wins if its `replaces` is the version in force of its
        (kind, name). Repeats of a winner lose by that rule alone, as the
        version in force never returns to an earlier one.
        """
        repeated = offset < self.next_offset
        self.next_offset = max(self.next_offset, offset + 1)
        if isinstance(record, errors.Refusal):
            return Refused(record)
        if record.kind == CHECKPOINT:
            return CheckpointPart(record)
        if repeated:
            return Repeated(record)
        current = self.entries.get(key_of(record))
        first = current.first if current else offset
        return self._decide(Entry(offset, record, first))

    def _decide(self, entry: Entry) -> Outcome:
        record = entry.record
        key = key_of(record)
        current = self.entries.get(key)
        version = current.record.version if current else 0
        if self._is_repeat(entry, current):
            return Repeated(record)
        # A record from a peer can be in force before this reader reaches its
        # offset; older offsets were decided against its predecessors.
        outdated = current is not None and entry.offset <= current.offset
        if record.replaces > version or (
            outdated and record.replaces == version
        ):
            self._keep_ahead(entry)
            return Superseded(record, version)
        if record.replaces < version:
            return Superseded(record, version)
        if record.version <= version:
            return Refused(_not_above(record, version))
        refusal = consistency.check(record, self._at(entry.offset))
        if refusal is not None:
            # Its repeat could come into force once the record that it
            # contradicts or lacks has changed.
            self._keep_ahead(entry)
            return Refused(refusal)
        self._put(entry)
        return InForce(record, current.record if current else None)

    def _at(self, offset: int) -> consistency.Get:
        """Return what finds the records that exist before an offset."""

        def get(kind: str, name: str) -> bodies.Record | None:
            entry = self.entries.get((kind, name))
            return entry.record if entry and entry.first < offset else None

        return get

    def _is_repeat(self, entry: Entry, current: Entry | None) -> bool:
        identity = identity_of(entry.record)
        if current and identity == identity_of(current.record):
            return True
        first = self.ahead.get(key_of(entry.record), {}).get(identity)
        return first is not None and first.offset < entry.offset

    def _keep_ahead(self, entry: Entry) -> None:
        kept = self.ahead.setdefault(key_of(entry.record), {})
        kept.setdefault(identity_of(entry.record), entry)

    def _put(self, entry: Entry) -> None:
        key = key_of(entry.record)
        current = self.entries.get(key)
        if current:
            self.combined ^= _fingerprint(current.record)
        self.combined ^= _fingerprint(entry.record)
        self.entries[key] = entry
        self._forget_ahead(key, entry.record.version)

    def _forget_ahead(self, key: Key, version: int) -> None:
        # Records that replace a version below the one in force can never
        # win, so only those at or above it have to be kept.
        kept = {
            identity: entry
            for identity, entry in self.ahead.pop(key, {}).items()
            if entry.record.replaces >= version
        }
        if kept:
            self.ahead[key] = kept

    def get(self, kind: str, name: str) -> bodies.Record | None:
        """Return the record in force, None if there is none."""
        entry = self.entries.get((kind, name))
        return entry.record if entry else None

    def accepted(self, record: bodies.Record) -> bool:
        """Return whether this very record is the one in force.

        A writer asks this when its record came with a peer's snapshot, as
        `apply` then reports it as repeated.
        """
        current = self.get(record.kind, record.name)
        return current is not None and (
            identity_of(current) == identity_of(record)
        )

    def names(self, kind: str) -> list[str]:
        """Return the names of the records of a kind, sorted."""
        return sorted(name for each, name in self.entries if each == kind)

    def versions(self) -> dict[Key, int]:
        """Return the version in force per (kind, name)."""
        return {
            key: entry.record.version for key, entry in self.entries.items()
        }

    def digest(self) -> str:
        """Return a hash of all records in force, equal for equal stores."""
        return f'{self.combined:016x}'

    def records(self) -> list[bodies.Record]:
        """Return all records in force, sorted by kind and name."""
        return [self.entries[key].record for key in sorted(self.entries)]

    def newer_than(self, versions: typing.Mapping[Key, int]) -> list[Entry]:
        """Return the entries that a peer with these versions lacks."""
        return [
            self.entries[key]
            for key in sorted(self.entries)
            if self.entries[key].record.version > versions.get(key, 0)
        ]

    def snapshot(self) -> Snapshot:
        """Return what a new reader needs to continue at `next_offset`."""
        ahead = (
            entry
            for key in sorted(self.ahead)
            for entry in self.ahead[key].values()
        )
        entries = tuple(self.entries[key] for key in sorted(self.entries))
        return Snapshot(self.next_offset, entries, tuple(ahead))

    def load(self, snapshot: Snapshot) -> list[bodies.Record]:
        """Take records from a peer or a checkpoint.

        A record replaces the one in force only if its version is higher.
        For a partial transfer pass `next_offset` 0, which leaves the store's
        own unchanged.

        Returns
        -------
        list of bodies.Record
            The records that came into force.
        """
        taken = []
        for entry in snapshot.entries:
            current = self.entries.get(key_of(entry.record))
            if current and current.record.version >= entry.record.version:
                continue
            self._put(entry)
            taken.append(entry.record)
        for entry in snapshot.ahead:
            self._load_ahead(entry)
        self.next_offset = max(self.next_offset, snapshot.next_offset)
        return taken

    def _load_ahead(self, entry: Entry) -> None:
        current = self.entries.get(key_of(entry.record))
        version = current.record.version if current else 0
        if entry.record.replaces >= version:
            self._keep_ahead(entry)


def _not_above(record: bodies.Record, version: int) -> errors.Refusal:
    return errors.VersionConflict(
        f'version {record.version} of {record.kind} {record.name!r} is not '
        f'above version {version} in force',
        f'publish again with a version above {version}',
    )
