"""Explains where a request would go, without sending it."""

from __future__ import annotations

import copy
import math
import typing

import multidict

from knapweedhall_adapter import names
from knapweedhall_router import clock
from knapweedhall_router.links import messages
from knapweedhall_router.serving import calls
from knapweedhall_router.serving import connections
from knapweedhall_router.serving import selection
from knapweedhall_router import state as state_module
from knapweedhall_routing import choice
from knapweedhall_routing import model

# Largest body that is assumed; decisions only compare its size with limits
# below that.
MAX_BODY_BYTES = 1024 * 1024


class _Request(typing.NamedTuple):
    """What a call takes from a request."""

    headers: multidict.CIMultiDict[str]
    method: str
    raw_path: str


class _NoChange(state_module.Signal):
    """A signal of a copied state, which does not change."""

    async def wait(self, timeout_s: float) -> bool:
        """Return at once that no change came."""
        return False


def copy_state(
    state: state_module.State, services: typing.Collection[str]
) -> state_module.State:
    """Return a copy of a state on which decisions can be made.

    What a decision changes is copied, for the given services only: their
    measurements, budgets and limits, and the random generator. The rest is
    shared, and decisions only read it.
    """
    upstreams = {
        entry.name
        for entry in state.directory.entries.values()
        if entry.service in services
    }
    copied = copy.copy(state)
    # At once, as the measurements of a service share its baseline.
    (
        copied.splitter,
        copied.baselines,
        copied.healths,
        copied.cold_budgets,
        copied.retry_budgets,
        copied.idle_limits,
        copied.rng,
    ) = copy.deepcopy(
        (
            state.splitter,
            _only(state.baselines, services),
            _only(state.healths, upstreams),
            _only(state.cold_budgets, upstreams),
            _only(state.retry_budgets, services),
            _only(state.idle_limits, services),
            state.rng,
        )
    )
    copied.owner_tables = dict(state.owner_tables)
    copied.owners_changed = _NoChange()
    return copied


_Value = typing.TypeVar('_Value')


def _only(
    values: dict[str, _Value], keys: typing.Collection[str]
) -> dict[str, _Value]:
    return {key: value for key, value in values.items() if key in keys}


class _Selector(selection.UpstreamSelector):
    """Selects an upstream and records what was compared.

    Attributes
    ----------
    compared : dict of str to choice.Candidate
        Upstreams among which one was chosen.
    """

    def __init__(
        self, state: state_module.State, pools: connections.Pools
    ) -> None:
        super().__init__(state, pools)
        self.compared: dict[str, choice.Candidate] = {}

    def _candidate(
        self, upstream: model.Upstream, max_idle_s: float, now: float
    ) -> choice.Candidate:
        candidate = super()._candidate(upstream, max_idle_s, now)
        self.compared[upstream.name] = candidate
        return candidate


async def explain(
    state: state_module.State,
    pools: connections.Pools,
    request: messages.ExplainRequest,
) -> messages.Explanation:
    """Return where a request would go now, and why."""
    answer = messages.Explanation(
        state.settings.name, state.configuration_version()
    )
    if state.routes is None or state.configuration is None:
        answer.status, answer.reason = 503, 'no-configuration'
        return answer
    path, _, _ = request.path.partition('?')
    route = state.routes.find(request.host, path)
    if route is None:
        answer.status, answer.reason = 404, 'no-route'
        return answer
    answer.route, answer.priority = route.name, route.priority
    workspaces = state.configuration.workspaces
    if workspaces is not None:
        workspace = {each.name: each for each in workspaces}.get(
            request.workspace
        )
        if workspace is None and not route.public:
            answer.status, answer.reason = 401, 'no-workspace'
            return answer
        if workspace is not None and workspace.priority is not None:
            answer.priority = workspace.priority
    copied = copy_state(state, {cluster.service for cluster in route.clusters})
    call = _create_call(copied, route, request)
    selector = _Selector(copied, pools)
    now = clock.now()
    # Before the decision, which uses up what it spends on the copy.
    rows = _describe(copied, selector, call, now)
    result = await selector.select(call)
    answer.service = call.service
    answer.divided = selector.is_divided(call)
    if isinstance(result, selection.Failure):
        answer.status, answer.reason = result.status, result.reason
        answer.retry_after_s = result.retry_after_s or 0.0
    else:
        answer.upstream = result.name
        answer.reason = 'owner' if answer.divided else 'lowest-cost'
    for row in rows:
        is_chosen = row.upstream == answer.upstream
        is_compared = row.upstream in selector.compared
        if is_chosen:
            row.state = 'chosen'
        elif not answer.divided and row.state == 'cold' and is_compared:
            row.state = 'eligible'
    answer.candidates = sorted(
        rows, key=lambda row: (row.state != 'chosen', row.cost_ms)
    )
    return answer


def _create_call(
    state: state_module.State,
    route: model.Route,
    request: messages.ExplainRequest,
) -> calls.Call:
    """Return a call as the request would become one."""
    headers = multidict.CIMultiDict({'Host': request.host})
    if request.key:
        headers[names.KEY_HEADER] = request.key
    size = max(0, min(request.body_bytes, MAX_BODY_BYTES))
    call = calls.Call(
        typing.cast(
            typing.Any, _Request(headers, request.method, request.path)
        ),
        route,
        state.splitter.choose(route),
        bytes(size),
        clock.now(),
    )
    call.deadline = min(call.deadline, state.work_until)
    return call


def _describe(
    state: state_module.State,
    selector: selection.UpstreamSelector,
    call: calls.Call,
    now: float,
) -> list[messages.ExplainedCandidate]:
    """Return the figures of the upstreams that could run a call."""
    owner: str | None = None
    if selector.is_divided(call):
        owned_range = (
            state.owner_table(call.service).find(call.key)
            if call.key is not None
            else None
        )
        owner = owned_range.upstream if owned_range is not None else ''
    return [
        _describe_one(state, selector, call, entry, now)
        for entry in state.directory.entries.values()
        if entry.service == call.service and owner in (None, entry.name)
    ]


def _describe_one(
    state: state_module.State,
    selector: selection.UpstreamSelector,
    call: calls.Call,
    entry: model.Upstream,
    now: float,
) -> messages.ExplainedCandidate:
    health = state.health(entry)
    pool = selector.pools.find(entry.address)
    connected = pool is not None and pool.has_idle(
        selector.max_idle_s(call), now
    )
    cost_s = choice.score(
        choice.Candidate(entry, health, connected),
        now,
        state.settings.failure_domain,
    )
    if not state.directory.is_usable(entry):
        word = 'leaving'
    elif health.is_paused(now):
        word = 'paused'
    elif health.connect_blocked_until > now:
        word = 'unreachable'
    elif health.is_silent(now):
        word = 'silent'
    elif entry.cold_until > now:
        word = 'cold'
    else:
        word = 'eligible'
    return messages.ExplainedCandidate(
        entry.name,
        entry.failure_domain,
        word,
        round(cost_s * 1000, 1),
        round(health.expected_latency_s(now) * 1000, 1),
        round(health.load(now), 2),
        health.slots,
        health.outstanding,
        selector.connection_share(call),
        round(health.failure_share(now), 3),
        connected,
        (
            round(max(0.0, health.paused_until - now), 3)
            if health.paused_until > -math.inf
            else 0.0
        ),
    )
