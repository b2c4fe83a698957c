"""Selects the upstream for a request, or the reason why there is none."""

from __future__ import annotations

import asyncio
import dataclasses
import math

from knapweedhall_router import clock
from knapweedhall_router.serving import calls
from knapweedhall_router.serving import connections
from knapweedhall_router.serving import queues
from knapweedhall_router import state as state_module
from knapweedhall_routing import admission
from knapweedhall_routing import choice
from knapweedhall_routing import model
from knapweedhall_routing import returns
from knapweedhall_routing import waiting

# Time for which responses that have arrived are read before an owner counts as
# silent. After a standstill of the process, requests may be handled before
# the responses that arrived in the meantime.
SILENCE_CHECK_S = 0.02
# Time before the caller's deadline at which the response must be available, so
# that it still reaches the caller.
RETURN_MARGIN_S = 0.01
# Retry-After for causes that another instance or connection does not have.
SOON_S = 0.1
# Reason of a refusal as no upstream responds.
SILENT = 'silent-upstreams'
# Time left for a request that is sent again, as a multiple of the expected
# service time; the other upstream may have a queue.
RESEND_TIME_FACTOR = 2.0
# Services and owners for which returns are planned, at most; more than a site
# of 450 instances has upstreams.
MAX_RETURNS = 2000


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
    full : bool
        Whether the cause is that the service has no room for the request.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    full: bool = False


@dataclasses.dataclass(frozen=True)
class NoRoom:
    """Upstreams could run the request, but it has to wait for them.

    Attributes
    ----------
    lane : str
        Owner of its key; '' if any upstream can run it.
    latency_s : float
        Expected time until the response once it is sent, seconds.
    with_room : tuple of str
        Upstreams that have room, though other requests wait.
    """

    lane: str
    latency_s: float
    with_room: tuple[str, ...] = ()


class UpstreamSelector:
    """Selects upstreams based on the state of this instance.

    Attributes
    ----------
    pools : connections.Pools
        Connections to upstreams; upstreams with an idle connection are
        preferred.
    queues : queues.Queues
        Requests that wait for room.
    returns : dict of str to returns.Returns
        When refused callers should return, by service, or by owner.
    """

    def __init__(
        self, state: state_module.State, pools: connections.Pools
    ) -> None:
        self.state = state
        self.pools = pools
        self.queues = queues.Queues(state)
        self.returns: dict[str, returns.Returns] = {}

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

        This waits for room at the upstream and, if the call's key has no
        owner, for a new one, within the limits of the call. The upstream
        counts one more attempt until `end_attempt`.
        """
        offered = ''
        silence_checked = False
        try:
            while True:
                if self.is_divided(call):
                    selected = await self._wait_for_owner(call, offered)
                else:
                    selected = self._choose_any(call, offered)
                if isinstance(selected, model.Upstream):
                    if selected.name != offered:
                        self.queues.begin_attempt(selected.name)
                        self.queues.record_unqueued(call, True)
                    else:
                        offered = ''
                    return selected
                if isinstance(selected, Failure) and not offered:
                    if selected.reason == SILENT and not silence_checked:
                        silence_checked = True
                        await asyncio.sleep(SILENCE_CHECK_S)
                        continue
                    self.queues.record_unqueued(call, False)
                    return selected
                if offered:
                    # It does not suit this call any longer; others may.
                    self.queues.withdraw_attempt(offered)
                    offered = ''
                    continue
                assert isinstance(selected, NoRoom)
                outcome = await self._wait_for_room(call, selected)
                if isinstance(outcome, Failure):
                    return outcome
                offered = outcome
        finally:
            if offered:
                self.queues.end_attempt(call.service, offered)

    def end_attempt(self, call: calls.Call, upstream: model.Upstream) -> None:
        """End an attempt that `select` began."""
        self.queues.end_attempt(call.service, upstream.name)

    async def _wait_for_room(
        self, call: calls.Call, no_room: NoRoom
    ) -> str | Failure:
        """Return the upstream that has room; '' to select another one."""
        outcome = await self.queues.wait(
            call,
            no_room.lane,
            self._send_by(call, no_room.latency_s),
            no_room.with_room,
        )
        if isinstance(outcome, queues.Refused):
            if outcome.reason == queues.STOPPING:
                return self.refuse_stopping()
            return self.refuse_full(call, outcome.reason, no_room.lane)
        return outcome.upstream if isinstance(outcome, queues.Offer) else ''

    def _send_by(self, call: calls.Call, latency_s: float) -> float:
        """Return until when a call may wait for room if it is next.

        It waits only while it can meet its objective, as holding a request
        that is refused in the end, or late, is worse than refusing it.
        """
        send_by = call.deadline - RETURN_MARGIN_S - latency_s
        patience_until = waiting.patience_until(
            call.arrived_at, call.route.objective_s
        )
        useful_until = call.objective_at - RETURN_MARGIN_S - latency_s
        return min(send_by, max(useful_until, patience_until))

    def _choose_any(
        self, call: calls.Call, offered: str
    ) -> model.Upstream | Failure | NoRoom:
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
        if not call.idempotent and allowed:
            allowed = self._without_silent(allowed, now)
            if not allowed:
                return self.refuse(call, SILENT)
        if offered:
            allowed = [each for each in allowed if each.name == offered]
        warm = [upstream for upstream in allowed if upstream.cold_until <= now]
        if not offered and allowed and self.state.conditions.known:
            with_room = [
                upstream
                for upstream in warm or allowed
                if not self.queues.is_at_share(upstream.name, now)
            ]
            if not with_room or self.queues.has_waiting(call.service, ''):
                latency_s = self.state.baseline(call.service).service_s
                names = tuple(upstream.name for upstream in with_room)
                return NoRoom('', latency_s, names)
            warm = with_room if warm else []
            allowed = with_room
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

    def _without_silent(
        self, upstreams: list[model.Upstream], now: float
    ) -> list[model.Upstream]:
        """Return the upstreams that may get a request that may run once only.

        Those that respond to a part of their requests are used if all others
        are silent: one of these requests may just take long.
        """
        audible = [
            upstream
            for upstream in upstreams
            if not self._is_silent(upstream.name, now)
        ]
        answering = [
            upstream
            for upstream in audible
            if not self.state.health(upstream).is_mute(now)
        ]
        return answering or audible

    def resend_by(self, call: calls.Call) -> float:
        """Return until when a call should be sent again to end in time."""
        service_s = self.state.baseline(call.service).service_s
        return call.deadline - RETURN_MARGIN_S - RESEND_TIME_FACTOR * service_s

    def can_resend(self, call: calls.Call) -> bool:
        """Return whether another upstream can run a call in time now."""
        now = clock.now()
        service_s = self.state.baseline(call.service).service_s
        if now + service_s + RETURN_MARGIN_S >= call.deadline:
            return False
        return any(
            upstream.name not in call.possible_runs
            and upstream.name not in call.excluded_at
            and upstream.cold_until <= now
            and not self._is_unsuitable(upstream, now)
            for upstream in self.state.directory.usable(call.service)
        )

    def _is_unsuitable(self, upstream: model.Upstream, now: float) -> bool:
        health = self.state.health(upstream)
        return (
            health.is_paused(now)
            or health.is_silent(now)
            or health.is_mute(now)
            or health.connect_blocked_until > now
            or self.queues.is_at_share(upstream.name, now)
        )

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
            health.expected_latency_s(now),
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
            if over_cold_budget:
                return Failure(503, decision.reason, decision.retry_after_s)
            lane = upstream.name if self.is_divided(call) else ''
            return self.refuse_full(call, decision.reason, lane)
        return upstream

    async def _wait_for_owner(
        self, call: calls.Call, offered: str
    ) -> model.Upstream | Failure | NoRoom:
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
                        return self._admit_owner(
                            call, owned_range, offered, now
                        )
            if not await self.state.owners_changed.wait(wait_until - now):
                return self.refuse(call, 'no-new-owner')

    def refuse(self, call: calls.Call, reason: str) -> Failure:
        """Return a refusal with the longest delay that callers honor."""
        time_left_s = call.deadline - clock.now()
        retry_after_s = admission.retry_after(
            time_left_s, time_left_s, self.state.rng
        )
        return Failure(503, reason, retry_after_s)

    def refuse_soon(self, call: calls.Call, reason: str) -> Failure:
        """Return a refusal for a cause that ends soon, or elsewhere."""
        retry_after_s = admission.retry_after(
            SOON_S, call.deadline - clock.now(), self.state.rng
        )
        return Failure(503, reason, retry_after_s)

    def refuse_full(self, call: calls.Call, reason: str, lane: str) -> Failure:
        """Return a refusal by a service without room.

        Parameters
        ----------
        call : calls.Call
            The refused call.
        reason : str
            Cause, for the log and for the caller.
        lane : str
            Owner of its key that has no room; '' for the whole service.
        """
        now = clock.now()
        retry_after_s = self._returns(lane or call.service).plan(
            now,
            call.deadline - now,
            self.queues.count_waiting(call.service, lane),
            self.queues.drain_per_s(call.service, lane, now),
            self.state.rng,
        )
        return Failure(503, reason, retry_after_s, True)

    def count_request(self, call: calls.Call) -> None:
        """Count a request for the load that refused callers return to."""
        if not self.is_divided(call):
            self._returns(call.service).count_request(clock.now())

    def _returns(self, name: str) -> returns.Returns:
        known = self.returns.get(name)
        if known is None:
            if len(self.returns) >= MAX_RETURNS:
                # They plan for a few seconds only.
                self.returns.clear()
            known = self.returns[name] = returns.Returns()
        return known

    def refuse_stopping(self) -> Failure:
        """Return a refusal of a request that this process can't finish.

        Other instances can run it at once.
        """
        return Failure(
            503, 'stopping', admission.retry_after(0.0, 1.0, self.state.rng)
        )

    def _refuse_until(self, call: calls.Call, until: float) -> Failure:
        """Return a refusal during the pause of all possible upstreams."""
        baseline = self.state.baseline(call.service)
        retry_after_s = admission.retry_after_pause(
            until - clock.now(), baseline.service_s, self.state.rng
        )
        return Failure(503, 'paused', retry_after_s, True)

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
        self,
        call: calls.Call,
        owned_range: model.OwnedRange,
        offered: str,
        now: float,
    ) -> model.Upstream | Failure | NoRoom:
        entry = self.state.directory.entries.get(owned_range.upstream)
        if entry is None:
            return self.refuse_soon(call, 'unlisted-owner')
        health = self.state.health(entry)
        if health.is_paused(now):
            return self._refuse_until(call, health.paused_until)
        if self._is_silent(entry.name, now):
            # Requests in flight show when it responds again.
            return self.refuse(call, 'silent-owner')
        if entry.name != offered:
            at_share = self.queues.is_at_share(entry.name, now)
            if at_share or self.queues.has_waiting(call.service, entry.name):
                names = () if at_share else (entry.name,)
                return NoRoom(entry.name, health.service_s, names)
        over_cold_budget = (
            entry.cold_until > now
            and not self.state.admit_cold(entry.name, call.service, now)
        )
        return self._admit(call, entry, over_cold_budget)
