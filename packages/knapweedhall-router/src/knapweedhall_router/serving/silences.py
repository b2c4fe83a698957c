"""Notices exchanges to which an upstream does not respond."""

from __future__ import annotations

import asyncio
import typing

# Time for which responses that have arrived are read before an exchange counts
# as silent; a timer that is late runs before they are read.
READ_S = 0.02
# Shortest time between two checks of an exchange that is silent and can't be
# given up: room elsewhere and the retry budget change within seconds.
RECHECK_S = 0.1


class Silence:
    """Checks an exchange that stays without a response.

    Attributes
    ----------
    now : callable
        Returns the current time, seconds.
    give_up : callable
        Gives the exchange up if it can; returns whether to stop checking.
    """

    def __init__(
        self,
        now: typing.Callable[[], float],
        give_up: typing.Callable[[], bool],
    ) -> None:
        self.now = now
        self.give_up = give_up
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, begin_at: float) -> None:
        """Check from a time on until `end`."""
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, begin_at - self.now())
        self._timer = loop.call_later(delay_s, self._read)

    def end(self) -> None:
        """Stop checking, as the exchange has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _read(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(READ_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self.give_up():
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RECHECK_S, self._check)
