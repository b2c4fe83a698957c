"""Partitions and groups of the stand-in for the platform's store."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
import typing


class Record(typing.NamedTuple):
    """One record of a keyed topic."""

    offset: int
    key: str
    value: bytes


class Listing(typing.NamedTuple):
    """What a listing showed from a time on."""

    at: float
    newest: dict[str, Record]
    end: int


# Listings of the past that are kept.
KEPT_LISTINGS = 400


class Partition:
    """Records of one partition; offsets never restart."""

    def __init__(self) -> None:
        self.first = 0
        self.listings: collections.deque[Listing] = collections.deque(
            [Listing(float('-inf'), {}, 0)], KEPT_LISTINGS
        )
        self.records: list[Record] = []
        self.newest: dict[str, Record] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Add a record; return its offset."""
        record = Record(self.end, key, value)
        self.records.append(record)
        if value:
            self.newest[key] = record
        else:
            self.newest.pop(key, None)
        self.listings.append(
            Listing(time.monotonic(), dict(self.newest), self.end)
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return record.offset

    def since(self, offset: int) -> list[Record] | None:
        """Return the records from an offset, None if they were deleted."""
        if offset < self.first:
            return None
        return self.records[offset - self.first :]

    def listing(self, at: float) -> Listing:
        """Return what a listing showed at a time."""
        found = self.listings[0]
        for one in self.listings:
            if one.at > at:
                break
            found = one
        return found

    def delete_history(self) -> None:
        """Delete the history; the newest record of each key stays."""
        self.first = self.end
        self.records = []


@dataclasses.dataclass
class Member:
    """One member of a group."""

    timeout_s: float
    silent_at: float
    generation: int


class Group:
    """Members and the holder of partition 0."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.generation = 0
        self.holder = ''
        self.wanted = ''

    def join(
        self, name: str, timeout_s: float, known: int, now: float
    ) -> bool:
        """Join or stay; return whether the member holds the partition."""
        self.expire(now)
        if name not in self.members:
            self.generation += 1
        self.members[name] = Member(timeout_s, now + timeout_s, known)
        if not self.wanted:
            self.wanted = name
        if self.holder != self.wanted:
            # The former holder gives way once it joins with the number that
            # its partition was taken away under.
            if self.holder == name and known >= self.generation:
                self.holder = ''
            if not self.holder:
                self.holder = self.wanted
        return self.holder == name == self.wanted

    def leave(self, name: str, now: float) -> None:
        """Take a member out at once."""
        if self.members.pop(name, None) is None:
            return
        self._give_on(name)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Take out the members that were silent for too long."""
        for name, member in list(self.members.items()):
            if member.silent_at <= now:
                del self.members[name]
                self._give_on(name)

    def deal_anew(self) -> None:
        """Give the partition to another member."""
        others = sorted(set(self.members) - {self.wanted})
        if others:
            self.generation += 1
            self.wanted = others[0]

    def _give_on(self, name: str) -> None:
        self.generation += 1
        if self.wanted == name:
            self.wanted = next(iter(sorted(self.members)), '')
        if self.holder == name:
            self.holder = self.wanted
