"""Runs the work of one upstream under its grants and limits."""

from __future__ import annotations

import asyncio
import collections
import typing

from knapweedhall_events import trace
from knapweedhall_records import ids

from knapweedhall_standins import capacity
from knapweedhall_standins import grants

Clock = typing.Callable[[], float]
Sleep = typing.Callable[[float], typing.Awaitable[None]]
NO_SLICE = -1


class Task(typing.NamedTuple):
    """One request as the engine sees it.

    Attributes
    ----------
    request, key : str
        Request id and key.
    number : int or None
        Slice that the sender names.
    token : ids.Token or None
        Fencing token that the sender names.
    deadline_ms : int or None
        Deadline on the upstream's clock.
    work_s : float or None
        Service time, None for the configured one.
    """

    request: str
    key: str
    number: int | None
    token: ids.Token | None
    deadline_ms: int | None
    work_s: float | None


class Done(typing.NamedTuple):
    """The work took effect."""


class Refused(typing.NamedTuple):
    """The work was not started."""

    reason: str


class Abandoned(typing.NamedTuple):
    """The work was started and has an unknown effect for the caller."""

    reason: str


Outcome = Done | Refused | Abandoned


class _Running:
    """Work that has a slot; `stop` ends it early with a reason."""

    def __init__(self, task: Task) -> None:
        self.task = task
        self.stop: asyncio.Future[str] = asyncio.Future()


class Engine:
    """Slots, queue and grants of one upstream.

    Parameters
    ----------
    name, service : str
        Name of the upstream and of its service.
    table : grants.GrantTable
        Grants.
    limits : capacity.Limits
        Limits.
    events : trace.TraceWriter
        Where events go.
    clock : callable
        The upstream's monotonic clock in seconds.
    """

    def __init__(
        self,
        name: str,
        service: str,
        table: grants.GrantTable,
        limits: capacity.Limits,
        events: trace.TraceWriter,
        clock: Clock,
    ) -> None:
        self.name = name
        self.service = service
        self.table = table
        self.events = events
        self.clock = clock
        self.capacity = capacity.Capacity(limits, clock())
        self.queue: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self.running: set[_Running] = set()
        self.idle = asyncio.Condition()
        self.timer: asyncio.TimerHandle | None = None
        if limits.cold_s > 0:
            self._announce_cold(limits.cold_s)

    def clock_ms(self) -> int:
        """Return the upstream's clock in ms."""
        return int(self.clock() * 1000)

    async def run(self, task: Task) -> Outcome:
        """Run one request, or refuse it."""
        reason = self._refusal(task) or self.capacity.refusal(self.clock())
        if reason is not None:
            return self._refuse(task, reason)
        try:
            reason = await self._take_slot(task)
        except asyncio.CancelledError:
            self._refuse(task, 'caller-gone')
            raise
        if reason is not None:
            return self._refuse(task, reason)
        try:
            reason = self._refusal(task)
            if reason is not None:
                return self._refuse(task, reason)
            return await self._work(task)
        finally:
            await self._free_slot()

    async def _take_slot(self, task: Task) -> str | None:
        """Wait for a slot; return why the wait ended without one."""
        if not self.queue and self.capacity.has_slot(self.clock()):
            self.capacity.running += 1
            return None
        turn: asyncio.Future[None] = asyncio.Future()
        self.queue.append(turn)
        self.capacity.waiting += 1
        try:
            async with asyncio.timeout(self._remaining_s(task)):
                await turn
        except (TimeoutError, asyncio.CancelledError) as end:
            # The slot may have been handed over in the same turn of the loop.
            if turn.done() and not turn.cancelled():
                await self._free_slot()
            if isinstance(end, asyncio.CancelledError):
                raise
            return 'past-deadline'
        finally:
            self.capacity.waiting -= 1
            if turn in self.queue:
                self.queue.remove(turn)
        return None

    async def _free_slot(self) -> None:
        self.capacity.running -= 1
        self.start_waiting()
        async with self.idle:
            self.idle.notify_all()

    def start_waiting(self) -> None:
        """Give free slots to requests in the queue, in order."""
        while self.queue and self.capacity.has_slot(self.clock()):
            turn = self.queue.popleft()
            if not turn.done():
                self.capacity.running += 1
                turn.set_result(None)

    async def _work(self, task: Task) -> Outcome:
        now_s = self.clock()
        length_s = self.capacity.service_time_s(task.work_s, now_s)
        self.events.emit(
            'work_started',
            request=task.request,
            service=self.service,
            upstream=self.name,
            key=task.key,
            slice=NO_SLICE if task.number is None else task.number,
            token='' if task.token is None else str(task.token),
            cold=self.capacity.is_cold(now_s),
        )
        running = _Running(task)
        self.running.add(running)
        try:
            reason = await self._wait_end(running, length_s)
        except asyncio.CancelledError:
            self._abandon(task, 'caller-gone')
            raise
        finally:
            self.running.discard(running)
        if reason is not None:
            return self._abandon(task, reason)
        self.events.emit(
            'work_finished', request=task.request, upstream=self.name
        )
        return Done()

    async def _wait_end(
        self, running: _Running, length_s: float
    ) -> str | None:
        """Wait for the end of work; return why it has no effect."""
        remaining_s = self._remaining_s(running.task)
        if remaining_s is not None:
            length_s = min(length_s, remaining_s)
        try:
            async with asyncio.timeout(length_s):
                return await running.stop
        except TimeoutError:
            pass
        # After a pause of the process this timer may fire before the one
        # that ends the grant, so the clock decides.
        if self.table.lost(running.task.number, self.clock_ms()):
            return 'grant-expired'
        return self._past_deadline(running.task)

    def _remaining_s(self, task: Task) -> float | None:
        if task.deadline_ms is None:
            return None
        return max(0.0, task.deadline_ms / 1000 - self.clock())

    def _past_deadline(self, task: Task) -> str | None:
        deadline_ms = task.deadline_ms
        if deadline_ms is None or self.clock() * 1000 < deadline_ms:
            return None
        return 'past-deadline'

    def _refusal(self, task: Task) -> str | None:
        return self._past_deadline(task) or self.table.refusal(
            task.number, task.token, self.clock_ms()
        )

    def _refuse(self, task: Task, reason: str) -> Refused:
        self.events.emit(
            'work_refused',
            request=task.request,
            upstream=self.name,
            reason=reason,
        )
        return Refused(reason)

    def _abandon(self, task: Task, reason: str) -> Abandoned:
        self.events.emit(
            'work_abandoned',
            request=task.request,
            upstream=self.name,
            reason=reason,
        )
        return Abandoned(reason)

    def apply(
        self, wanted: grants.GrantSet
    ) -> grants.Applied | grants.StaleTerm:
        """Take a grant set."""
        self.expire()
        applied = self.table.apply(wanted, self.clock_ms())
        if isinstance(applied, grants.StaleTerm):
            return applied
        if applied.given_up:
            self._stop_work(applied.given_up, 'no-grant')
            self._report_release(wanted['group'], applied.given_up, 'given-up')
        for token, slices in applied.accepted.items():
            self.events.emit(
                'grant_accepted',
                group=wanted['group'],
                service=self.service,
                upstream=self.name,
                token=str(token),
                slices=slices,
            )
        self._set_timer()
        return applied

    async def release(
        self, wanted: grants.ReleaseRequest
    ) -> grants.StaleTerm | None:
        """Give up slices after their work has ended."""
        self.expire()
        stale = self.table.check_term(wanted['group'], wanted['term'])
        if stale is not None:
            return stale
        leaving = set(wanted['slices'])
        self.table.drain(leaving)
        try:
            await self._wait_idle(leaving)
        except asyncio.CancelledError:
            # The coordinator left without the confirmation, so it still
            # counts these slices as held here and may go on using them.
            self.table.draining -= leaving
            raise
        held = sorted(leaving & set(self.table.held))
        self.table.end(held)
        if held:
            self._report_release(wanted['group'], held, 'released')
        return None

    async def _wait_idle(self, slices: set[int]) -> None:
        """Wait until no work of these slices runs."""
        async with self.idle:
            await self.idle.wait_for(
                lambda: not any(
                    running.task.number in slices for running in self.running
                )
            )

    def _report_release(
        self, group: str, slices: list[int], reason: str
    ) -> None:
        self.events.emit(
            'slices_released',
            group=group,
            service=self.service,
            upstream=self.name,
            slices=slices,
            reason=reason,
        )

    def expire(self) -> None:
        """End the grants past their deadline and the work under them."""
        expired = self.table.expire(self.clock_ms())
        if not expired:
            return
        self._stop_work(expired, 'grant-expired')
        self.events.emit(
            'grant_expired',
            service=self.service,
            upstream=self.name,
            slices=expired,
        )

    def _stop_work(self, slices: list[int], reason: str) -> None:
        if not self.table.checks_tokens:
            return
        for running in self.running:
            if running.task.number in slices and not running.stop.done():
                running.stop.set_result(reason)

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        deadline_ms = self.table.next_deadline()
        if deadline_ms is None:
            return
        delay_s = max(0.001, deadline_ms / 1000 - self.clock())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.expire()
        self._set_timer()

    def turn_cold(self, length_s: float, silent: bool) -> None:
        """Begin a cold start."""
        self.capacity.turn_cold(length_s, silent, self.clock())
        self._announce_cold(length_s)

    def _announce_cold(self, length_s: float) -> None:
        self.events.emit(
            'cold_started',
            upstream=self.name,
            bears=self.capacity.limits.cold_slots,
        )
        # The queue may hold requests that fit only when the start is over.
        loop = asyncio.get_running_loop()
        loop.call_later(length_s, self.start_waiting)
