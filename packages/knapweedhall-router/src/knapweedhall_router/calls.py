"""A caller's request on its way through the instance."""

from __future__ import annotations

import itertools

from aiohttp import web

from knapweedhall_adapter import decoding
from knapweedhall_adapter import names
from knapweedhall_router import exchange
from knapweedhall_routing import model

_numbers = itertools.count(1)


class Call:
    """A request that was read whole.

    Attributes
    ----------
    number : int
        Number within the process.
    request_id : str
        The caller's id of this attempt.
    route, service : model.Route, str
        Route, and the service that its split chose.
    idempotent : bool
        Whether it may run more than once.
    key : int or None
        Key of a divided service.
    begun, end, objective_at : float
        Arrival, end of the caller's patience or the route's timeout, and end
        of the latency objective, on `clock.now`.
    sends : int
        Times that it was handed to an upstream.
    ran_on : set of str
        Upstreams that may have run it.
    last_upstream : str
        Where it was sent last; '' before.
    tried : dict of str to float
        Upstreams that refused it or were not reached, and when.
    """

    __slots__ = (
        'number',
        'request_id',
        'method',
        'target',
        'headers',
        'body',
        'route',
        'idempotent',
        'service',
        'key',
        'begun',
        'end',
        'objective_at',
        'sends',
        'ran_on',
        'tried',
        'last_upstream',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        route: model.Route,
        service: str,
        body: bytes,
        now: float,
    ) -> None:
        self.number = next(_numbers)
        found = request.headers
        self.request_id = found.get(names.REQUEST_ID_HEADER, '')
        self.method = request.method
        self.target = request.raw_path
        self.headers = [
            (name, value)
            for name, value in exchange.end_to_end(found)
            if name
            not in (names.TIME_LEFT_MS_HEADER, names.EXPECTED_UPSTREAM_HEADER)
        ]
        self.body = body
        self.route = route
        self.idempotent = route.may_repeat(request.method)
        self.service = service
        self.key = decoding.parse_key(found.get(names.KEY_HEADER))
        left = decoding.parse_time_left_s(found.get(names.TIME_LEFT_MS_HEADER))
        self.begun = now
        self.end = now + min(
            route.timeout_s, route.timeout_s if left is None else left
        )
        self.objective_at = now + route.objective_s
        self.sends = 0
        self.ran_on: set[str] = set()
        self.last_upstream = ''
        self.tried: dict[str, float] = {}

    def turned_away(self, upstream: str, now: float) -> None:
        """Take note that an upstream refused the request."""
        self.tried[upstream] = now

    def encode(self, upstream: str, now: float) -> bytes:
        """Return the request for an upstream."""
        left_ms = max(1, int((self.end - now) * 1000))
        headers = [
            *self.headers,
            (names.TIME_LEFT_MS_HEADER, str(left_ms)),
            (names.EXPECTED_UPSTREAM_HEADER, upstream),
        ]
        has_length = bool(self.body) or self.method not in ('GET', 'HEAD')
        length = len(self.body) if has_length else None
        return (
            exchange.encode_head(self.method, self.target, headers, length)
            + self.body
        )
