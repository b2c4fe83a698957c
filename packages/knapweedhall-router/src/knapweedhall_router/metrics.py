"""Figures for monitoring, as text."""

from __future__ import annotations

from aiohttp import web
import aioprometheus
from aioprometheus import renderer

from knapweedhall_router import front
from knapweedhall_router import state as state_module


class Metrics:
    """Counters and gauges of one process."""

    def __init__(self, state: state_module.State, front: front.Front) -> None:
        self.state = state
        self.front = front
        self.registry = aioprometheus.Registry()
        self.requests = aioprometheus.Counter(
            'knapweedhall_requests_total',
            'Requests by outcome',
            registry=self.registry,
        )
        self.gauges = aioprometheus.Gauge(
            'knapweedhall_state',
            'State of the instance by name',
            registry=self.registry,
        )

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer with all figures."""
        for outcome, count in self.front.outcomes.items():
            self.requests.set({'outcome': outcome}, count)
        for name, value in self._figures().items():
            self.gauges.set({'name': name}, value)
        content, headers = renderer.render(
            self.registry, request.headers.getall('Accept', [])
        )
        return web.Response(body=content, headers=headers)

    def _figures(self) -> dict[str, float]:
        configuration = self.state.configuration
        return {
            'running': self.front.running,
            'configuration': configuration.version if configuration else 0,
            'upstreams': len(self.state.directory.entries),
            'instances': len(self.state.instances),
            'ready': float(self.state.is_ready()),
        }
