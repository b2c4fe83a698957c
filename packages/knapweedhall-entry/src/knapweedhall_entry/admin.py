"""Admin port: health, readiness, status, owner of a key, metrics."""

from __future__ import annotations

import typing

from aiohttp import web
import msgspec

from knapweedhall_entry import metrics as metric_values

Status = dict[str, typing.Any]


class AdminSource(typing.Protocol):
    """What the admin port shows."""

    def ready(self) -> str:
        """Return why the instance is not ready, '' if it is."""

    def status(self) -> Status:
        """Return versions in force, groups held and peers."""

    def owner(self, service: str, key: str) -> Status | None:
        """Return the owner of a key, None for an unknown service."""


def json_answer(fields: Status, status: int = 200) -> web.Response:
    """Return an answer with a JSON object."""
    return web.Response(
        body=msgspec.json.encode(fields),
        status=status,
        content_type='application/json',
    )


class Admin:
    """Handlers of the admin port."""

    def __init__(
        self, source: AdminSource, values: metric_values.Metrics
    ) -> None:
        self.source = source
        self.values = values

    def application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application()
        application.add_routes(
            [
                web.get('/knapweedhall/health', self.health),
                web.get('/knapweedhall/ready', self.ready),
                web.get('/knapweedhall/status', self.status),
                web.get('/knapweedhall/owner', self.owner),
                web.get('/knapweedhall/metrics', self.metrics),
            ]
        )
        return application

    async def health(self, request: web.Request) -> web.Response:
        """Answer that the event loop runs."""
        return json_answer({'healthy': True})

    async def ready(self, request: web.Request) -> web.Response:
        """Answer 200 if the load balancer may send callers, else 503."""
        reason = self.source.ready()
        fields = {'ready': not reason, 'reason': reason}
        return json_answer(fields, 503 if reason else 200)

    async def status(self, request: web.Request) -> web.Response:
        """Answer with the state of this instance."""
        return json_answer(self.source.status())

    async def owner(self, request: web.Request) -> web.Response:
        """Answer with the owner of a key."""
        service = request.query.get('service', '')
        key = request.query.get('key', '')
        if not (service and key):
            reason = 'use /knapweedhall/owner?service=NAME&key=KEY'
            return json_answer({'reason': reason}, 400)
        found = self.source.owner(service, key)
        if found is None:
            reason = f'no service record {service!r} is in force'
            return json_answer({'reason': reason}, 404)
        return json_answer(found)

    async def metrics(self, request: web.Request) -> web.Response:
        """Answer with all metrics."""
        accepts = request.headers.getall('Accept', [])
        content, headers = self.values.render(accepts)
        return web.Response(body=content, headers=headers)
