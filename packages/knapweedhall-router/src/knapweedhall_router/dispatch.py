"""Sends a request to upstreams until it has an answer or is given up."""

from __future__ import annotations

import asyncio
import dataclasses

from knapweedhall_adapter import decoding
from knapweedhall_adapter import names
from knapweedhall_router import calls
from knapweedhall_router import clock
from knapweedhall_router import connections
from knapweedhall_router import exchange
from knapweedhall_router import logs
from knapweedhall_router import state as state_module
from knapweedhall_router import targets
from knapweedhall_routing import admission
from knapweedhall_routing import model

# Refusals in a row after which a request is given up; only counts those that
# cost an upstream next to nothing.
MAX_SENDS = 4

Result = exchange.Answered | targets.Failure


@dataclasses.dataclass(frozen=True)
class Repeat:
    """The request may be sent again; `otherwise` is the result if not."""

    otherwise: Result


class Dispatcher:
    """Sends requests to the upstreams that were found for them."""

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self.pools = connections.Pools()
        self.targets = targets.Targets(state, self.pools)

    async def run(self, call: calls.Call) -> Result:
        """Return the answer to a call, or why there is none."""
        self.state.retry_budget(call.service).earn(clock.now())
        if call.key is not None and self.targets.is_divided(call):
            self.state.count_request(call.service, call.key)
        last: Result = targets.Failure(503, 'no-upstream', 0.1)
        try:
            async with asyncio.timeout(max(0.0, call.end - clock.now())):
                while True:
                    result = await self._attempt(call)
                    if not isinstance(result, Repeat):
                        return result
                    last = result.otherwise
                    if not self._may_repeat(call):
                        return last
                    self._log_repeat(call, last)
        except TimeoutError:
            if isinstance(last, exchange.Answered):
                return last
            if call.ran_on:
                return targets.Failure(504, 'timeout')
            return targets.Failure(503, f'timeout-after-{last.reason}')

    def _log_repeat(self, call: calls.Call, last: Result) -> None:
        reason = f'status-{last.status}'
        if isinstance(last, targets.Failure):
            reason = last.reason
        logs.info(
            'request_repeated',
            request=call.request_id,
            upstream=call.last_upstream,
            reason=reason,
            sends=call.sends,
        )

    def _may_repeat(self, call: calls.Call) -> bool:
        now = clock.now()
        if call.sends >= MAX_SENDS or now >= call.end:
            return False
        if not call.sends:
            return len(call.tried) <= MAX_SENDS
        return self.state.retry_budget(call.service).spend(now)

    async def _attempt(self, call: calls.Call) -> Result | Repeat:
        target = await self.targets.find(call)
        if isinstance(target, targets.Failure):
            return self._final(call, target)
        pool = self.pools.get(target.address)
        connection = pool.take(self.targets.longest_idle_s(call))
        if connection is None:
            try:
                connection = await pool.connect(
                    call.end,
                    self.targets.connection_share(call),
                    not call.idempotent,
                )
            except (OSError, TimeoutError) as error:
                return self._not_connected(call, target, error)
        return await self._exchange(call, target, pool, connection)

    def _final(
        self, call: calls.Call, failure: targets.Failure
    ) -> targets.Failure:
        """Return a failure that is true for the whole call."""
        if call.ran_on and not call.idempotent:
            return targets.Failure(502, failure.reason)
        return failure

    def _not_connected(
        self, call: calls.Call, target: model.Upstream, error: Exception
    ) -> Repeat | targets.Failure:
        now = clock.now()
        self.state.health(target).record_connect_failure(now)
        call.turned_away(target.name, now)
        logs.info(
            'connection_failed',
            request=call.request_id,
            upstream=target.name,
            reason=type(error).__name__,
        )
        failure = self._final(call, self.targets.refuse(call, 'not-connected'))
        if self.targets.is_divided(call):
            # Nobody else owns the key; the coordinator finds out as well.
            return failure
        return Repeat(failure)

    async def _exchange(
        self,
        call: calls.Call,
        target: model.Upstream,
        pool: connections.Pool,
        connection: connections.Connection,
    ) -> Result | Repeat:
        found = self.state.health(target)
        sent = clock.now()
        call.sends += 1
        call.last_upstream = target.name
        found.record_sent(call.number, sent)
        ran_before = target.name in call.ran_on
        call.ran_on.add(target.name)
        try:
            outcome = await exchange.run(
                connection,
                call.method,
                call.encode(target.name, sent),
                call.request_id,
            )
        finally:
            found.record_ended(call.number)
        pool.put_back(connection)
        if isinstance(outcome, exchange.Answered):
            return self._answered(call, target, outcome, sent)
        if isinstance(outcome, exchange.NotRun):
            if not ran_before:
                call.ran_on.discard(target.name)
            return self._not_run(call, target, outcome)
        if outcome.sent:
            self._note_reset(call, target, pool, connection, sent)
        return self._broken(call, target, outcome, ran_before)

    def _note_reset(
        self,
        call: calls.Call,
        target: model.Upstream,
        pool: connections.Pool,
        connection: connections.Connection,
        sent: float,
    ) -> None:
        """Take note of what a broken connection says of others.

        A new one tells that its upstream has too many, an idle one that
        upstreams of the service forget them.
        """
        after_s = clock.now() - sent
        if connection.is_new():
            pool.broke_at_once(after_s)
            return
        idle_s = sent - connection.idle_since
        trust = self.state.idle_limit(call.service)
        if trust.record_reset(idle_s, after_s, clock.now()):
            logs.info(
                'idle_connection_forgotten',
                request=call.request_id,
                upstream=target.name,
                idle_s=round(idle_s, 3),
                after_s=round(after_s, 4),
            )

    def _answered(
        self,
        call: calls.Call,
        target: model.Upstream,
        outcome: exchange.Answered,
        sent: float,
    ) -> Result | Repeat:
        now = clock.now()
        found = self.state.health(target)
        report = decoding.parse_load_report(
            outcome.headers.get(names.LOAD_HEADER)
        )
        failed = outcome.status >= 500
        found.record_result(failed, now)
        if not failed:
            found.record_answer(now - sent, report, now)
            self.state.add_service_time(target.name, found.mean_service_s)
            return outcome
        logs.info(
            'upstream_failed',
            request=call.request_id,
            upstream=target.name,
            status=outcome.status,
        )
        if not call.idempotent or call.sends > 1:
            return outcome
        if (
            not self._runs_left(call)
            or now + found.expected_latency_s(now) >= call.end
        ):
            return outcome
        self._avoid(call, target, now)
        return Repeat(outcome)

    def _avoid(
        self, call: calls.Call, target: model.Upstream, now: float
    ) -> None:
        """Send a repeat elsewhere, if anybody else can run it.

        Only its owner runs requests for a key, so a repeat that waited for
        another owner would time out.
        """
        if not self.targets.is_divided(call):
            call.turned_away(target.name, now)

    def _runs_left(self, call: calls.Call) -> bool:
        return self.targets.is_divided(call) or (
            len(call.ran_on) < call.route.max_attempts
        )

    def _not_run(
        self,
        call: calls.Call,
        target: model.Upstream,
        outcome: exchange.NotRun,
    ) -> Repeat | targets.Failure:
        now = clock.now()
        found = self.state.health(target)
        report = decoding.parse_load_report(
            outcome.headers.get(names.LOAD_HEADER)
        )
        if report is not None:
            found.record_load(report, now)
        left = call.end - now
        after = admission.retry_after(
            found.expected_latency_s(now) / 2, left, self.state.rng
        )
        reason = f'upstream-refused-{outcome.status}'
        failure = self._final(call, targets.Failure(503, reason, after))
        logs.info(
            'request_refused_by_upstream',
            request=call.request_id,
            upstream=target.name,
            status=outcome.status,
            key=call.key,
        )
        if outcome.status == names.WRONG_UPSTREAM_STATUS:
            call.turned_away(target.name, now)
            return Repeat(failure)
        found.record_result(True, now)
        if self.targets.is_divided(call) and not admission.is_spurious_refusal(
            report
        ):
            return failure
        self._avoid(call, target, now)
        return Repeat(failure)

    def _broken(
        self,
        call: calls.Call,
        target: model.Upstream,
        outcome: exchange.Broken,
        ran_before: bool,
    ) -> Repeat | targets.Failure:
        now = clock.now()
        logs.info(
            'exchange_broken',
            request=call.request_id,
            upstream=target.name,
            reason=outcome.reason,
            sent=outcome.sent,
        )
        if not outcome.sent:
            if not ran_before:
                call.ran_on.discard(target.name)
            call.sends -= 1
            return Repeat(
                self._final(call, targets.Failure(503, outcome.reason, 0.1))
            )
        self.state.health(target).record_result(True, now)
        failure = targets.Failure(502, outcome.reason)
        if not call.idempotent or not self._runs_left(call):
            return failure
        self._avoid(call, target, now)
        return Repeat(failure)
