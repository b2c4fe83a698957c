"""Partitions and consumer groups of the fake store, in memory."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
import typing


class Record(typing.NamedTuple):
    """Record of a keyed topic."""

    offset: int
    key: str
    value: bytes


class Listing(typing.NamedTuple):
    """Newest records of a partition, as listed from a monotonic time on."""

    valid_from: float
    newest: dict[str, Record]
    end_offset: int


# Listings that a partition keeps, so that it can return old ones.
MAX_LISTINGS = 400


class Partition:
    """Records of one partition; offsets go back only when it is restored.

    Attributes
    ----------
    first_offset : int
        Offset of the oldest record that was not deleted.
    listings : collections.deque of Listing
        Earlier listings and the current one, the oldest first.
    records : list of Record
        Records that were not deleted.
    newest : dict of str to Record
        Newest record of each key that was not removed.
    """

    def __init__(self) -> None:
        self.first_offset = 0
        self.listings: collections.deque[Listing] = collections.deque(
            [Listing(float('-inf'), {}, 0)], MAX_LISTINGS
        )
        self.records: list[Record] = []
        self.newest: dict[str, Record] = {}
        self.changed = asyncio.Event()

    @property
    def end_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Append a record and return its offset; no value removes the key."""
        record = Record(self.end_offset, key, value)
        self.records.append(record)
        if value:
            self.newest[key] = record
        else:
            self.newest.pop(key, None)
        self.listings.append(
            Listing(time.monotonic(), dict(self.newest), self.end_offset)
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return record.offset

    def records_from(self, offset: int) -> list[Record] | None:
        """Return the records from an offset on, None if it has not all."""
        if not self.first_offset <= offset <= self.end_offset:
            return None
        return self.records[offset - self.first_offset :]

    def listing_at(self, moment: float) -> Listing:
        """Return the listing that was current at a monotonic time."""
        latest = self.listings[0]
        for listing in self.listings:
            if listing.valid_from > moment:
                break
            latest = listing
        return latest

    def restore(self, moment: float) -> None:
        """Return to the state of a monotonic time; what came after is lost."""
        copy = self.listing_at(moment)
        self.records = [
            record
            for record in self.records
            if record.offset < copy.end_offset
        ]
        self.first_offset = copy.end_offset - len(self.records)
        self.newest = dict(copy.newest)
        self.listings = collections.deque(
            [copy._replace(valid_from=float('-inf'))], MAX_LISTINGS
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def delete_history(self) -> None:
        """Delete all records; listings still return the newest of each key."""
        self.first_offset = self.end_offset
        self.records = []


@dataclasses.dataclass
class Member:
    """Member of a group; it expires unless it joins again in time."""

    timeout_s: float
    expires_at: float
    generation: int


class Group:
    """Members of a consumer group, of which one holds partition 0.

    Attributes
    ----------
    generation : int
        Number that increases with each change of members or assignment.
    holder : str
        Member that holds the partition; empty if there is none.
    assignee : str
        Member that the partition is assigned to; it becomes the holder when
        the former holder has released the partition.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.generation = 0
        self.holder = ''
        self.assignee = ''

    def join(
        self, name: str, timeout_s: float, known_generation: int, now: float
    ) -> bool:
        """Join or renew; return whether the member holds the partition."""
        self.expire(now)
        if name not in self.members:
            self.generation += 1
        self.members[name] = Member(
            timeout_s, now + timeout_s, known_generation
        )
        if not self.assignee:
            self.assignee = name
        if self.holder != self.assignee:
            # The former holder releases the partition when it joins with the
            # generation in which the partition was reassigned.
            if self.holder == name and known_generation >= self.generation:
                self.holder = ''
            if not self.holder:
                self.holder = self.assignee
        return self.holder == name == self.assignee

    def leave(self, name: str, now: float) -> None:
        """Remove a member."""
        if self.members.pop(name, None) is None:
            return
        self._reassign_from(name)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove the members that did not join again in time."""
        for name, member in list(self.members.items()):
            if member.expires_at <= now:
                del self.members[name]
                self._reassign_from(name)

    def reassign(self) -> None:
        """Assign the partition to another member."""
        others = sorted(set(self.members) - {self.assignee})
        if others:
            self.generation += 1
            self.assignee = others[0]

    def _reassign_from(self, name: str) -> None:
        self.generation += 1
        if self.assignee == name:
            self.assignee = next(iter(sorted(self.members)), '')
        if self.holder == name:
            self.holder = self.assignee
