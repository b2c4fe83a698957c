"""Writes checkpoints before the retention of the log ends."""

from __future__ import annotations

import asyncio
import time
import typing

from knapweedhall_entry import log_follower
from knapweedhall_entry import publisher
from knapweedhall_events import trace
from knapweedhall_ownership import checkpoints

CHECK_INTERVAL_S = 1.0
CHUNK_TIMEOUT_S = 10.0
# A new process cannot know how old the last checkpoint is without trusting a
# wall clock, so its first one comes early.
FIRST_SHARE = 0.125


class CheckpointWriter:
    """Writes a checkpoint when one is due and this instance is the writer.

    Parameters
    ----------
    follower : log_follower.LogFollower
        State to be written.
    appender : publisher.Publisher
        Appends the chunks.
    is_writer : callable
        Returns whether this instance is the one that writes; two writers at
        the same time do no harm.
    retention_ms : int
        Retention of the log.
    events : trace.TraceWriter
        Receives `checkpoint_written`.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        appender: publisher.Publisher,
        is_writer: typing.Callable[[], bool],
        retention_ms: int,
        events: trace.TraceWriter,
    ) -> None:
        self.follower = follower
        self.appender = appender
        self.is_writer = is_writer
        self.retention_s = retention_ms / 1000
        self.events = events
        self.unreachable_since: float | None = None
        self.after_outage = False
        self.checkpoints_seen = 0
        self.next_due = time.monotonic() + self.retention_s * FIRST_SHARE

    def due(self, now: float) -> bool:
        """Return whether a checkpoint has to be written now.

        Parameters
        ----------
        now : float
            Seconds of `time.monotonic`.
        """
        follower = self.follower
        if not follower.reachable:
            if self.unreachable_since is None:
                self.unreachable_since = now
            return False
        if self.unreachable_since is not None:
            # Records may have expired during the outage; only the instances
            # still hold them.
            outage_s = now - self.unreachable_since
            self.after_outage |= outage_s >= self.retention_s / 2
            self.unreachable_since = None
        if follower.checkpoints_read != self.checkpoints_seen:
            self.checkpoints_seen = follower.checkpoints_read
            self.next_due = now + self.retention_s / 2
        complete = follower.restored and follower.missing_first is None
        if not complete or not follower.store.entries:
            return False
        return self.after_outage or checkpoints.due(
            now - self.next_due, 0, 0, follower.records_since
        )

    async def write(self) -> bool:
        """Append all chunks; return whether each was read back."""
        snapshot = self.follower.store.snapshot()
        chunks = checkpoints.divide(snapshot)
        for chunk in chunks:
            draft = publisher.Draft('checkpoint', str(chunk.chunk), 0, chunk)
            outcome = await self.appender.publish(
                draft, time.monotonic() + CHUNK_TIMEOUT_S
            )
            if not isinstance(outcome, publisher.Published):
                return False
        self.events.emit(
            'checkpoint_written',
            offset=snapshot.next_offset,
            chunks=len(chunks),
        )
        return True

    async def run(self) -> None:
        """Check and write until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.due(time.monotonic()) and self.is_writer():
                if await self.write():
                    self.after_outage = False
