"""Takes requests from callers and from other instances."""

from __future__ import annotations

import asyncio
import time

import aiohttp
from aiohttp import web
import loguru

from knapweedhall_entry.gateway import answers
from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import dispatch
from knapweedhall_entry.gateway import hops
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry.gateway import routes
from knapweedhall_events import trace
from knapweedhall_traffic import headers
from knapweedhall_traffic import outcomes
from knapweedhall_traffic import retries

STATUS_MALFORMED = 400
STATUS_FAULT = 500


class Handler:
    """Handles the requests of both ports.

    Attributes
    ----------
    running : int
        Requests that were received and not finished.
    idle : asyncio.Event
        Set while no request is running.
    """

    def __init__(
        self,
        reader: calls.Reader,
        router: routes.Router,
        sender: dispatch.Sender,
        forwarder: hops.Forwarder,
        relay: answers.Relay,
        options: interfaces.Options,
        events: trace.TraceWriter,
    ) -> None:
        self.reader = reader
        self.router = router
        self.sender = sender
        self.forwarder = forwarder
        self.relay = relay
        self.events = events
        self.traced = options.request_events
        self.options = options
        # One per service, so that a failing one leaves the others theirs.
        self.budgets: dict[str, retries.RetryBudget] = {}
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def from_caller(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle a request on the caller port."""
        return await self._handle(request, False)

    async def from_instance(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle a request on the forward port."""
        return await self._handle(request, True)

    async def _handle(
        self, request: web.BaseRequest, hop: bool
    ) -> web.StreamResponse:
        call = self.reader.read(request, time.monotonic(), hop)
        if isinstance(call, headers.Malformed):
            return self._malformed(call)
        if isinstance(call, outcomes.Failure):
            return self.relay.refuse(call)
        if self.traced:
            self.events.emit(
                'request_received',
                request=call.request_id,
                service=call.name,
                key=call.key,
                idempotent=call.idempotent,
            )
        self._budget(call.name).earn()
        self.running += 1
        self.idle.clear()
        try:
            return await self._run(call)
        finally:
            self.running -= 1
            if not self.running:
                self.idle.set()

    def _malformed(self, malformed: headers.Malformed) -> web.Response:
        self.events.emit('request_malformed', reason=malformed.reason)
        response = self.relay.refuse(
            outcomes.not_run(malformed.reason, STATUS_MALFORMED)
        )
        # Where the next request begins is uncertain.
        response.force_close()
        return response

    async def _run(self, call: calls.Call) -> web.StreamResponse:
        try:
            async with asyncio.timeout_at(call.deadline):
                result = await self._attempts(call)
        except TimeoutError:
            reason = 'deadline' if call.handed_over else call.waited
            result = outcomes.broken(
                call.handed_over, reason or 'deadline', late=True
            )
        except asyncio.CancelledError:
            self._record(call, outcomes.broken(call.handed_over, 'cancelled'))
            raise
        except (aiohttp.ClientError, ConnectionError):
            result = outcomes.broken(call.handed_over, 'caller-gone')
        except Exception:
            loguru.logger.exception('request {} failed', call.request_id)
            result = outcomes.Failure(
                outcomes.UNKNOWN, STATUS_FAULT, 'internal-error'
            )
        if isinstance(result, outcomes.Failure):
            return self._fail(call, result)
        return result

    async def _attempts(self, call: calls.Call) -> dispatch.Result:
        try:
            await calls.read_body(call)
        except web.RequestPayloadError:
            return outcomes.not_run('malformed-body', STATUS_MALFORMED)
        while True:
            call.handed_over = False
            result = await self._attempt(call)
            if not isinstance(result, outcomes.Failure):
                return result
            if result is dispatch.MOVED:
                continue
            if await self._wait_for_permit(call, result):
                continue
            call.attempts += 1
            if result.outcome == outcomes.UNKNOWN:
                call.may_have_run = result
            if not self._may_repeat(call, result):
                return result
            if result.reason in outcomes.WAITS_FOR_TABLE:
                call.waited = result.reason
                if not await self.router.changes.wait(call.name):
                    return result

    async def _wait_for_permit(
        self, call: calls.Call, last: outcomes.Failure
    ) -> bool:
        """Wait until the refusal may have ended; return False if it has not.

        Such a refusal costs an upstream nothing, so it does not count as an
        attempt.
        """
        if last.reason not in outcomes.WAITS_FOR_PERMIT:
            return False
        if call.started or call.hop or not call.replayable():
            return False
        if call.permit_waits >= len(outcomes.PERMIT_DELAYS_S):
            return False
        call.waited = last.reason
        call.handed_over = False
        await asyncio.sleep(outcomes.PERMIT_DELAYS_S[call.permit_waits])
        call.permit_waits += 1
        return True

    async def _attempt(self, call: calls.Call) -> dispatch.Result:
        found = await self.router.find(call)
        if isinstance(found, outcomes.Failure):
            return found
        if isinstance(found, interfaces.Route):
            return await self.sender.send(call, found)
        if call.hop:
            return outcomes.not_run('no-permit')
        return await self.forwarder.forward(call, found.peers)

    def _may_repeat(self, call: calls.Call, last: outcomes.Failure) -> bool:
        # Only the first instance repeats: attempts of two instances would
        # multiply.
        if call.started or call.hop:
            return False
        return (
            outcomes.may_repeat(
                last, call.idempotent, call.replayable(), call.attempts
            )
            and self._budget(call.name).spend()
        )

    def _budget(self, service: str) -> retries.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(
                self.options.retry_share, self.options.retry_burst
            )
            self.budgets[service] = budget
        return budget

    def _fail(
        self, call: calls.Call, last: outcomes.Failure
    ) -> web.StreamResponse:
        failure = outcomes.combine(call.may_have_run, last)
        self._record(call, failure)
        if call.started:
            return answers.abort_caller(call)
        response = self.relay.refuse(failure)
        if not call.replayable() or call.body is None:
            # The rest of the body was not read.
            response.force_close()
        return response

    def _record(self, call: calls.Call, failure: outcomes.Failure) -> None:
        failure = outcomes.combine(call.may_have_run, failure)
        name = 'request_unknown'
        if failure.outcome == outcomes.NOT_RUN:
            if not self.traced:
                return
            name = 'request_not_run'
        self.events.emit(name, request=call.request_id, reason=failure.reason)
