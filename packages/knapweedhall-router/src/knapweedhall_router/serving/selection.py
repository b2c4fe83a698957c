"""Selects the upstream for a request, or the reason why there is none."""

from __future__ import annotations

import asyncio
import dataclasses
import math

from knapweedhall_router import clock
from knapweedhall_router.serving import calls
from knapweedhall_router.serving import connections
from knapweedhall_router import state as state_module
from knapweedhall_routing import admission
from knapweedhall_routing import choice
from knapweedhall_routing import model

# Time for which responses that have arrived are read before an owner counts as
# silent. After a standstill of the process, requests may be handled before
# the responses that arrived in the meantime.
SILENCE_CHECK_S = 0.02
# Time before the caller's deadline at which the response must be available, so
# that it still reaches the caller.
RETURN_MARGIN_S = 0.01


@dataclasses.dataclass(frozen=True)
class Failure:
    """The router's own response to a request, in place of an upstream's.

    Attributes
    ----------
    status : int
        HTTP status. For a request that is not idempotent, 503 states that it
        has not run and will not run.
    reason : str
        Cause, for the log and for the caller.
    retry_after_s : float or None
        Delay after which the caller should retry, seconds.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class UpstreamSelector:
    """Selects upstreams based on the state of this instance.

    Attributes
    ----------
    pools : connections.Pools
        Connections to upstreams; upstreams with an idle connection are
        preferred.
    """

    def __init__(
        self, state: state_module.State, pools: connections.Pools
    ) -> None:
        self.state = state
        self.pools = pools

    def is_divided(self, call: calls.Call) -> bool:
        """Return whether each key of the call's service has an owner."""
        return self.state.service(call.service).divided

    def max_idle_s(self, call: calls.Call) -> float:
        """Return the maximum idle time of a connection for a call."""
        idle_limit = self.state.idle_limit(call.service)
        return idle_limit.max_idle_s(call.idempotent, clock.now())

    def connection_share(self, call: calls.Call) -> int:
        """Return how many connections to one upstream may be open."""
        service = self.state.service(call.service)
        return admission.connection_share(
            service.max_connections, len(self.state.instances)
        )

    async def select(self, call: calls.Call) -> model.Upstream | Failure:
        """Return the upstream for a call, or why there is none.

        If the call's key has no owner, this waits for a new one within the
        limits of the call.
        """
        if self.is_divided(call):
            return await self._wait_for_owner(call)
        return self._choose_any(call)

    def _choose_any(self, call: calls.Call) -> model.Upstream | Failure:
        now = clock.now()
        usable = self.state.directory.usable(call.service)
        allowed = [
            upstream
            for upstream in usable
            if upstream.name not in call.excluded_at
        ]
        if (
            call.possible_runs
            and len(call.possible_runs) >= call.route.max_attempts
        ):
            allowed = [
                upstream
                for upstream in usable
                if upstream.name in call.possible_runs
            ]
        paused_until = [
            self.state.health(upstream).paused_until for upstream in allowed
        ]
        allowed = [
            upstream
            for upstream, until in zip(allowed, paused_until)
            if until <= now
        ]
        if paused_until and not allowed:
            return self._refuse_until(call, min(paused_until))
        warm = [upstream for upstream in allowed if upstream.cold_until <= now]
        eligible = warm or [
            upstream
            for upstream in allowed
            if self.state.admit_cold(upstream.name, call.service, now)
        ]
        max_idle_s = self.max_idle_s(call)
        chosen = choice.choose(
            [
                self._candidate(upstream, max_idle_s, now)
                for upstream in eligible
            ],
            now,
            choice.Preference(
                self.state.settings.failure_domain,
                len(call.body),
                call.objective_at,
            ),
            self.state.rng,
        )
        if chosen is None:
            return self.refuse(call, 'no-upstream')
        return self._admit(call, chosen.upstream, False)

    def _candidate(
        self, upstream: model.Upstream, max_idle_s: float, now: float
    ) -> choice.Candidate:
        health = self.state.health(upstream)
        pool = self.pools.find(upstream.address)
        connected = pool is not None and pool.has_idle(max_idle_s, now)
        shared = self.state.conditions
        if shared.find(upstream.name, now) is None:
            return choice.Candidate(upstream, health, connected)
        return choice.Candidate(
            upstream,
            health,
            connected,
            shared.room(upstream.name, now),
            shared.expected_latency_s(upstream.name, now),
        )

    def _admit(
        self,
        call: calls.Call,
        upstream: model.Upstream,
        over_cold_budget: bool,
    ) -> model.Upstream | Failure:
        now = clock.now()
        health = self.state.health(upstream)
        estimate = admission.Estimate(
            now,
            call.deadline - RETURN_MARGIN_S,
            self.state.conditions.expected_latency_s(upstream.name, now),
            health.outstanding,
            self.connection_share(call),
            over_cold_budget,
        )
        decision = admission.decide(estimate, self.state.rng)
        if isinstance(decision, admission.Refuse):
            is_late = decision.reason == admission.NO_TIME
            if is_late and call.deadline >= self.state.work_until:
                # This process ends too soon; other instances have the time.
                return self.refuse_stopping()
            return Failure(503, decision.reason, decision.retry_after_s)
        return upstream

    async def _wait_for_owner(
        self, call: calls.Call
    ) -> model.Upstream | Failure:
        if call.key is None:
            return Failure(400, 'no-key')
        wait_until = min(
            call.deadline,
            clock.now() + admission.OWNER_WAIT_SHARE * call.route.objective_s,
        )
        silence_checked = False
        while True:
            now = clock.now()
            owned_range = self.state.owner_table(call.service).find(call.key)
            if owned_range is None or not owned_range.upstream:
                if owned_range is None or now > admission.move_deadline(
                    owned_range.learned_at, call.route.objective_s
                ):
                    # The key has no known owner, or none for longer than a
                    # planned move takes: the owner was lost. The caller's
                    # deadline would pass before there is a new one.
                    return self.refuse(call, 'no-owner')
            else:
                # An owner that refused the request is used again once it has
                # been announced as the owner again: only its grant had
                # expired in the meantime.
                if owned_range.learned_at >= call.excluded_at.get(
                    owned_range.upstream, -math.inf
                ):
                    if self._is_usable_owner(owned_range.upstream, now):
                        if not silence_checked and self._is_silent(
                            owned_range.upstream, now
                        ):
                            silence_checked = True
                            await asyncio.sleep(SILENCE_CHECK_S)
                            continue
                        return self._admit_owner(call, owned_range, now)
            if not await self.state.owners_changed.wait(wait_until - now):
                return self.refuse(call, 'no-new-owner')

    def refuse(self, call: calls.Call, reason: str) -> Failure:
        """Return a refusal with the longest delay that callers honor."""
        time_left_s = call.deadline - clock.now()
        retry_after_s = admission.retry_after(
            time_left_s, time_left_s, self.state.rng
        )
        return Failure(503, reason, retry_after_s)

    def refuse_stopping(self) -> Failure:
        """Return a refusal of a request that this process can't finish.

        Other instances can run it at once.
        """
        return Failure(
            503, 'stopping', admission.retry_after(0.0, 0.0, self.state.rng)
        )

    def _refuse_until(self, call: calls.Call, until: float) -> Failure:
        """Return a refusal during the pause of all possible upstreams."""
        baseline = self.state.baseline(call.service)
        retry_after_s = admission.retry_after_pause(
            until - clock.now(), baseline.service_s, self.state.rng
        )
        return Failure(503, 'paused', retry_after_s)

    def _is_usable_owner(self, upstream_name: str, now: float) -> bool:
        directory = self.state.directory
        unusable_since = directory.unusable_since(upstream_name)
        if unusable_since is not None:
            # In the meantime the coordinator moves the keys. The upstream is
            # used for half of its drain time only, because the store's list
            # of upstreams arrives with a delay.
            return now - unusable_since < self.state.settings.drain_s / 2
        return (
            upstream_name in directory.entries
            or not self.state.upstreams_listed
        )

    def _is_silent(self, upstream_name: str, now: float) -> bool:
        return self.state.conditions.is_silent(upstream_name, now)

    def _admit_owner(
        self, call: calls.Call, owned_range: model.OwnedRange, now: float
    ) -> model.Upstream | Failure:
        entry = self.state.directory.entries.get(owned_range.upstream)
        if entry is None:
            return Failure(503, 'unlisted-owner', 0.1)
        health = self.state.health(entry)
        if health.is_paused(now):
            return self._refuse_until(call, health.paused_until)
        if self._is_silent(entry.name, now):
            # Requests in flight show when it responds again.
            return self.refuse(call, 'silent-owner')
        over_cold_budget = (
            entry.cold_until > now
            and not self.state.admit_cold(entry.name, call.service, now)
        )
        return self._admit(call, entry, over_cold_budget)
