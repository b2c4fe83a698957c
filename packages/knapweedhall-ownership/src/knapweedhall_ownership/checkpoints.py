"""Division of a snapshot into checkpoint records, and its reassembly.

The chunks together hold one text: a line with the next offset and the number
of entries in force, then a line per entry with its offset, the offset of the
first version and the encoded record, those in force first. A record can be
almost as long as a chunk, and quoting makes it longer, so the text is cut at
any position.
"""

from __future__ import annotations

import json
import typing

from knapweedhall_ownership import configuration
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors

# Leaves room for the envelope within the 64 KB of a record.
MAX_PIECE_BYTES = 60000
MAX_RECORDS_BETWEEN = 5000


def divide(snapshot: configuration.Snapshot) -> list[bodies.Checkpoint]:
    """Return the checkpoint chunks, each small enough for one record."""
    lines = [f'{snapshot.next_offset} {len(snapshot.entries)}']
    for entry in (*snapshot.entries, *snapshot.ahead):
        encoded = codec.encode(entry.record).decode()
        lines.append(f'{entry.offset} {entry.first} {encoded}')
    pieces = list(_pieces('\n'.join(lines)))
    return [
        bodies.Checkpoint(snapshot.next_offset, chunk, len(pieces), (piece,))
        for chunk, piece in enumerate(pieces)
    ]


def _pieces(text: str) -> typing.Iterator[str]:
    start = 0
    while start < len(text):
        length = MAX_PIECE_BYTES
        quoted = _quoted_bytes(text[start : start + length])
        while quoted > MAX_PIECE_BYTES:
            length = length * MAX_PIECE_BYTES // (quoted + 1)
            quoted = _quoted_bytes(text[start : start + length])
        yield text[start : start + length]
        start += length


def _quoted_bytes(text: str) -> int:
    return len(json.dumps(text, ensure_ascii=False).encode())


class _Chunks(typing.NamedTuple):
    offset: int
    total: int
    found: dict[int, bodies.Record]


class Assembler:
    """Collects chunks of checkpoints in the order of the log."""

    def __init__(self) -> None:
        self.sets: dict[tuple[str, int], _Chunks] = {}

    def add(self, record: bodies.Record) -> configuration.Snapshot | None:
        """Take a chunk; return the snapshot when it was the last missing.

        Chunks of different writers, runs or offsets are never combined.
        """
        body = record.body
        if not isinstance(body, bodies.Checkpoint):
            return None
        chunks = self._set_of(record, body)
        chunks.found[body.chunk] = record
        if len(chunks.found) < chunks.total:
            return None
        del self.sets[record.writer, record.incarnation]
        return _read(
            ''.join(_text(chunks.found[i]) for i in range(body.chunks))
        )

    def _set_of(
        self, record: bodies.Record, body: bodies.Checkpoint
    ) -> _Chunks:
        key = record.writer, record.incarnation
        known = self.sets.get(key)
        same = known and (known.offset, known.total) == (
            body.offset,
            body.chunks,
        )
        earlier = known.found.get(body.chunk) if known else None
        # The same chunk under another number belongs to another attempt.
        again = earlier is not None and earlier.number != record.number
        if known is None or not same or again:
            known = self.sets[key] = _Chunks(body.offset, body.chunks, {})
        return known


def _text(record: bodies.Record) -> str:
    assert isinstance(record.body, bodies.Checkpoint)
    return ''.join(record.body.records)


def _read(text: str) -> configuration.Snapshot | None:
    header, *lines = text.split('\n')
    try:
        next_offset, count = (int(word) for word in header.split())
        entries = [_entry(line) for line in lines]
    except ValueError:
        return None
    if None in entries or len(entries) < count:
        return None
    found = tuple(entry for entry in entries if entry)
    return configuration.Snapshot(next_offset, found[:count], found[count:])


def _entry(line: str) -> configuration.Entry | None:
    offset, first, encoded = line.split(' ', 2)
    record = codec.decode(encoded)
    if isinstance(record, errors.Refusal):
        return None
    return configuration.Entry(int(offset), record, int(first))


def due(
    now_ms: float,
    last_ms: float,
    retention_ms: float,
    records_since: int,
) -> bool:
    """Return whether the next checkpoint has to be written."""
    late = now_ms - last_ms >= retention_ms / 2
    return late or records_since >= MAX_RECORDS_BETWEEN


def start(
    first: int,
    records: typing.Iterable[tuple[int, bodies.Record | errors.Refusal]],
) -> configuration.Store | None:
    """Return the store that a reader of the retained log starts with.

    Parameters
    ----------
    first : int
        Oldest offset that the log retains.
    records : iterable of (int, Record or Refusal)
        All retained records with their offsets.

    Returns
    -------
    configuration.Store or None
        None if records are missing: the state has to come from peers.
    """
    kept = list(records)
    store = configuration.Store()
    assembler = Assembler()
    for _, record in kept:
        if isinstance(record, bodies.Record):
            snapshot = assembler.add(record)
            if snapshot is not None and snapshot.next_offset >= first:
                store = configuration.Store()
                store.load(snapshot)
    if store.next_offset < first:
        return None
    for offset, record in kept:
        if offset >= store.next_offset:
            store.apply(offset, record)
    return store
