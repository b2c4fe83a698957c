"""Which upstream owns which keys, as an instance knows it."""

from __future__ import annotations

import bisect
import typing

from knapweedhall_routing import model


class Version(typing.NamedTuple):
    """Order of ownership tables: the coordinator's epoch, then a number."""

    epoch: int
    number: int


NO_VERSION = Version(-1, 0)


class OwnerTable:
    """Owned ranges of one service.

    Attributes
    ----------
    version : Version
        Of the last accepted table.
    owned_ranges : list of model.OwnedRange
        By first key; they cover each key at most once.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.owned_ranges: list[model.OwnedRange] = []
        self.starts: list[int] = []

    def replace(
        self, version: Version, rows: typing.Iterable[model.OwnedRange]
    ) -> bool:
        """Take a newer table; return False if it is older or the same."""
        if version <= self.version:
            return False
        self.version = version
        self.owned_ranges = sorted(rows)
        self.starts = [row.first for row in self.owned_ranges]
        return True

    def patch(
        self, version: Version, rows: typing.Iterable[model.OwnedRange]
    ) -> bool:
        """Replace what the table says of some keys.

        Returns
        -------
        bool
            False if a change in between is missing; the table is unchanged.
        """
        following = Version(self.version.epoch, self.version.number + 1)
        if version != following:
            return False
        kept = self.owned_ranges
        for row in rows:
            kept = _without(kept, row.first, row.last)
            kept.append(row)
        return self.replace(version, kept)

    def find(self, key: int) -> model.OwnedRange | None:
        """Return the range of a key, or None if nobody is known to own it."""
        place = bisect.bisect_right(self.starts, key) - 1
        if place < 0:
            return None
        row = self.owned_ranges[place]
        return row if key <= row.last else None


def _without(
    rows: typing.Iterable[model.OwnedRange], first: int, last: int
) -> list[model.OwnedRange]:
    """Return the rows without the keys from `first` to `last`."""
    kept = []
    for row in rows:
        if row.last < first or row.first > last:
            kept.append(row)
            continue
        if row.first < first:
            kept.append(row._replace(last=first - 1))
        if row.last > last:
            kept.append(row._replace(first=last + 1))
    return kept
