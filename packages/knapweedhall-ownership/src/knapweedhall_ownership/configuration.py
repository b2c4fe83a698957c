"""Records in force, as every reader of the log derives them."""

from __future__ import annotations

import typing

from knapweedhall_records import bodies
from knapweedhall_records import errors

Key = tuple[str, str]


class Entry(typing.NamedTuple):
    """A record and the offset at which it was read."""

    offset: int
    record: bodies.Record


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
        force. A repeat of such a record could win once that version is in
        force, so a reader without them would decide differently.
    """

    next_offset: int
    entries: tuple[Entry, ...]
    ahead: tuple[Entry, ...] = ()


class Store:
    """Records in force; the same for all readers of the same log."""

    next_offset: int

    def apply(
        self, offset: int, record: bodies.Record | errors.Refusal
    ) -> Outcome:
        """Decide on the record, or the undecodable one, at an offset."""
        raise NotImplementedError

    def get(self, kind: str, name: str) -> bodies.Record | None:
        """Return the record in force, None if there is none."""
        raise NotImplementedError

    def names(self, kind: str) -> list[str]:
        """Return the names of the records of a kind, sorted."""
        raise NotImplementedError

    def versions(self) -> dict[Key, int]:
        """Return the version in force per (kind, name)."""
        raise NotImplementedError

    def digest(self) -> str:
        """Return a hash of all records in force, equal for equal stores."""
        raise NotImplementedError

    def records(self) -> list[bodies.Record]:
        """Return all records in force, sorted by kind and name."""
        raise NotImplementedError

    def newer_than(self, versions: typing.Mapping[Key, int]) -> list[Entry]:
        """Return the entries that a peer with these versions lacks."""
        raise NotImplementedError

    def snapshot(self) -> Snapshot:
        """Return what a new reader needs to continue at `next_offset`."""
        raise NotImplementedError

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
        raise NotImplementedError
