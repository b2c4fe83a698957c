"""Finds where a request goes, and waits while nobody owns its key."""

from __future__ import annotations

import asyncio
import random
import time
import typing

from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry.gateway import upstreams
from knapweedhall_traffic import outcomes
from knapweedhall_traffic import selection

Found = typing.Union[interfaces.Route, interfaces.Forward, outcomes.Failure]


class Changes:
    """Wakes requests that wait for a change on the control side.

    Attributes
    ----------
    version : int
        Number of changes seen; equal versions mean equal lookups, apart
        from deadlines that have passed.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.version = 0
        self.waiting: dict[str, set[asyncio.Future[None]]] = {}

    def notify(self) -> None:
        """Take note of a change and wake all who wait."""
        self.version += 1
        waiting, self.waiting = self.waiting, {}
        for futures in waiting.values():
            for future in futures:
                if not future.done():
                    future.set_result(None)

    async def wait(self, service: str) -> bool:
        """Wait for the next change.

        Returns
        -------
        bool
            False, at once, if too many requests of the service wait; the
            limit is per service, so that one without owners fills no place
            of another.
        """
        futures = self.waiting.setdefault(service, set())
        if len(futures) >= self.limit:
            return False
        future = asyncio.get_running_loop().create_future()
        futures.add(future)
        try:
            await future
        finally:
            futures.discard(future)
        return True


class Router:
    """Looks up routes for calls."""

    def __init__(
        self,
        control: interfaces.Control,
        book: upstreams.Book,
        options: interfaces.Options,
        rng: random.Random,
    ) -> None:
        self.control = control
        self.book = book
        self.options = options
        self.rng = rng
        self.changes = Changes(options.queue_length)

    def look_up(
        self, call: calls.Call, now: float
    ) -> interfaces.Route | interfaces.Forward | interfaces.NoRoute:
        """Return where the call goes now."""
        if call.service.mode == 'divided':
            found = self.control.route(now, call.name, call.key)
            if isinstance(found, interfaces.Route) and found.deadline <= now:
                return interfaces.NoRoute('permit-expired')
            return found
        several = self.control.candidates(now, call.name)
        if isinstance(several, interfaces.Forward | interfaces.NoRoute):
            return several
        return self._choose(several, now)

    def _choose(
        self, several: tuple[interfaces.Route, ...], now: float
    ) -> interfaces.Route | interfaces.NoRoute:
        valid = [route for route in several if route.deadline > now]
        if not valid:
            return interfaces.NoRoute('permit-expired')
        candidates = [self._candidate(route) for route in valid]
        chosen = selection.choose(
            self.options.selection, candidates, now, self.rng
        )
        return valid[chosen]

    def _candidate(self, route: interfaces.Route) -> selection.Candidate:
        upstream = self.book.find(route.upstream)
        limits = upstream.limits
        return selection.Candidate(
            limits.outstanding + len(upstream.queue),
            limits.allowed(),
            limits.latency,
            limits.answered_at,
        )

    def still_valid(
        self, call: calls.Call, route: interfaces.Route, version: int
    ) -> float:
        """Return the permit's deadline if the route still holds, else 0.

        Checked just before the write, after all waiting.
        """
        now = time.monotonic()
        if version != self.changes.version:
            fresh = self._same(call, route, now)
            if fresh is None:
                return 0.0
            route = fresh
        return route.deadline if route.deadline > now else 0.0

    def _same(
        self, call: calls.Call, route: interfaces.Route, now: float
    ) -> interfaces.Route | None:
        if call.service.mode == 'divided':
            found = self.control.route(now, call.name, call.key)
            several: tuple[interfaces.Route, ...] = (
                (found,) if isinstance(found, interfaces.Route) else ()
            )
        else:
            listed = self.control.candidates(now, call.name)
            if isinstance(listed, interfaces.Forward | interfaces.NoRoute):
                return None
            several = listed
        for fresh in several:
            if fresh[:3] == route[:3]:
                return fresh
        return None

    async def find(self, call: calls.Call) -> Found:
        """Return where the call goes, waiting for an owner if needed.

        The caller's deadline ends the wait from outside.
        """
        while True:
            found = self.look_up(call, time.monotonic())
            if not isinstance(found, interfaces.NoRoute):
                return found
            if found.lasting:
                return outcomes.not_run(found.reason)
            call.waited = found.reason
            if not await self.changes.wait(call.name):
                return outcomes.not_run('queue-full')
