"""State that this instance keeps of each upstream, and admission to it."""

from __future__ import annotations

import asyncio
import typing

from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry.gateway import pool
from knapweedhall_events import trace
from knapweedhall_traffic import clocks
from knapweedhall_traffic import cold
from knapweedhall_traffic import fairness
from knapweedhall_traffic import limits

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4


class Verdict(typing.NamedTuple):
    """What became of a request that waited for a slot.

    Attributes
    ----------
    admitted : bool
        Whether it holds a slot now.
    refused : str
        Reason if it was refused; '' if its route has to be looked up again.
    """

    admitted: bool
    refused: str = ''


_ADMITTED = Verdict(True)
_MOVED = Verdict(False)


class Waiter(typing.NamedTuple):
    """A request in the queue of an upstream."""

    call: calls.Call
    route: interfaces.Route
    future: asyncio.Future[Verdict]


class Upstream:
    """Limits, queue, connections and clock of one upstream.

    Attributes
    ----------
    limits : limits.UpstreamLimits
        Counts against this instance's share.
    queue : fairness.FairQueue
        Requests that wait for a slot.
    connections : pool.Pool or None
        Open connections; None before the first.
    reading : clocks.Reading or None
        Last reading of its clock on any connection.
    """

    def __init__(
        self,
        name: str,
        control: interfaces.Control,
        options: interfaces.Options,
        observer: interfaces.Observer,
        events: trace.TraceWriter,
    ) -> None:
        self.name = name
        self.control = control
        self.options = options
        self.observer = observer
        self.events = events
        self.limits = limits.UpstreamLimits()
        self.queue: fairness.FairQueue[Waiter] = fairness.FairQueue(
            options.queue_length
        )
        self.connections: pool.Pool | None = None
        self.reading: clocks.Reading | None = None
        self.backoff = FIRST_BACKOFF_S
        self.retry: asyncio.TimerHandle | None = None
        self.refresh()

    def refresh(self) -> None:
        """Take the share and the address from the control side anew."""
        share = self.control.share(self.name)
        if share is None:
            self.limits.set_share(0, 0, 0)
        else:
            self.limits.set_share(*share[:3])
        address = self.control.address(self.name)
        if self.connections and self.connections.address != address:
            # Exchanges that still run on the old address end by themselves.
            self.connections.closed = True
            self.connections.trim(0)
            self.connections = None
        if self.connections is None and address is not None:
            self.connections = pool.Pool(address, self.options)
        if self.connections is not None:
            self.connections.trim(self.limits.connections)

    async def admit(
        self, call: calls.Call, route: interfaces.Route
    ) -> Verdict:
        """Wait for a slot, first come first served within a customer."""
        if not self.queue and self.limits.admit():
            if call.service.customer_header:
                self.queue.charge(call.customer, call.cost)
            return _ADMITTED
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, route, future)
        call.waited = self._why_waiting()
        entry, refused = self.queue.push(
            waiter,
            call.customer,
            call.cost,
            call.deadline,
            _rank(call),
        )
        if refused is not None:
            _settle(refused.future, Verdict(False, 'queue-full'))
        try:
            return await future
        except asyncio.CancelledError:
            self.queue.remove(entry)
            if _holds_slot(future):
                self.release()
            raise

    def _why_waiting(self) -> str:
        if self.limits.blocked:
            return 'connect-refused'
        if self.limits.state.cold:
            return 'cold'
        return 'no-slot'

    def release(self) -> None:
        """Give a slot back and hand it to the next request."""
        self.limits.finish()
        self.pump()

    def pump(self) -> None:
        """Admit waiting requests while there is room."""
        now = asyncio.get_running_loop().time()
        while self.queue and self.limits.admit():
            late, waiter = self.queue.pop(now)
            for one in late:
                _settle(one.future, Verdict(False, 'deadline'))
            if waiter is None or not _settle(waiter.future, _ADMITTED):
                self.limits.finish()

    def recheck(self, is_current: typing.Callable[[Waiter], bool]) -> None:
        """Send waiting requests whose route has changed back to look up."""
        for entry in list(self.queue.order):
            waiter = self.queue.items[entry.arrival]
            if not is_current(waiter):
                self.queue.remove(entry)
                _settle(waiter.future, _MOVED)
        self.pump()

    def connect_failed(self) -> None:
        """Stop sending for a while after a failed connection attempt."""
        self.limits.state.connect_refused()
        self.observer.upstream_refused(self.name)
        if self.retry is not None:
            return
        self.limits.blocked = True
        self.retry = asyncio.get_running_loop().call_later(
            self.backoff, self._unblock
        )
        self.backoff = min(2 * self.backoff, MAX_BACKOFF_S)

    def _unblock(self) -> None:
        self.retry = None
        self.limits.blocked = False
        self.pump()

    def connected(self) -> None:
        """Take note of a new connection."""
        self.backoff = FIRST_BACKOFF_S
        sign = self.limits.state.connect_accepted(self.limits.cold_slots)
        if sign:
            self.report(sign)

    def answered(self, sample: cold.Sample, now: float) -> None:
        """Take note of an answer."""
        sign = self.limits.answer(sample, now)
        if sign:
            self.report(sign)

    def report(self, sign: str) -> None:
        """Record the begin or the end of a cold start."""
        if sign == 'warm':
            self.events.emit('upstream_warm', upstream=self.name)
            return
        self.events.emit('upstream_cold', upstream=self.name, sign=sign)
        self.observer.upstream_cold(self.name, sign)

    def demand(self) -> interfaces.Demand:
        """Return the present load."""
        return interfaces.Demand(
            self.limits.outstanding,
            len(self.queue),
            len(self.connections.open) if self.connections else 0,
            self.limits.state.cold,
            self.limits.latency * 1000,
        )

    def close(self) -> None:
        """Close the connections and refuse all who wait."""
        if self.retry is not None:
            self.retry.cancel()
        self.recheck(lambda waiter: False)
        if self.connections is not None:
            self.connections.close()


class Book:
    """All upstreams that requests were sent to."""

    def __init__(
        self,
        control: interfaces.Control,
        options: interfaces.Options,
        observer: interfaces.Observer,
        events: trace.TraceWriter,
    ) -> None:
        self.control = control
        self.options = options
        self.observer = observer
        self.events = events
        self.known: dict[str, Upstream] = {}

    def find(self, name: str) -> Upstream:
        """Return the state of an upstream."""
        upstream = self.known.get(name)
        if upstream is None:
            upstream = self.known[name] = Upstream(
                name, self.control, self.options, self.observer, self.events
            )
        return upstream

    def refresh(self, is_current: typing.Callable[[Waiter], bool]) -> None:
        """Take over a change of shares, addresses or routes."""
        for upstream in list(self.known.values()):
            upstream.refresh()
            upstream.recheck(is_current)
            if self._is_gone(upstream):
                upstream.close()
                del self.known[upstream.name]

    def _is_gone(self, upstream: Upstream) -> bool:
        return (
            self.control.address(upstream.name) is None
            and not upstream.limits.outstanding
            and not upstream.queue
        )

    def close(self) -> None:
        """Close all connections."""
        for upstream in self.known.values():
            upstream.close()


def _rank(call: calls.Call) -> int:
    if call.returned:
        return fairness.RETURNED
    return fairness.RETRY if call.attempts else fairness.FIRST


def _settle(future: asyncio.Future[Verdict], verdict: Verdict) -> bool:
    if future.done():
        return False
    future.set_result(verdict)
    return True


def _holds_slot(future: asyncio.Future[Verdict]) -> bool:
    # The slot may be handed over in the same turn of the loop in which the
    # request is cancelled.
    return (
        future.done() and not future.cancelled() and future.result().admitted
    )
