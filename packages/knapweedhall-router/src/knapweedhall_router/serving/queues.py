"""Holds back requests while the upstreams for them have no room.

An upstream has no room while this instance has as many requests to it as its
share of the upstream's limit. Without shared knowledge of the limits there are
no shares, and nothing waits here.
"""

from __future__ import annotations

import asyncio
import functools
import sys
import typing

import aioprometheus

from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router.serving import calls
from knapweedhall_router import settings
from knapweedhall_router import state as state_module
from knapweedhall_routing import model
from knapweedhall_routing import waiting

# Bounds of one service's queue. An eighth of an objective of 1 s holds a few
# dozen requests at several hundred requests per second.
MAX_ENTRIES = 512
# Share of the process's memory that the bodies in one queue may take; as many
# bodies are in exchanges at the same time.
MEMORY_SHARE = 0.05
# Period of the checks of a queue that is not empty. Shares that grow and
# pauses that end are noticed by it; ends of requests are at once.
CHECK_PERIOD_S = 0.05
# Time for which the total drain rate of a service's upstreams is reused; with
# 160 upstreams, adding it up for each request would take 0.3 ms.
DRAIN_KEPT_S = 0.3
# Reason of refusals by a process that is being stopped.
STOPPING = 'stopping'


class Offer(typing.NamedTuple):
    """An upstream has room for the request, which counts there already."""

    upstream: str


class Refused(typing.NamedTuple):
    """The request must not wait any longer."""

    reason: str


class LookAgain(typing.NamedTuple):
    """What the request waited for has changed."""


Outcome = Offer | Refused | LookAgain


class _Waiter(typing.NamedTuple):
    """A call that waits, and what ends its wait."""

    call: calls.Call
    outcome: asyncio.Future[Outcome]


class _Drain(typing.NamedTuple):
    """Rate at which upstreams complete requests of this instance, and when."""

    per_s: float
    at: float


class Queues:
    """Queues of all services at this instance.

    Attributes
    ----------
    by_service : dict of str to waiting.Queue
        The queues.
    waiters : dict of int to _Waiter
        Waiting calls, by number.
    attempts : dict of str to int
        Attempts in progress by upstream, also those that are connecting.
    wait_seconds : aioprometheus.Histogram or None
        Time that requests waited, by priority; None to record none.
    """

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self.by_service: dict[str, waiting.Queue] = {}
        self.waiters: dict[int, _Waiter] = {}
        self.attempts: dict[str, int] = {}
        self.wait_seconds: aioprometheus.Histogram | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._drains: dict[str, _Drain] = {}
        state.owners_changed.listeners.append(self.follow_owners)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.waiters)

    def is_at_share(self, upstream: str, now: float) -> bool:
        """Return whether an upstream has no room for another request."""
        if self.state.settings.upstream_limits != settings.LIMITS_ENFORCED:
            return False
        conditions = self.state.conditions
        share = conditions.share(upstream, now)
        if share == sys.maxsize:
            return False
        if self.attempts.get(upstream, 0) >= share:
            return True
        return conditions.earliest_at(upstream, now) > now

    def has_waiting(self, service: str, lane: str) -> bool:
        """Return whether requests wait in a lane of a service's queue."""
        queue = self.by_service.get(service)
        return queue is not None and queue.has_lane(lane)

    def count_waiting(self, service: str, lane: str) -> int:
        """Return how many requests wait in a lane of a service's queue."""
        queue = self.by_service.get(service)
        return 0 if queue is None else queue.count(lane)

    def begin_attempt(self, upstream: str) -> None:
        """Count a request that is about to be sent to an upstream."""
        self.attempts[upstream] = self.attempts.get(upstream, 0) + 1

    def end_attempt(self, service: str, upstream: str) -> None:
        """Count the end of an attempt; send what waits for the room."""
        self.withdraw_attempt(upstream)
        if self.waiters:
            self._offer(service, upstream, clock.now())

    def withdraw_attempt(self, upstream: str) -> None:
        """Count the end of an attempt that does not suit the upstream.

        What waits is not told, as it may not suit either; the next check of
        the queue is soon.
        """
        count = self.attempts[upstream] - 1
        if count:
            self.attempts[upstream] = count
        else:
            del self.attempts[upstream]

    def record_unqueued(self, call: calls.Call, served: bool) -> None:
        """Count a call that was sent or refused without waiting."""
        queue = self.by_service.get(call.service)
        if queue is None:
            return
        now = clock.now()
        if not queue and now - queue.checked_at > waiting.COUNT_DECAY_S:
            # The overload is over.
            del self.by_service[call.service]
            return
        if served:
            queue.record_sent(call.priority, call.workspace, now)
        else:
            queue.record_refused(call.priority, call.workspace, now)

    async def wait(
        self,
        call: calls.Call,
        lane: str,
        send_by: float,
        with_room: typing.Sequence[str] = (),
    ) -> Outcome:
        """Wait until a call may be sent or has to be refused.

        Parameters
        ----------
        call : calls.Call
            The call.
        lane : str
            Owner of its key; '' in a service that is not divided.
        send_by : float
            When it has to be sent to be answered in time, on `clock.now`.
        with_room : sequence of str
            Upstreams that have room now, though other requests wait.
        """
        if self.state.stopping:
            return Refused(STOPPING)
        begun_at = clock.now()
        call.patience_until = min(
            call.patience_until,
            waiting.patience_until(begun_at, call.route.objective_s),
        )
        queue = self._queue(call.service)
        entry = waiting.Entry(
            call.number,
            lane,
            call.priority,
            call.objective_at,
            call.patience_until,
            send_by,
            len(call.body),
            call.workspace,
        )
        per_s = self.drain_per_s(call.service, lane, begun_at)
        room = waiting.Room(per_s)
        if lane:
            room = waiting.Room(
                per_s, self.state.conditions.earliest_at(lane, begun_at)
            )
        for refusal in queue.add(entry, begun_at, room):
            if refusal.number == call.number:
                return Refused(refusal.reason)
            self._settle(refusal.number, Refused(refusal.reason))
        stood_still_s = queue.stood_still_s
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        self.waiters[call.number] = waiter
        logs.info(
            'request_queued',
            request=call.request_id,
            service=call.service,
            upstream=lane,
            priority=call.priority,
            ahead=queue.ahead(call.number),
            drain_per_s=round(per_s, 2),
        )
        self._schedule(call.service)
        for upstream in with_room:
            self._offer(call.service, upstream, begun_at)
        try:
            outcome = await waiter.outcome
        except asyncio.CancelledError:
            self._leave(waiter, queue, begun_at, stood_still_s, 'caller-left')
            if waiter.outcome.done() and not waiter.outcome.cancelled():
                offer = waiter.outcome.result()
                if isinstance(offer, Offer):
                    self.end_attempt(call.service, offer.upstream)
            raise
        self._leave(waiter, queue, begun_at, stood_still_s, _describe(outcome))
        return outcome

    def _leave(
        self,
        waiter: _Waiter,
        queue: waiting.Queue,
        begun_at: float,
        stood_still_s: float,
        reason: str,
    ) -> None:
        call = waiter.call
        del self.waiters[call.number]
        queue.remove(call.number)
        waited_s = clock.now() - begun_at
        call.queued_s += waited_s
        # It may wait again for another upstream.
        call.patience_until += queue.stood_still_s - stood_still_s
        if self.wait_seconds is not None:
            self.wait_seconds.add({'priority': str(call.priority)}, waited_s)
        logs.info(
            'request_dequeued',
            request=call.request_id,
            service=call.service,
            reason=reason,
            waited_ms=round(waited_s * 1000, 1),
        )

    def drain_per_s(self, service: str, lane: str, now: float) -> float:
        """Return the rate at which requests of this instance complete.

        Parameters
        ----------
        service : str
            Name of the service.
        lane : str
            Name of an upstream; '' for all of the service together.
        now : float
            Current time, on `clock.now`.
        """
        if lane:
            entry = self.state.directory.entries.get(lane)
            return 0.0 if entry is None else self._own_drain(entry, now)
        known = self._drains.get(service)
        if known is None or now - known.at > DRAIN_KEPT_S:
            usable = self.state.directory.usable(service)
            per_s = sum(self._own_drain(entry, now) for entry in usable)
            known = self._drains[service] = _Drain(per_s, now)
        return known.per_s

    def _own_drain(self, upstream: model.Upstream, now: float) -> float:
        """Return the part of an upstream's rate that this instance has."""
        condition = self.state.conditions.find(upstream.name, now)
        if condition is not None:
            per_s = self.state.conditions.drain_per_s(upstream.name, now)
            return per_s / max(1, condition.users)
        health = self.state.health(upstream)
        return health.slots / health.service_s / len(self.state.instances)

    def clear(self) -> None:
        """Refuse all waiting requests, as the process is being stopped."""
        for queue in self.by_service.values():
            for number in queue.clear():
                self._settle(number, Refused(STOPPING))

    def follow_owners(self) -> None:
        """Let requests whose key has another owner, or none, follow it."""
        for waiter in self.waiters.values():
            call = waiter.call
            if (
                call.key is None
                or not self.state.service(call.service).divided
            ):
                continue
            owned_range = self.state.owner_table(call.service).find(call.key)
            owner = owned_range.upstream if owned_range else ''
            queue = self.by_service[call.service]
            if queue.lane_of(call.number) != owner:
                queue.remove(call.number)
                self._settle(call.number, LookAgain())

    def _queue(self, service: str) -> waiting.Queue:
        queue = self.by_service.get(service)
        if queue is None:
            max_bytes = self.state.settings.memory_mb * 1e6 * MEMORY_SHARE
            queue = waiting.Queue(MAX_ENTRIES, int(max_bytes))
            self.by_service[service] = queue
        return queue

    def _settle(self, number: int, outcome: Outcome) -> None:
        waiter = self.waiters.get(number)
        if waiter is not None and not waiter.outcome.done():
            waiter.outcome.set_result(outcome)
        elif isinstance(outcome, Offer):
            # The caller has just left.
            self.withdraw_attempt(outcome.upstream)

    def _offer(self, service: str, upstream: str, now: float) -> None:
        """Send what is next in order while an upstream has room."""
        queue = self.by_service.get(service)
        if not queue:
            return
        if self.is_at_share(upstream, now):
            return
        divided = self.state.service(service).divided
        if not divided and not self._is_usable(upstream, now):
            return
        lane = upstream if divided else ''
        while not self.is_at_share(upstream, now):
            number = queue.take(lane, now)
            if number is None:
                return
            self.begin_attempt(upstream)
            self._settle(number, Offer(upstream))

    def _is_usable(self, upstream: str, now: float) -> bool:
        entry = self.state.directory.entries.get(upstream)
        if entry is None or not self.state.directory.is_usable(entry):
            return False
        return not self.state.health(entry).is_paused(now)

    def _schedule(self, service: str) -> None:
        if service not in self._timers:
            loop = asyncio.get_running_loop()
            due_at = clock.now() + CHECK_PERIOD_S
            self._timers[service] = loop.call_later(
                CHECK_PERIOD_S, functools.partial(self._check, service, due_at)
            )

    def _check(self, service: str, due_at: float) -> None:
        """Send or refuse what waits; repeat until nothing does."""
        del self._timers[service]
        queue = self.by_service.get(service)
        if not queue:
            return
        now = clock.now()
        queue.observe(now)
        if now - due_at <= waiting.STANDSTILL_S:
            if self.state.service(service).divided:
                self._check_owners(service, queue, now)
            else:
                self._check_all(service, queue, now)
            for refusal in queue.expire(now):
                self._settle(refusal.number, Refused(refusal.reason))
        # After a standstill, responses that make room are read first.
        if queue:
            self._schedule(service)

    def _check_owners(
        self, service: str, queue: waiting.Queue, now: float
    ) -> None:
        for lane in queue.lanes():
            if not self._is_waited_for(lane, now):
                # The selection knows how to refuse what waits for it.
                for number in queue.numbers(lane):
                    queue.remove(number)
                    self._settle(number, LookAgain())
            else:
                self._offer(service, lane, now)

    def _is_waited_for(self, owner: str, now: float) -> bool:
        """Return whether requests may go on to wait for an owner."""
        if owner not in self.state.directory.entries:
            return False
        unusable_since = self.state.directory.unusable_since(owner)
        if unusable_since is not None:
            # As long as the selection uses it.
            if now - unusable_since >= self.state.settings.drain_s / 2:
                return False
        health = self.state.healths.get(owner)
        return health is not None and not (
            health.is_paused(now) or health.is_silent(now)
        )

    def _check_all(
        self, service: str, queue: waiting.Queue, now: float
    ) -> None:
        usable = self.state.directory.usable(service)
        own_domain = self.state.settings.failure_domain
        with_room = [
            entry for entry in usable if not self.is_at_share(entry.name, now)
        ]
        for entry in sorted(
            with_room, key=lambda each: each.failure_domain != own_domain
        ):
            self._offer(service, entry.name, now)
        if all(self.state.health(entry).is_paused(now) for entry in usable):
            for number in queue.clear():
                self._settle(number, LookAgain())


def _describe(outcome: Outcome) -> str:
    """Return why a request has left the queue."""
    if isinstance(outcome, Refused):
        return outcome.reason
    return 'room' if isinstance(outcome, Offer) else 'changed'
