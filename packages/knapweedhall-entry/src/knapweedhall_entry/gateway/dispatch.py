"""Brings a request to the owner of its key, and the answer back."""

from __future__ import annotations

import time
import typing

from aiohttp import web

from knapweedhall_entry.gateway import answers
from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import exchange
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry.gateway import pauses
from knapweedhall_entry.gateway import pool
from knapweedhall_entry.gateway import routes
from knapweedhall_entry.gateway import upstreams
from knapweedhall_events import trace
from knapweedhall_traffic import clocks
from knapweedhall_traffic import cold
from knapweedhall_traffic import headers
from knapweedhall_traffic import outcomes

# The route changed while the request waited; it was not sent.
MOVED = outcomes.not_run('moved')
_HEALTH = '/knapweedhall/health'

Result = typing.Union[web.StreamResponse, outcomes.Failure]


class Sender:
    """Sends calls to upstreams."""

    def __init__(
        self,
        router: routes.Router,
        book: upstreams.Book,
        relay: answers.Relay,
        events: trace.TraceWriter,
        own: pauses.Pauses,
    ) -> None:
        self.router = router
        self.book = book
        self.relay = relay
        self.events = events
        self.pauses = own
        self.traced = router.options.request_events

    async def send(self, call: calls.Call, route: interfaces.Route) -> Result:
        """Send a call to the upstream of its route; return the answer.

        Returns
        -------
        web.StreamResponse or outcomes.Failure
            `MOVED` if the route has to be looked up again.
        """
        version = self.router.changes.version
        upstream = self.book.find(route.upstream)
        if upstream.connections is None:
            call.waited = 'no-address'
            if not await self.router.changes.wait(call.name):
                return outcomes.not_run('queue-full')
            return MOVED
        verdict = await upstream.admit(call, route)
        if not verdict.admitted:
            if verdict.refused:
                return outcomes.not_run(verdict.refused)
            return MOVED
        try:
            result = await self._with_slot(call, route, upstream, version)
        finally:
            upstream.release()
        call.returned = result is MOVED
        return result

    async def _with_slot(
        self,
        call: calls.Call,
        route: interfaces.Route,
        upstream: upstreams.Upstream,
        version: int,
    ) -> Result:
        connection = await self._connect(upstream)
        if connection is None:
            call.waited = 'connect-refused'
            return MOVED
        try:
            result = await self._exchange(
                call, route, upstream, connection, version
            )
        except exchange.BrokenExchange as error:
            connection.abort()
            return outcomes.broken(call.handed_over, error.reason)
        except BaseException:
            # A cancelled exchange's answer may still come; the connection
            # must not be used again.
            connection.abort()
            raise
        return result

    async def _connect(
        self, upstream: upstreams.Upstream
    ) -> pool.Connection | None:
        connections = upstream.connections
        if connections is None:
            return None
        connection = connections.take(time.monotonic())
        if connection is not None:
            return connection
        try:
            connection = await connections.connect()
        except OSError:
            upstream.connect_failed()
            return None
        upstream.connected()
        return connection

    async def _exchange(
        self,
        call: calls.Call,
        route: interfaces.Route,
        upstream: upstreams.Upstream,
        connection: pool.Connection,
        version: int,
    ) -> Result:
        end = clocks.work_end(
            call.deadline,
            route.deadline,
            call.service.checks_tokens,
            call.service.max_work_ms / 1000,
        )
        reading = await self._reading(call, upstream, connection, end)
        permit = self.router.still_valid(call, route, version)
        now = time.monotonic()
        if not permit or now >= permit:
            self._put_back(upstream, connection)
            return MOVED
        if not upstream.limits.can_finish(now, end):
            self._put_back(upstream, connection)
            return outcomes.not_run('deadline')
        # Noted before the write: a moved slice's next owner waits for it.
        upstream.observer.request_sent(call.name, route, end)
        upstream.observer.request_routed(call.name, call.key, upstream.name)
        self._write(call, route, connection, clocks.deadline_on(reading, end))
        if time.monotonic() >= permit:
            # The pause between check and write may have been of any length.
            connection.abort()
            return outcomes.broken(True, 'permit-expired')
        result = await self._answer(call, upstream, connection, now)
        upstream.observer.request_answered(call.name, route, end)
        return result

    async def _reading(
        self,
        call: calls.Call,
        upstream: upstreams.Upstream,
        connection: pool.Connection,
        end: float,
    ) -> clocks.Reading:
        """Return a usable reading of the upstream's clock.

        Without a token nothing but the deadline stops late work, so the
        reading must come from the very process at the other end: one that
        replaced it may have another clock.
        """
        now = time.monotonic()
        reading = connection.reading
        if reading is None and call.service.checks_tokens:
            reading = upstream.reading
        if reading is not None and clocks.is_usable(reading, now, end):
            return reading
        connection.expect_answer(True)
        assert connection.transport is not None
        connection.transport.write(
            f'GET {_HEALTH} HTTP/1.1\r\n'
            f'Host: {upstream.name}\r\n\r\n'.encode()
        )
        answer = await exchange.read_head(connection, 'GET')
        await exchange.discard_body(answer.body)
        reading = clocks.parse_clock(
            answer.found.first.get(headers.CLOCK_MS), time.monotonic()
        )
        if reading is None:
            raise exchange.BrokenExchange('no-clock')
        connection.reading = upstream.reading = reading
        return reading

    def _write(
        self,
        call: calls.Call,
        route: interfaces.Route,
        connection: pool.Connection,
        deadline_ms: float,
    ) -> None:
        raw = call.raw + [
            (b'Knapweedhall-Slice', b'%d' % route.slice),
            (b'Knapweedhall-Token', str(route.token).encode()),
            (b'Knapweedhall-Deadline', b'%d' % int(deadline_ms)),
            (b'Knapweedhall-Request-Id', call.request_id.encode()),
        ]
        if call.key:
            raw.append((b'Knapweedhall-Key', call.key.encode()))
        method = call.request.method
        head = exchange.request_head(method, call.target, raw, call)
        connection.expect_answer(method != 'HEAD')
        if self.traced:
            self.events.emit(
                'request_sent',
                request=call.request_id,
                service=call.name,
                upstream=route.upstream,
                slice=route.slice,
                token=str(route.token),
            )
        transport = connection.transport
        if transport is None or transport.is_closing():
            raise exchange.BrokenExchange('connection-closed')
        call.handed_over = True
        transport.write(head + call.body if call.body else head)

    async def _answer(
        self,
        call: calls.Call,
        upstream: upstreams.Upstream,
        connection: pool.Connection,
        sent: float,
    ) -> Result:
        outstanding = upstream.limits.outstanding
        paused = self.pauses.total
        upload = exchange.start_upload(connection, call)
        try:
            method = call.request.method
            answer = await exchange.read_head(connection, method)
            refusal = self._note(
                upstream, connection, answer, sent, outstanding, paused
            )
            if refusal is not None:
                await exchange.discard_body(answer.body)
                call.handed_over = False
                result: Result = refusal
            else:
                result, size = await self.relay.relay(
                    call, answer, upstream.name
                )
                if self.traced:
                    self.events.emit(
                        'request_answered',
                        request=call.request_id,
                        status=answer.message.code,
                        bytes=size,
                    )
        finally:
            whole = exchange.finish_upload(upload)
        if whole:
            self._put_back(upstream, connection)
        else:
            connection.abort()
        return result

    def _note(
        self,
        upstream: upstreams.Upstream,
        connection: pool.Connection,
        answer: exchange.Answer,
        sent: float,
        outstanding: int,
        paused: float,
    ) -> outcomes.Failure | None:
        now = time.monotonic()
        first = answer.found.first
        reading = clocks.parse_clock(first.get(headers.CLOCK_MS), now)
        if reading is not None:
            connection.reading = upstream.reading = reading
        refusal = outcomes.upstream_refusal(answer.message.code, answer.found)
        sample = cold.Sample(
            now - sent,
            outstanding,
            first.get(headers.UPSTREAM_COLD) == b'1',
            refusal is not None and refusal.reason in outcomes.SHEDDING,
            first.get(headers.INCARNATION, b''),
            sent,
            self.pauses.total - paused,
        )
        upstream.answered(sample, now)
        return refusal

    def _put_back(
        self, upstream: upstreams.Upstream, connection: pool.Connection
    ) -> None:
        connections = upstream.connections
        if connections is None or connection not in connections.open:
            connection.close()
            return
        connections.put_back(connection, time.monotonic())
