"""Exports metrics for monitoring."""

from __future__ import annotations

import typing

from aiohttp import web
import aioprometheus
from aioprometheus import renderer

from knapweedhall_router import logs
from knapweedhall_router import state as state_module

# Bounds of the latency histogram. They cover latency objectives of 0.2 to
# 2.2 s and time limits of up to 5.6 s.
BUCKET_BOUNDS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 6.0]

# Bounds of the histogram of waits, which last an eighth of the objective, or
# up to the objective for the next one in order.
WAIT_BOUNDS_S = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0]


def create_latency_histogram(
    registry: aioprometheus.Registry,
) -> aioprometheus.Histogram:
    """Return a histogram of the time until callers receive a response."""
    return aioprometheus.Histogram(
        'knapweedhall_request_seconds',
        'Time until a caller has its answer, by route and outcome',
        buckets=BUCKET_BOUNDS_S,
        registry=registry,
    )


def create_wait_histogram(
    registry: aioprometheus.Registry,
) -> aioprometheus.Histogram:
    """Return a histogram of the time that requests wait for room."""
    return aioprometheus.Histogram(
        'knapweedhall_wait_seconds',
        'Time that requests waited for room at an upstream, by priority',
        buckets=WAIT_BOUNDS_S,
        registry=registry,
    )


class Traffic(typing.Protocol):
    """Counters of the requests of callers.

    Attributes
    ----------
    outcome_counts : dict of str to int
        Number of finished requests by outcome.
    workspace_counts : dict of tuple of str and str to int
        Number of ended requests by workspace and outcome.
    registry : aioprometheus.Registry
        Metrics of the process.
    """

    outcome_counts: dict[str, int]
    workspace_counts: dict[tuple[str, str], int]
    registry: aioprometheus.Registry

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""

    @property
    def broken_counts(self) -> dict[str, int]:
        """Number of exchanges without a complete response, by reason."""

    @property
    def queued(self) -> int:
        """Number of requests that wait for room at an upstream."""

    def read_caller_gauges(self) -> dict[str, float]:
        """Return what the connections of callers use, by name."""


class Metrics:
    """Counters, gauges and histograms of this process.

    Attributes
    ----------
    requests : aioprometheus.Counter
        Finished requests by outcome.
    broken_exchanges : aioprometheus.Counter
        Exchanges without a complete response of an upstream, by reason.
    workspace_requests : aioprometheus.Counter
        Ended requests by workspace and outcome.
    quota_refusals : aioprometheus.Counter
        Requests without a token, by workspace.
    gauges : aioprometheus.Gauge
        State of the instance by name.
    upstreams : aioprometheus.Gauge
        Conditions of upstreams near their limit, as the coordinator told them.
    """

    def __init__(self, state: state_module.State, traffic: Traffic) -> None:
        self.state = state
        self.traffic = traffic
        self.registry = traffic.registry
        self.requests = aioprometheus.Counter(
            'knapweedhall_requests_total',
            'Requests by outcome',
            registry=self.registry,
        )
        self.broken_exchanges = aioprometheus.Counter(
            'knapweedhall_broken_exchanges_total',
            'Exchanges without a complete response of an upstream, by reason',
            registry=self.registry,
        )
        self.workspace_requests = aioprometheus.Counter(
            'knapweedhall_workspace_requests_total',
            'Requests by workspace and outcome',
            registry=self.registry,
        )
        self.quota_refusals = aioprometheus.Counter(
            'knapweedhall_quota_refused_total',
            'Requests refused for the quota of their workspace',
            registry=self.registry,
        )
        self.gauges = aioprometheus.Gauge(
            'knapweedhall_state',
            'State of the instance by name',
            registry=self.registry,
        )
        self.upstreams = aioprometheus.Gauge(
            'knapweedhall_upstream',
            'Condition of an upstream near its limit over all instances',
            registry=self.registry,
        )

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return all metrics in a format that the request accepts."""
        for outcome, count in self.traffic.outcome_counts.items():
            self.requests.set({'outcome': outcome}, count)
        for reason, count in self.traffic.broken_counts.items():
            self.broken_exchanges.set({'reason': reason}, count)
        counts = self.traffic.workspace_counts
        for (workspace, outcome), count in counts.items():
            labels = {'workspace': workspace, 'outcome': outcome}
            self.workspace_requests.set(labels, count)
        for workspace, count in self.state.tokens.refused.items():
            self.quota_refusals.set({'workspace': workspace}, count)
        for name, value in self.read_gauges().items():
            self.gauges.set({'name': name}, value)
        self.upstreams.values.clear()
        for upstream, known in self.state.conditions.known.items():
            for name, value in (
                ('limit', known.limit),
                ('load', known.load),
                ('service_seconds', known.service_s),
                ('users', known.users),
            ):
                self.upstreams.set({'upstream': upstream, 'name': name}, value)
        content, headers = renderer.render(
            self.registry, request.headers.getall('Accept', [])
        )
        return web.Response(body=content, headers=headers)

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by name."""
        state = self.state
        return {
            'running': self.traffic.in_flight,
            'queued': self.traffic.queued,
            'configuration': state.configuration_version(),
            'upstreams': len(state.directory.entries),
            'instances': len(state.instances),
            'ready': float(state.is_ready()),
            'coordinates': float(state.feed.relay is not None),
            'sharers': state.tokens.leases.sharers,
            'quota_admitted': state.tokens.admitted,
            'quota_messages': state.tokens.asked,
            'log_lines_dropped': logs.dropped_lines(),
        } | self.traffic.read_caller_gauges()
