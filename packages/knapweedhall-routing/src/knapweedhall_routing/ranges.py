"""The owners of key ranges, as known to an instance."""

from __future__ import annotations

import bisect
import typing

from knapweedhall_routing import model


class Version(typing.NamedTuple):
    """Version of an ownership table, ordered by epoch and then by number.

    Attributes
    ----------
    epoch : int
        Epoch of the coordinator that sent the table.
    number : int
        Number of the table within the epoch.
    """

    epoch: int
    number: int


NO_VERSION = Version(-1, 0)


class OwnerTable:
    """Owned ranges of one service.

    Attributes
    ----------
    version : Version
        Version of the last accepted table.
    owned_ranges : list of model.OwnedRange
        Ranges ordered by first key; they cover each key at most once.
    first_keys : list of int
        First key of each range.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.owned_ranges: list[model.OwnedRange] = []
        self.first_keys: list[int] = []

    def replace(
        self, version: Version, owned_ranges: typing.Iterable[model.OwnedRange]
    ) -> bool:
        """Replace the whole table; return False if it is not newer."""
        if version <= self.version:
            return False
        self.version = version
        self.owned_ranges = sorted(owned_ranges)
        self.first_keys = [owned.first for owned in self.owned_ranges]
        return True

    def patch(
        self, version: Version, changed: typing.Iterable[model.OwnedRange]
    ) -> bool:
        """Replace the entries of some keys.

        Returns
        -------
        bool
            False if a change in between is missing; the table is unchanged.
        """
        next_version = Version(self.version.epoch, self.version.number + 1)
        if version != next_version:
            return False
        owned_ranges = self.owned_ranges
        for owned in changed:
            owned_ranges = _without(owned_ranges, owned.first, owned.last)
            owned_ranges.append(owned)
        return self.replace(version, owned_ranges)

    def find(self, key: int) -> model.OwnedRange | None:
        """Return the range that contains a key; None if none does."""
        index = bisect.bisect_right(self.first_keys, key) - 1
        if index < 0:
            return None
        owned = self.owned_ranges[index]
        return owned if key <= owned.last else None


def _without(
    owned_ranges: typing.Iterable[model.OwnedRange], first: int, last: int
) -> list[model.OwnedRange]:
    """Return the ranges without the keys from `first` to `last`."""
    kept = []
    for owned in owned_ranges:
        if owned.last < first or owned.first > last:
            kept.append(owned)
            continue
        if owned.first < first:
            kept.append(owned._replace(last=first - 1))
        if owned.last > last:
            kept.append(owned._replace(first=last + 1))
    return kept
