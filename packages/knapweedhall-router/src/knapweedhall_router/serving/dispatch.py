"""Sends a request to upstreams until one responds or no retry is left."""

from __future__ import annotations

import asyncio
import dataclasses
import functools

import multidict

from knapweedhall_adapter import decoding
from knapweedhall_adapter import names
from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router.serving import calls
from knapweedhall_router.serving import connections
from knapweedhall_router.serving import exchange
from knapweedhall_router.serving import response_buffers
from knapweedhall_router.serving import selection
from knapweedhall_router.serving import silences
from knapweedhall_router import state as state_module
from knapweedhall_routing import admission
from knapweedhall_routing import buffer_budget
from knapweedhall_routing import model

# Limit of sends of one request, and of excluded upstreams before its first
# send. Several are allowed, as refusals cost an upstream next to nothing.
MAX_SENDS = 4
UNKNOWN_CALLER = selection.Failure(
    names.UNKNOWN_CALLER_STATUS, 'unknown-caller-key'
)

Result = exchange.Response | selection.Failure


@dataclasses.dataclass(frozen=True)
class Retry:
    """The request may be retried.

    Attributes
    ----------
    fallback : Result
        Result of the call if it is not retried.
    """

    fallback: Result


class Dispatcher:
    """Sends requests to the selected upstreams and retries them.

    Attributes
    ----------
    pools : connections.Pools
        Connections to upstreams.
    selector : selection.UpstreamSelector
        Selects the upstream for each attempt.
    buffers : response_buffers.ResponseBuffers
        Memory of the responses. Whoever gets a response from `run` has to
        remove the call from it.
    running : dict of calls.Call to asyncio.Timeout
        Calls in progress and their time limits.
    broken_counts : dict of str to int
        Number of exchanges without a complete response, by reason.
    """

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self.pools = connections.Pools()
        self.selector = selection.UpstreamSelector(state, self.pools)
        self.buffers = response_buffers.ResponseBuffers(
            buffer_budget.BufferBudget(
                state.settings.memory_mb * 1e6,
                int(state.settings.response_mb * 1e6),
            )
        )
        self.running: dict[calls.Call, asyncio.Timeout] = {}
        self.broken_counts: dict[str, int] = {}

    def limit_work(self) -> None:
        """Shorten the running calls to the time until which they may run.

        Those that wait for room are refused, as other instances can run them.
        """
        self.selector.queues.clear()
        for call, timeout in self.running.items():
            call.deadline = min(call.deadline, self.state.work_until)
            calls.limit_timeout(timeout, call.deadline)

    async def run(self, call: calls.Call) -> Result:
        """Return the upstream's response to a call, or why there is none."""
        self.state.retry_budget(call.service).earn(clock.now())
        self.selector.count_request(call)
        if call.key is not None and self.selector.is_divided(call):
            self.state.count_request(call.service, call.key)
        # In a stop, the upstream gets the end of the work as its time limit.
        # Its own response, which follows, tells the caller what has run.
        response_until = min(call.deadline, self.state.responses_until)
        call.deadline = min(call.deadline, self.state.work_until)
        timeout = asyncio.timeout(max(0.0, response_until - clock.now()))
        last: Result = selection.Failure(503, 'no-upstream', selection.SOON_S)
        is_first = True
        try:
            async with timeout:
                self.running[call] = timeout
                while True:
                    result = await self._attempt(call)
                    is_final = not isinstance(result, Retry)
                    if isinstance(result, Retry):
                        result = result.fallback
                    if is_first:
                        self._record_first(call, result)
                        is_first = False
                    if not (
                        isinstance(last, exchange.Response)
                        and isinstance(result, selection.Failure)
                    ):
                        # An upstream's response goes before a later failure.
                        last = result
                    if is_final or not self._may_retry(call):
                        return last
                    self._log_retry(call, result)
        except TimeoutError:
            return self._time_out(call, last)
        finally:
            self.running.pop(call, None)

    def _record_first(self, call: calls.Call, result: Result) -> None:
        """Shrink the budget of retries if a first attempt is refused."""
        if isinstance(result, selection.Failure) and result.full:
            self.state.retry_budget(call.service).record_refused()

    def _time_out(self, call: calls.Call, last: Result) -> Result:
        """Return the result of a call whose time is over."""
        if isinstance(last, exchange.Response):
            return last
        stopping = self.state.is_work_over()
        if call.possible_runs:
            return selection.Failure(
                504, 'stopping' if stopping else 'timeout'
            )
        if stopping:
            return self.selector.refuse_stopping()
        return selection.Failure(503, f'timeout-after-{last.reason}')

    def _log_retry(self, call: calls.Call, last: Result) -> None:
        reason = f'status-{last.status}'
        if isinstance(last, selection.Failure):
            reason = last.reason
        logs.info(
            'request_repeated',
            request=call.request_id,
            upstream=call.last_upstream,
            reason=reason,
            sends=call.send_count,
        )

    def _may_retry(self, call: calls.Call) -> bool:
        now = clock.now()
        if call.send_count >= MAX_SENDS or now >= call.deadline:
            return False
        if not call.send_count:
            return len(call.excluded_at) <= MAX_SENDS
        if call.has_paid_retry:
            call.has_paid_retry = False
            return True
        return self.state.retry_budget(call.service).spend(now)

    def _may_resend(self, call: calls.Call) -> bool:
        """Return whether a call may run at another upstream as well."""
        return (
            call.idempotent
            and not self.selector.is_divided(call)
            and self._has_runs_left(call)
            and call.send_count < MAX_SENDS
        )

    def _resend(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        connection: connections.Connection,
    ) -> bool:
        """Give up an exchange without a response to send the call elsewhere.

        Returns
        -------
        bool
            Whether the exchange needs to be watched no longer.
        """
        if connection.budget.received_bytes:
            return True
        now = clock.now()
        health = self.state.health(upstream)
        if not (health.is_silent(now) or health.is_mute(now)):
            return False
        if not self.selector.can_resend(call):
            return False
        if not self.state.retry_budget(call.service).spend(now):
            return False
        call.has_paid_retry = True
        connection.fail('silent')
        return True

    async def _attempt(self, call: calls.Call) -> Result | Retry:
        upstream = await self.selector.select(call)
        if isinstance(upstream, selection.Failure):
            return self._final_failure(call, upstream)
        try:
            return await self._attempt_at(call, upstream)
        finally:
            self.selector.end_attempt(call, upstream)

    async def _attempt_at(
        self, call: calls.Call, upstream: model.Upstream
    ) -> Result | Retry:
        pool = self.pools.get(upstream.address)
        connection = pool.take(self.selector.max_idle_s(call), call.request_id)
        if connection is None:
            try:
                connection = await pool.connect(
                    call.deadline,
                    self.selector.connection_share(call),
                    not call.idempotent,
                )
            except (OSError, TimeoutError) as error:
                return self._handle_connect_failure(call, upstream, error)
        return await self._send(call, upstream, pool, connection)

    def _final_failure(
        self, call: calls.Call, failure: selection.Failure
    ) -> selection.Failure:
        """Return the failure for the whole call.

        If an earlier attempt may have run, this is a 502, as 503 would state
        that the request has not run.
        """
        if call.possible_runs:
            return selection.Failure(502, failure.reason, full=failure.full)
        return failure

    def _handle_connect_failure(
        self, call: calls.Call, upstream: model.Upstream, error: Exception
    ) -> Retry | selection.Failure:
        now = clock.now()
        self.state.health(upstream).record_connect_failure(now)
        call.exclude(upstream.name, now)
        logs.info(
            'connection_failed',
            request=call.request_id,
            upstream=upstream.name,
            reason=type(error).__name__,
        )
        failure = self._final_failure(
            call, self.selector.refuse(call, 'not-connected')
        )
        if self.selector.is_divided(call):
            # No other upstream owns the key, and the coordinator detects the
            # loss of the owner itself.
            return failure
        return Retry(failure)

    async def _send(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        pool: connections.Pool,
        connection: connections.Connection,
    ) -> Result | Retry:
        if not call.identify(self.state.workspaces):
            # A new configuration removed the key while the request waited.
            pool.put_back(connection)
            return self._final_failure(call, UNKNOWN_CALLER)
        health = self.state.health(upstream)
        sent_at = clock.now()
        call.send_count += 1
        call.last_upstream = upstream.name
        health.record_sent(call.number, sent_at)
        self.state.conditions.record_sent(upstream.name, sent_at)
        may_have_run_before = upstream.name in call.possible_runs
        call.possible_runs.add(upstream.name)
        silence = silences.Silence(
            clock.now,
            functools.partial(self._resend, call, upstream, connection),
        )
        if self._may_resend(call):
            silence.watch(
                min(
                    sent_at + health.silence_limit_s(sent_at),
                    self.selector.resend_by(call),
                )
            )
        try:
            outcome = await exchange.run(
                connection,
                exchange.Request(
                    call.number,
                    call.method,
                    call.encode_head(upstream.name, sent_at),
                    call.body,
                    call.request_id,
                ),
                exchange.Observer(
                    self.buffers,
                    functools.partial(self._record_head, call, upstream),
                ),
            )
        finally:
            silence.end()
            if not connection.budget.received_bytes:
                health.record_unanswered(sent_at, clock.now())
            health.record_ended(call.number)
            self.buffers.finish(call.number)
        pool.put_back(connection)
        if isinstance(outcome, exchange.Response):
            return self._handle_response(call, upstream, outcome, sent_at)
        if isinstance(outcome, exchange.NotExecuted):
            if not may_have_run_before:
                call.possible_runs.discard(upstream.name)
            return self._handle_not_executed(call, upstream, outcome)
        if outcome.sent and not call.has_paid_retry:
            self._record_reset(call, upstream, pool, connection, sent_at)
        return self._handle_broken(
            call, upstream, outcome, may_have_run_before
        )

    def _record_head(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> None:
        """Apply what an upstream says of itself with a response."""
        for name in exchange.invalid_headers(headers):
            logs.info(
                'header_dropped',
                request=call.request_id,
                upstream=upstream.name,
                header=name,
            )
        notice = decoding.parse_notice(status, headers)
        if notice.upstream not in ('', upstream.name):
            # Another one uses the address now and did not run the request.
            return
        if notice.leaving:
            self.state.record_leaving(upstream.name, 'response')
        if notice.fault:
            logs.info(
                'notice_unreadable',
                request=call.request_id,
                upstream=upstream.name,
                reason=notice.fault,
            )
        if notice.pause_s > 0:
            now = clock.now()
            self.state.health(upstream).record_pause(notice.pause_s, now)
            logs.info(
                'upstream_paused',
                request=call.request_id,
                upstream=upstream.name,
                pause_s=notice.pause_s,
            )

    def _record_reset(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        pool: connections.Pool,
        connection: connections.Connection,
        sent_at: float,
    ) -> None:
        """Update the limits for other connections after a failed exchange.

        If the connection was new, its upstream may have reached its
        connection limit. If it had been idle, upstreams of the service may
        close idle connections earlier than expected.
        """
        after_s = clock.now() - sent_at
        if connection.is_new():
            pool.record_first_use_reset(after_s)
            return
        idle_s = sent_at - connection.idle_since
        idle_limit = self.state.idle_limit(call.service)
        if idle_limit.record_reset(idle_s, after_s, clock.now()):
            logs.info(
                'idle_connection_forgotten',
                request=call.request_id,
                upstream=upstream.name,
                idle_s=round(idle_s, 3),
                after_s=round(after_s, 4),
            )

    def _handle_response(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        response: exchange.Response,
        sent_at: float,
    ) -> Result | Retry:
        now = clock.now()
        health = self.state.health(upstream)
        report = decoding.parse_load_report(
            response.headers.get(names.LOAD_HEADER)
        )
        failed = response.status >= 500
        health.record_result(failed, now)
        if not failed:
            service_s = health.record_response(now - sent_at, report, now)
            self.state.add_service_time(upstream.name, health.mean_service_s)
            if report is not None:
                self.state.add_load(upstream.name, report, service_s)
            return response
        logs.info(
            'upstream_failed',
            request=call.request_id,
            upstream=upstream.name,
            status=response.status,
        )
        if not call.idempotent or call.send_count > 1:
            return response
        if (
            not self._has_runs_left(call)
            or now + health.expected_latency_s(now) >= call.deadline
        ):
            return response
        self._exclude_unless_divided(call, upstream, now)
        return Retry(response)

    def _exclude_unless_divided(
        self, call: calls.Call, upstream: model.Upstream, now: float
    ) -> None:
        """Exclude an upstream from retries if another one can run the call.

        Requests for a key are run only by its owner, so a retry that waited
        for another owner would time out.
        """
        if not self.selector.is_divided(call):
            call.exclude(upstream.name, now)

    def _has_runs_left(self, call: calls.Call) -> bool:
        return self.selector.is_divided(call) or (
            len(call.possible_runs) < call.route.max_attempts
        )

    def _handle_not_executed(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        outcome: exchange.NotExecuted,
    ) -> Retry | selection.Failure:
        now = clock.now()
        health = self.state.health(upstream)
        report = decoding.parse_load_report(
            outcome.headers.get(names.LOAD_HEADER)
        )
        if report is not None:
            health.record_load(report, now)
            self.state.add_load(upstream.name, report)
        reason = f'upstream-refused-{outcome.status}'
        if (
            outcome.status == names.WRONG_UPSTREAM_STATUS
            or admission.is_spurious_refusal(report)
        ):
            refusal = self.selector.refuse_soon(call, reason)
        else:
            lane = upstream.name if self.selector.is_divided(call) else ''
            refusal = self.selector.refuse_full(call, reason, lane)
        failure = self._final_failure(call, refusal)
        logs.info(
            'request_refused_by_upstream',
            request=call.request_id,
            upstream=upstream.name,
            status=outcome.status,
            key=call.key,
        )
        if outcome.status == names.WRONG_UPSTREAM_STATUS:
            call.exclude(upstream.name, now)
            return Retry(failure)
        if health.is_paused(now):
            # It is full, and says for how long. The next choice leaves it
            # out, or refuses until then if it is the only one.
            self._exclude_unless_divided(call, upstream, now)
            return Retry(failure)
        health.record_result(True, now)
        if self.selector.is_divided(
            call
        ) and not admission.is_spurious_refusal(report):
            return failure
        self._exclude_unless_divided(call, upstream, now)
        return Retry(failure)

    def _handle_broken(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        outcome: exchange.Broken,
        may_have_run_before: bool,
    ) -> Retry | selection.Failure:
        now = clock.now()
        count = self.broken_counts.get(outcome.reason, 0)
        self.broken_counts[outcome.reason] = count + 1
        logs.info(
            'exchange_broken',
            request=call.request_id,
            upstream=upstream.name,
            reason=outcome.reason,
            sent=outcome.sent,
        )
        if not outcome.sent:
            if not may_have_run_before:
                call.possible_runs.discard(upstream.name)
            call.send_count -= 1
            return Retry(
                self._final_failure(
                    call, self.selector.refuse_soon(call, outcome.reason)
                )
            )
        self.state.health(upstream).record_result(True, now)
        failure = selection.Failure(502, outcome.reason)
        if not call.idempotent or not self._has_runs_left(call):
            return failure
        self._exclude_unless_divided(call, upstream, now)
        return Retry(failure)
