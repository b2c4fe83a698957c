"""Measures how long this process did not run its event loop in time."""

from __future__ import annotations

import asyncio

TICK_S = 0.02


class Pauses:
    """Sums up by how much a periodic timer was late.

    A process that gets no processor sees all answers late; without this sum
    it would take its own pauses for those of the upstreams.

    Attributes
    ----------
    total : float
        Seconds by which the timer was late, since the start.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.total = 0.0
        self.handle = self.loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        now = self.loop.time()
        self.total += max(0.0, now - self.handle.when())
        self.handle = self.loop.call_at(now + TICK_S, self._tick)

    def stop(self) -> None:
        """Stop the timer."""
        self.handle.cancel()
