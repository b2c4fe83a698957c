"""Finds the upstream that a request is sent to, or why there is none."""

from __future__ import annotations

import dataclasses
import math

from knapweedhall_router import calls
from knapweedhall_router import clock
from knapweedhall_router import connections
from knapweedhall_router import state as state_module
from knapweedhall_routing import admission
from knapweedhall_routing import choice
from knapweedhall_routing import model

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


class Targets:
    """Decides for one call at a time, from what the instance knows.

    Attributes
    ----------
    pools : connections.Pools
        Connections to upstreams; the decision prefers those in use.
    """

    def __init__(
        self, state: state_module.State, pools: connections.Pools
    ) -> None:
        self.state = state
        self.pools = pools

    def is_divided(self, call: calls.Call) -> bool:
        """Return whether each key of the call's service has one owner."""
        return self.state.service(call.service).divided

    def longest_idle_s(self, call: calls.Call) -> float:
        """Return how long a connection may have been idle for a call."""
        trust = self.state.idle_limit(call.service)
        return trust.max_idle_s(call.idempotent, clock.now())

    def connection_share(self, call: calls.Call) -> int:
        """Return how many connections one upstream may have."""
        service = self.state.service(call.service)
        return admission.connection_share(
            service.max_connections, len(self.state.instances)
        )

    async def find(self, call: calls.Call) -> model.Upstream | Failure:
        """Return where a call is sent; waits while its key moves."""
        if self.is_divided(call):
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
        longest_idle_s = self.longest_idle_s(call)
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
            return self.refuse(call, 'no-upstream')
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
        estimate = admission.Estimate(
            now,
            call.end - RETURN_MARGIN_S,
            found.expected_latency_s(now),
            found.outstanding,
            self.connection_share(call),
            cold,
        )
        verdict = admission.decide(estimate, self.state.rng)
        if isinstance(verdict, admission.Refuse):
            return Failure(503, verdict.reason, verdict.retry_after_s)
        return target

    async def _owner(self, call: calls.Call) -> model.Upstream | Failure:
        if call.key is None:
            return Failure(400, 'no-key')
        hold_until = min(
            call.end,
            clock.now() + admission.OWNER_WAIT_SHARE * call.route.objective_s,
        )
        while True:
            now = clock.now()
            row = self.state.owner_table(call.service).find(call.key)
            if row is None or not row.upstream:
                if row is None or now > admission.move_deadline(
                    row.learned_at, call.route.objective_s
                ):
                    # Its owner is lost; the wait would outlast the caller.
                    return self.refuse(call, 'no-owner')
            else:
                # An owner that refused is asked again once it was named
                # anew, as its grant had only ended meanwhile.
                if row.learned_at >= call.tried.get(row.upstream, -math.inf):
                    if self._may_send(row.upstream, now):
                        return self._admit_owner(call, row, now)
            if not await self.state.owners_changed.wait(hold_until - now):
                return self.refuse(call, 'no-new-owner')

    def refuse(self, call: calls.Call, reason: str) -> Failure:
        """Return a refusal whose caller comes back as late as possible."""
        left = call.end - clock.now()
        after = admission.retry_after(left, left, self.state.rng)
        return Failure(503, reason, after)

    def _may_send(self, upstream: str, now: float) -> bool:
        directory = self.state.directory
        since = directory.unusable_since(upstream)
        if since is not None:
            # The coordinator moves the keys meanwhile; the limit leaves room
            # for the delay of the list.
            return now - since < self.state.settings.drain_s / 2
        return upstream in directory.entries or not self.state.upstreams_listed

    def _admit_owner(
        self, call: calls.Call, row: model.OwnedRange, now: float
    ) -> model.Upstream | Failure:
        entry = self.state.directory.entries.get(row.upstream)
        if entry is None:
            return Failure(503, 'unlisted-owner', 0.1)
        if self.state.health(entry).is_silent(now):
            # Requests that are under way tell when it answers again.
            return self.refuse(call, 'silent-owner')
        cold = entry.cold_until > now and not self.state.admit_cold(
            entry.name, call.service, now
        )
        return self._admit(call, entry, cold)
