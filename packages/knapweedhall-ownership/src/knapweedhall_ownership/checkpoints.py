"""Division of a snapshot into checkpoint records, and its reassembly."""

from __future__ import annotations

import typing

from knapweedhall_ownership import configuration
from knapweedhall_records import bodies


def divide(snapshot: configuration.Snapshot) -> list[bodies.Checkpoint]:
    """Return the checkpoint chunks, each small enough for one record."""
    raise NotImplementedError


class Assembler:
    """Collects chunks of checkpoints in the order of the log."""

    def add(self, record: bodies.Record) -> configuration.Snapshot | None:
        """Take a chunk; return the snapshot when it was the last missing.

        Chunks of different writers, runs or offsets are never combined.
        """
        raise NotImplementedError


def due(
    now_ms: float,
    last_ms: float,
    retention_ms: float,
    records_since: int,
) -> bool:
    """Return whether the next checkpoint has to be written."""
    raise NotImplementedError


__all__: typing.Sequence[str] = ('Assembler', 'divide', 'due')
