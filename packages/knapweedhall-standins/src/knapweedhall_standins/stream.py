"""Append-only stream with offsets and limited retention; time is passed in."""

from __future__ import annotations

import collections
import typing

MAX_RECORD_BYTES = 65536
# Bounds one answer to a read, so that a reader far behind gets pages.
MAX_PAGE_BYTES = 1024 * 1024


class Entry(typing.NamedTuple):
    """One stored record.

    Attributes
    ----------
    offset : int
        Position in the stream, from 0.
    appended_ms : int
        Wall clock in ms since the epoch.
    stored_s : float
        Monotonic clock when it was stored, in seconds.
    body : str
        Text as it was appended.
    """

    offset: int
    appended_ms: int
    stored_s: float
    body: str


class Expired(typing.NamedTuple):
    """The wanted offset is older than the oldest stored one."""

    first: int


class Page(typing.NamedTuple):
    """Entries in order; `next` is the offset to read from afterwards."""

    first: int
    next: int
    entries: list[Entry]


class Stream:
    """One stream.

    Parameters
    ----------
    retention_s : float
        Age in seconds at which a record is dropped.
    """

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.entries: collections.deque[Entry] = collections.deque()
        self.end = 0

    def append(self, body: str, now_s: float, wall_ms: int) -> int:
        """Store a record and return its offset."""
        offset = self.end
        self.entries.append(Entry(offset, wall_ms, now_s, body))
        self.end += 1
        return offset

    def read(self, start: int, limit: int, now_s: float) -> Page | Expired:
        """Return the stored records from an offset."""
        self.expire(now_s)
        first = self.end - len(self.entries)
        if start < first:
            return Expired(first)
        found: list[Entry] = []
        size = 0
        for index in range(start - first, len(self.entries)):
            entry = self.entries[index]
            size += len(entry.body)
            if len(found) == limit or (found and size > MAX_PAGE_BYTES):
                break
            found.append(entry)
        return Page(first, start + len(found), found)

    def expire(self, now_s: float) -> None:
        """Drop the records that are older than the retention."""
        limit = now_s - self.retention_s
        while self.entries and self.entries[0].stored_s <= limit:
            self.entries.popleft()
