"""Builds the data path."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import typing

from aiohttp import http
from aiohttp import web

from knapweedhall_entry.gateway import answers
from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import dispatch
from knapweedhall_entry.gateway import hops
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry.gateway import pauses
from knapweedhall_entry.gateway import pool
from knapweedhall_entry.gateway import routes
from knapweedhall_entry.gateway import server
from knapweedhall_entry.gateway import upstreams
from knapweedhall_events import trace
from knapweedhall_traffic import outcomes


class Request(web.BaseRequest):
    """Request whose answer carries an outcome even if made by aiohttp.

    aiohttp answers requests that its parser refuses without calling the
    handler; none of them ran. If the handler fails by a fault of its own
    the request may have been sent.
    """

    handled = False
    instance = ''
    events: trace.TraceWriter

    async def _prepare_hook(self, response: web.StreamResponse) -> None:
        if 'Knapweedhall-Outcome' in response.headers:
            return
        outcome, reason = outcomes.UNKNOWN, 'internal-error'
        if not self.handled:
            outcome, reason = outcomes.NOT_RUN, 'malformed-request'
            self.events.emit('request_malformed', reason=reason)
        response.headers['Knapweedhall-Outcome'] = outcome
        response.headers['Knapweedhall-Reason'] = reason
        response.headers['Knapweedhall-Instance'] = self.instance
        response.force_close()


def _is_own_fault(record: logging.LogRecord) -> bool:
    # A stack trace per malformed request would let callers fill the log.
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, http.HttpProcessingError)


_LOGGER = logging.getLogger('knapweedhall.gateway')
_LOGGER.addFilter(_is_own_fault)


class Gateway:
    """The data path, ready to be run by `web.ServerRunner`.

    Attributes
    ----------
    caller, forward : web.Server
        Servers for the caller port and the forward port. They are low-level
        servers instead of applications, as every path goes to one handler
        and answers to malformed requests need the outcome header, too.
    """

    def __init__(
        self,
        handler: server.Handler,
        router: routes.Router,
        book: upstreams.Book,
        forwarder: hops.Forwarder,
        relay: answers.Relay,
    ) -> None:
        self.handler = handler
        self.router = router
        self.book = book
        self.forwarder = forwarder
        self.relay = relay
        self.caller = _server(
            handler.from_caller, relay.instance, handler.events
        )
        self.forward = _server(
            handler.from_instance, relay.instance, handler.events
        )

    def begin_stop(self) -> None:
        """Ask callers to leave: answers carry `Connection: close`.

        Requests are still served; call it when readiness goes off.
        """
        self.relay.closing = True

    async def finish_stop(self, deadline: float) -> int:
        """Wait for running requests, then cut the rest and close the pools.

        Call it after the sites stopped accepting and before
        `runner.cleanup`.

        Parameters
        ----------
        deadline : float
            Seconds of `time.monotonic` at which to stop waiting.

        Returns
        -------
        int
            Number of requests that were cut.
        """
        self.begin_stop()
        try:
            async with asyncio.timeout_at(deadline):
                await self.handler.idle.wait()
        except TimeoutError:
            pass
        unfinished = self.handler.running
        self.handler.sender.pauses.stop()
        self.book.close()
        self.forwarder.close()
        return unfinished

    def demand(self) -> dict[str, interfaces.Demand]:
        """Return the present load per upstream, for permit requests."""
        return {
            name: upstream.demand()
            for name, upstream in self.book.known.items()
        }

    def changed(self) -> None:
        """Take over a change of what the control side's lookups return."""
        self.router.changes.notify()
        self.book.refresh(self._is_current)
        self.forwarder.refresh()

    def _is_current(self, waiter: upstreams.Waiter) -> bool:
        if waiter.call.service.mode != 'divided':
            # Other upstreams may have room while this one gets nothing.
            upstream = self.book.find(waiter.route.upstream)
            if not upstream.limits.allowed():
                return False
            return waiter.route.deadline > time.monotonic()
        found = self.router.look_up(waiter.call, time.monotonic())
        return isinstance(found, interfaces.Route) and (
            found.upstream == waiter.route.upstream
        )


def _server(
    handler: typing.Callable[
        [web.BaseRequest], typing.Awaitable[web.StreamResponse]
    ],
    instance: str,
    events: trace.TraceWriter,
) -> web.Server:
    loop = asyncio.get_running_loop()
    kind = type(
        'InstanceRequest', (Request,), {'instance': instance, 'events': events}
    )

    def make_request(*parts: typing.Any) -> web.BaseRequest:
        request: web.BaseRequest = kind(*parts, loop)
        return request

    def handle(
        request: web.BaseRequest,
    ) -> typing.Awaitable[web.StreamResponse]:
        typing.cast(Request, request).handled = True
        return handler(request)

    return web.Server(
        handle,
        logger=_LOGGER,
        request_factory=make_request,
        # A caller that leaves ends its exchange at once.
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        read_bufsize=pool.READ_BUFFER_BYTES,
    )


def build_gateway(
    control: interfaces.Control,
    events: trace.TraceWriter,
    options: interfaces.Options,
    rng: random.Random,
    observer: interfaces.Observer | None = None,
) -> Gateway:
    """Build the data path; call it inside a running event loop."""
    watcher = observer or interfaces.NullObserver()
    book = upstreams.Book(control, options, watcher, events)
    router = routes.Router(control, book, options, rng)
    relay = answers.Relay(options.instance)
    own = pauses.Pauses()
    sender = dispatch.Sender(router, book, relay, events, own)
    forwarder = hops.Forwarder(relay, options, events)
    handler = server.Handler(
        calls.Reader(control, options),
        router,
        sender,
        forwarder,
        relay,
        options,
        events,
    )
    gateway = Gateway(handler, router, book, forwarder, relay)
    control.subscribe(gateway.changed)
    return gateway
