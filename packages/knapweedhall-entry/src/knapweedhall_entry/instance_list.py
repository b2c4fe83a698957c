"""Reads the platform's lagging list of instances and upstreams."""

from __future__ import annotations

import asyncio
import time
import typing

from knapweedhall_platform import client
from knapweedhall_platform import outcomes

Listener = typing.Callable[[outcomes.ListedInstances], None]


class InstanceListFollower:
    """Keeps the last list that was read.

    The list lags and may be unreachable for long, so it is only a hint for
    addresses and for who leaves; liveness comes from heartbeats and probes.

    Attributes
    ----------
    rows : outcomes.ListedInstances
        The last list, empty before the first one.
    absent_since : dict of str to float
        When an entry instance left the list, in seconds of `time.monotonic`.
    revision : int
        Grows with each list that differs from the last one.
    read_at : float or None
        When the last list was received.
    """

    def __init__(
        self,
        platform: client.ListClient,
        interval_s: float,
        request_timeout_s: float,
    ) -> None:
        self.platform = platform
        self.interval_s = interval_s
        self.request_timeout_s = request_timeout_s
        self.rows: outcomes.ListedInstances = ()
        self.revision = 0
        self.absent_since: dict[str, float] = {}
        self.read_at: float | None = None
        self.listeners: list[Listener] = []

    def note_rows(self, rows: outcomes.ListedInstances, now: float) -> None:
        """Take a list and pass it on."""
        present = {row.name for row in rows}
        for row in self.rows:
            if row.name not in present:
                self.absent_since.setdefault(row.name, now)
        for name in present & set(self.absent_since):
            del self.absent_since[name]
        self.revision += rows != self.rows or self.read_at is None
        self.rows = rows
        self.read_at = now
        for listener in self.listeners:
            listener(rows)

    def upstreams(self) -> tuple[outcomes.ListedInstance, ...]:
        """Return the listed upstreams."""
        return tuple(row for row in self.rows if row.kind == 'upstream')

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            deadline = time.monotonic() + self.request_timeout_s
            found = await self.platform.read(deadline)
            if not isinstance(found, outcomes.Unreachable):
                self.note_rows(found, time.monotonic())
            await asyncio.sleep(self.interval_s)
