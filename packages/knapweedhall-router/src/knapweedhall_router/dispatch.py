"""Sends a request to upstreams until it has an answer or is given up."""

from __future__ import annotations

import asyncio
import dataclasses
import math

from knapweedhall_adapter import decoding
from knapweedhall_adapter import names
from knapweedhall_router import calls
from knapweedhall_router import clock
from knapweedhall_router import connections
from knapweedhall_router import exchange
from knapweedhall_router import logs
from knapweedhall_router import state as state_module
from knapweedhall_routing import admission
from knapweedhall_routing import choice
from knapweedhall_routing import model

# Refusals in a row after which a request is given up; only counts those that
# cost an upstream next to nothing.
MAX_SENDS = 4
# A caller that is answered this long before its patience ends still gets it.
RETURN_MARGIN_S = 0.01


@dataclasses.dataclass(frozen=True)
class Failure:
    """A request without an upstream's answer.

    Attributes
    ----------
    status : int
        What the caller gets. For a request that isn't idempotent, 503 says
        that it has not run and will not.
    reason : str
        Word for the log.
    retry_after_s : float or None
        When the caller should come back.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


Result = exchange.Answered | Failure


@dataclasses.dataclass(frozen=True)
class Repeat:
    """The request may be sent again; `otherwise` is the result if not."""

    otherwise: Result


class Dispatcher:
    """Chooses upstreams and sends requests to them."""

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self.pools = connections.Pools()

    async def run(self, call: calls.Call) -> Result:
        """Return the answer to a call, or why there is none."""
        self.state.retry_budget(call.service).earn(clock.now())
        if call.key is not None and self._is_divided(call):
            self.state.count_key(call.service, call.key)
        last: Result = Failure(503, 'no-upstream', 0.1)
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
                return Failure(504, 'timeout')
            return Failure(503, f'timeout-after-{last.reason}')

    def _log_repeat(self, call: calls.Call, last: Result) -> None:
        reason = f'status-{last.status}'
        if isinstance(last, Failure):
            reason = last.reason
        logs.info(
            'request_repeated',
            request=call.request_id,
            upstream=call.last_upstream,
            reason=reason,
            sends=call.sends,
        )

    def _is_divided(self, call: calls.Call) -> bool:
        return self.state.service(call.service).divided

    def _may_repeat(self, call: calls.Call) -> bool:
        now = clock.now()
        if call.sends >= MAX_SENDS or now >= call.end:
            return False
        if not call.sends:
            return len(call.tried) <= MAX_SENDS
        return self.state.retry_budget(call.service).spend(now)

    async def _attempt(self, call: calls.Call) -> Result | Repeat:
        target = await self._target(call)
        if isinstance(target, Failure):
            return self._final(call, target)
        pool = self.pools.get(target.address)
        connection = pool.take(self._longest_idle_s(call))
        if connection is None:
            try:
                connection = await pool.connect(
                    call.end, self._connections(call), not call.idempotent
                )
            except (OSError, TimeoutError) as error:
                return self._not_connected(call, target, error)
        return await self._exchange(call, target, pool, connection)

    def _longest_idle_s(self, call: calls.Call) -> float:
        trust = self.state.idle_trust(call.service)
        return trust.limit_s(call.idempotent, clock.now())

    def _connections(self, call: calls.Call) -> int:
        """Return how many connections one upstream may have."""
        service = self.state.service(call.service)
        return admission.connection_share(
            service.max_connections, len(self.state.instances)
        )

    def _final(self, call: calls.Call, failure: Failure) -> Failure:
        """Return a failure that is true for the whole call."""
        if call.ran_on and not call.idempotent:
            return Failure(502, failure.reason)
        return failure

    def _not_connected(
        self, call: calls.Call, target: model.Upstream, error: Exception
    ) -> Repeat | Failure:
        now = clock.now()
        self.state.health(target).refused_connection(now)
        call.turned_away(target.name, now)
        logs.info(
            'connection_failed',
            request=call.request_id,
            upstream=target.name,
            reason=type(error).__name__,
        )
        failure = self._final(call, self._turn_away(call, 'not-connected'))
        if self._is_divided(call):
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
        found.sent(call.number, sent)
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
            found.ended(call.number)
        pool.put_back(connection)
        if isinstance(outcome, exchange.Answered):
            return self._answered(call, target, outcome, sent)
        if isinstance(outcome, exchange.NotRun):
            if not ran_before:
                call.ran_on.discard(target.name)
            return self._not_run(call, target, outcome)
        after_s = clock.now() - sent
        pool.broke(connection, after_s)
        idle_s = sent - connection.idle_since
        self._check_idling(call, target, idle_s, after_s)
        return self._broken(call, target, outcome, ran_before)

    def _check_idling(
        self,
        call: calls.Call,
        target: model.Upstream,
        idle_s: float,
        after_s: float,
    ) -> None:
        """Trust idle connections less after one that was forgotten."""
        trust = self.state.idle_trust(call.service)
        if trust.broke(idle_s, after_s, clock.now()):
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
        report = decoding.load_report(outcome.headers.get(names.LOAD))
        failed = outcome.status >= 500
        found.judged(failed, now)
        if not failed:
            found.answered(now - sent, report, now)
            self.state.count_time(target.name, found.measured_s)
            return outcome
        logs.info(
            'upstream_failed',
            request=call.request_id,
            upstream=target.name,
            status=outcome.status,
        )
        if not call.idempotent or call.sends > 1:
            return outcome
        if not self._runs_left(call) or now + found.wait_s(now) >= call.end:
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
        if not self._is_divided(call):
            call.turned_away(target.name, now)

    def _runs_left(self, call: calls.Call) -> bool:
        return self._is_divided(call) or (
            len(call.ran_on) < call.route.max_attempts
        )

    def _not_run(
        self,
        call: calls.Call,
        target: model.Upstream,
        outcome: exchange.NotRun,
    ) -> Repeat | Failure:
        now = clock.now()
        found = self.state.health(target)
        report = decoding.load_report(outcome.headers.get(names.LOAD))
        if report is not None:
            found.reported(report, now)
        left = call.end - now
        after = admission.retry_after(
            found.wait_s(now) / 2, left, self.state.rng
        )
        reason = f'upstream-refused-{outcome.status}'
        failure = self._final(call, Failure(503, reason, after))
        logs.info(
            'request_refused_by_upstream',
            request=call.request_id,
            upstream=target.name,
            status=outcome.status,
            key=call.key,
        )
        if outcome.status == names.STATUS_WRONG_UPSTREAM:
            call.turned_away(target.name, now)
            return Repeat(failure)
        found.judged(True, now)
        if self._is_divided(call) and not admission.is_spurious(report):
            return failure
        self._avoid(call, target, now)
        return Repeat(failure)

    def _broken(
        self,
        call: calls.Call,
        target: model.Upstream,
        outcome: exchange.Broken,
        ran_before: bool,
    ) -> Repeat | Failure:
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
            return Repeat(self._final(call, Failure(503, outcome.reason, 0.1)))
        self.state.health(target).judged(True, now)
        failure = Failure(502, outcome.reason)
        if not call.idempotent or not self._runs_left(call):
            return failure
        self._avoid(call, target, now)
        return Repeat(failure)

    async def _target(self, call: calls.Call) -> model.Upstream | Failure:
        if self._is_divided(call):
            return await self._owner(call)
        return self._choose(call)

    def _choose(self, call: calls.Call) -> model.Upstream | Failure:
        now = clock.now()
        usable = self.state.directory.usable(call.service)
        fresh = [one for one in usable if one.name not in call.tried]
        if call.ran_on and len(call.ran_on) >= call.route.max_attempts:
            fresh = [one for one in usable if one.name in call.ran_on]
        warm = [one for one in fresh if one.cold_until <= now]
        pool = warm or [
            one
            for one in fresh
            if self.state.admit_cold(one.name, call.service, now)
        ]
        longest_idle_s = self._longest_idle_s(call)
        found = choice.choose(
            [self._candidate(one, longest_idle_s, now) for one in pool],
            now,
            choice.Preference(
                self.state.settings.failure_domain,
                len(call.body),
                call.objective_at,
            ),
            self.state.rng,
        )
        if found is None:
            return self._turn_away(call, 'no-upstream')
        return self._admit(call, found.upstream, False)

    def _candidate(
        self, upstream: model.Upstream, longest_idle_s: float, now: float
    ) -> choice.Candidate:
        found = self.state.health(upstream)
        pool = self.pools.find(upstream.address)
        connected = pool is not None and pool.has_idle(longest_idle_s, now)
        return choice.Candidate(upstream, found, connected)

    def _admit(
        self, call: calls.Call, target: model.Upstream, cold: bool
    ) -> model.Upstream | Failure:
        now = clock.now()
        found = self.state.health(target)
        prospect = admission.Prospect(
            now,
            call.end - RETURN_MARGIN_S,
            found.wait_s(now),
            found.outstanding,
            self._connections(call),
            cold,
        )
        verdict = admission.judge(prospect, self.state.rng)
        if isinstance(verdict, admission.Refuse):
            return Failure(503, verdict.reason, verdict.retry_after_s)
        return target

    async def _owner(self, call: calls.Call) -> model.Upstream | Failure:
        if call.key is None:
            return Failure(400, 'no-key')
        hold_until = min(
            call.end,
            clock.now() + admission.HOLD_SHARE * call.route.objective_s,
        )
        while True:
            now = clock.now()
            row = self.state.owner_table(call.service).find(call.key)
            if row is None or not row.upstream:
                if row is None or now > admission.move_end(
                    row.since, call.route.objective_s
                ):
                    # Its owner is lost; the wait would outlast the caller.
                    return self._turn_away(call, 'no-owner')
            else:
                # An owner that refused is asked again once it was named
                # anew, as its grant had only ended meanwhile.
                if row.since >= call.tried.get(row.upstream, -math.inf):
                    if self._may_send(row.upstream, now):
                        return self._admit_owner(call, row, now)
            if not await self.state.owners_changed.wait(hold_until - now):
                return self._turn_away(call, 'no-new-owner')

    def _turn_away(self, call: calls.Call, reason: str) -> Failure:
        left = call.end - clock.now()
        after = admission.retry_after(left, left, self.state.rng)
        return Failure(503, reason, after)

    def _may_send(self, upstream: str, now: float) -> bool:
        directory = self.state.directory
        since = directory.withdrawn_since(upstream)
        if since is not None:
            # The coordinator moves the keys meanwhile; the limit leaves room
            # for the delay of the list.
            return now - since < self.state.settings.drain_s / 2
        return upstream in directory.entries or not self.state.listed

    def _admit_owner(
        self, call: calls.Call, row: model.OwnedRange, now: float
    ) -> model.Upstream | Failure:
        entry = self.state.directory.entries.get(row.upstream)
        if entry is None:
            return Failure(503, 'unlisted-owner', 0.1)
        if self.state.health(entry).is_silent(now):
            # Requests that are under way tell when it answers again.
            return self._turn_away(call, 'silent-owner')
        cold = entry.cold_until > now and not self.state.admit_cold(
            entry.name, call.service, now
        )
        return self._admit(call, entry, cold)
