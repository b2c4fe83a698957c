"""Finds the records in force on the log, as every reader does."""

from __future__ import annotations

import typing

from knapweedhall_ctl import errors as ctl_errors
from knapweedhall_platform import outcomes
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors

Key = tuple[str, str]
Author = tuple[str, int, int]
Entries = typing.Sequence[outcomes.StoredRecord]


class Verdict(typing.NamedTuple):
    """What became of one record.

    Attributes
    ----------
    offset : int
        Offset of its first append.
    won : bool
        Whether it came into force.
    in_force : int
        Version in force just after it.
    """

    offset: int
    won: bool
    in_force: int


class Winners:
    """Versions in force and the verdict on each record, by its author."""

    def __init__(self) -> None:
        self.in_force: dict[Key, int] = {}
        self.verdicts: dict[Author, Verdict] = {}

    def version(self, kind: str, name: str) -> int:
        """Return the version in force, 0 for none."""
        return self.in_force.get((kind, name), 0)

    def apply(self, entry: outcomes.StoredRecord) -> None:
        """Take the next entry of the log; an invalid one is skipped."""
        record = codec.decode(entry.body)
        if isinstance(record, errors.Refusal):
            return
        author = (record.writer, record.incarnation, record.number)
        if author in self.verdicts:
            return
        current = self.version(record.kind, record.name)
        won = record.replaces == current
        if won:
            current = self.in_force[record.kind, record.name] = record.version
        self.verdicts[author] = Verdict(entry.offset, won, current)

    def restore(self, chunks: typing.Sequence[bodies.Checkpoint]) -> None:
        """Take the records of a complete checkpoint."""
        for chunk in chunks:
            for data in chunk.records:
                record = codec.decode(data)
                if not isinstance(record, errors.Refusal):
                    key = (record.kind, record.name)
                    self.in_force[key] = record.version


def find_checkpoint(entries: Entries) -> list[bodies.Checkpoint]:
    """Return the chunks of the last complete checkpoint, or none."""
    found: dict[tuple[str, int, int], dict[int, bodies.Checkpoint]] = {}
    complete: list[bodies.Checkpoint] = []
    for entry in entries:
        record = codec.decode(entry.body)
        if isinstance(record, errors.Refusal):
            continue
        body = record.body
        if not isinstance(body, bodies.Checkpoint):
            continue
        key = (record.writer, record.incarnation, body.offset)
        chunks = found.setdefault(key, {})
        chunks[body.chunk] = body
        if len(chunks) == body.chunks:
            complete = list(chunks.values())
    return complete


def fold(first: int, entries: Entries) -> Winners | errors.Refusal:
    """Return the state of a log whose oldest entry has offset `first`."""
    winners = Winners()
    start = 0
    if first > 0:
        chunks = find_checkpoint(entries)
        if not chunks or chunks[0].offset < first:
            return ctl_errors.MissingRecords(
                f'offsets below {first} have expired without a checkpoint',
                'publish again when an instance has written a checkpoint',
            )
        winners.restore(chunks)
        start = chunks[0].offset
    for entry in entries:
        if entry.offset >= start:
            winners.apply(entry)
    return winners
