"""A caller's request and the state of its attempts."""

from __future__ import annotations

import asyncio
import itertools
import math

from aiohttp import web

from knapweedhall_adapter import decoding
from knapweedhall_adapter import names
from knapweedhall_router import clock
from knapweedhall_router.serving import exchange
from knapweedhall_routing import model
from knapweedhall_routing import workspaces

_numbers = itertools.count(1)
# Headers of requests that the router sets itself, in lower case.
OWN_HEADERS = frozenset(
    (
        names.TIME_LEFT_MS_HEADER.lower(),
        names.EXPECTED_UPSTREAM_HEADER.lower(),
    )
)
# Headers that are not forwarded where callers need a key, in lower case. Some
# servers take an underscore in a name for a hyphen, so a caller could name
# another workspace with it.
WORKSPACE_HEADERS = frozenset(
    (names.CALLER_KEY_HEADER.lower(), names.WORKSPACE_HEADER.lower())
)


def time_limit_s(request: web.BaseRequest, route: model.Route) -> float:
    """Return how long the caller waits, but at most the route's timeout."""
    time_left_s = decoding.parse_time_left_s(
        request.headers.get(names.TIME_LEFT_MS_HEADER)
    )
    if time_left_s is None:
        return route.timeout_s
    return min(route.timeout_s, time_left_s)


def limit_timeout(timeout: asyncio.Timeout, end_at: float) -> None:
    """Let a running timeout end at `end_at`, on `clock.now`, if not before."""
    loop = asyncio.get_running_loop()
    new_end_at = loop.time() + end_at - clock.now()
    known_end_at = timeout.when()
    if timeout.expired() or known_end_at is None:
        return
    if new_end_at < known_end_at:
        timeout.reschedule(new_end_at)


def caller_key(request: web.BaseRequest) -> str | None:
    """Return the key with which the caller identifies itself, or None.

    If there are several, it is not clear who the caller is.
    """
    values = request.headers.getall(names.CALLER_KEY_HEADER, [])
    return decoding.parse_caller_key(values[0]) if len(values) == 1 else None


class Call:
    """A caller's request, with its whole body, and the state of its attempts.

    Attributes
    ----------
    number : int
        Sequence number, unique within the process.
    request_id : str
        ID that the caller gave to this attempt.
    raw_path : str
        Path and query as received.
    route, service : model.Route, str
        Route, and the service chosen among the route's clusters.
    idempotent : bool
        Whether it may run more than once.
    key : int or None
        Key that selects the owner in a divided service.
    caller_key : str or None
        Key with which the caller identifies itself; never logged.
    identified_by : workspaces.Directory or None
        Workspaces among which the caller was looked up last; None if callers
        needed no key then.
    workspace : str
        Name of the caller's workspace; '' if none.
    priority : int
        Priority of the workspace, or else of the route; 0 is the most urgent.
    arrived_at : float
        When the request arrived, on `clock.now`.
    deadline : float
        When the caller stops waiting, the route's timeout ends or a stopping
        process ends its work, whichever is earliest, on `clock.now`.
    objective_at : float
        End of the route's latency objective, on `clock.now`.
    send_count : int
        How often it was sent to an upstream.
    possible_runs : set of str
        Upstreams that may have run it.
    last_upstream : str
        Upstream that it was last sent to; '' before the first send.
    excluded_at : dict of str to float
        Upstreams that failed, refused it or could not be reached, and when.
    priority, workspace : int, str
        Urgency, 0 is the most urgent; and the caller's workspace, '' if none.
    patience_until : float
        Until when it may wait without being next in order, on `clock.now`;
        inf before it waits for the first time.
    queued_s : float
        How long it has waited for room, seconds.
    has_paid_retry : bool
        Whether the next send is paid from the retry budget already.
    """

    __slots__ = (
        'number',
        'request_id',
        'method',
        'raw_path',
        'headers',
        'body',
        'route',
        'idempotent',
        'service',
        'key',
        'caller_key',
        'identified_by',
        'workspace',
        'priority',
        'arrived_at',
        'deadline',
        'objective_at',
        'send_count',
        'possible_runs',
        'excluded_at',
        'last_upstream',
        'priority',
        'workspace',
        'patience_until',
        'queued_s',
        'has_paid_retry',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        route: model.Route,
        service: str,
        body: bytes | bytearray,
        now: float,
    ) -> None:
        self.number = next(_numbers)
        received = request.headers
        self.request_id = received.get(names.REQUEST_ID_HEADER, '')
        self.method = request.method
        self.raw_path = request.raw_path
        self.headers = [
            (name, value)
            for name, value in exchange.end_to_end_headers(received)
            if name.lower() not in OWN_HEADERS
        ]
        self.body = body
        self.route = route
        self.idempotent = route.is_idempotent(request.method)
        self.service = service
        self.key = decoding.parse_key(received.get(names.KEY_HEADER))
        self.caller_key = caller_key(request)
        self.identified_by: workspaces.Directory | None = None
        self.workspace = ''
        self.priority = route.priority
        self.arrived_at = now
        self.deadline = now + time_limit_s(request, route)
        self.objective_at = now + route.objective_s
        self.send_count = 0
        self.possible_runs: set[str] = set()
        self.last_upstream = ''
        self.excluded_at: dict[str, float] = {}
        self.priority = route.priority
        self.workspace = ''
        self.patience_until = math.inf
        self.queued_s = 0.0
        self.has_paid_retry = False

    def identify(self, directory: workspaces.Directory | None) -> bool:
        """Look up the caller's workspace; return whether it may be served.

        Called before each send, as a new configuration may have removed the
        key or given it to another workspace.

        Parameters
        ----------
        directory : workspaces.Directory or None
            Workspaces of the configuration in force; None if callers need no
            key.
        """
        if directory is self.identified_by:
            return True
        if directory is None:
            # What was removed from its headers stays removed.
            return True
        if not directory.admits(self.caller_key, self.route):
            return False
        workspace = directory.identify(self.caller_key)
        self.identified_by = directory
        self.workspace = workspace.name if workspace else ''
        self.priority = workspaces.priority(workspace, self.route)
        self.headers = [
            (name, value)
            for name, value in self.headers
            if name.lower().replace('_', '-') not in WORKSPACE_HEADERS
        ]
        if workspace is not None:
            self.headers.append((names.WORKSPACE_HEADER, workspace.name))
        return True

    def exclude(self, upstream_name: str, now: float) -> None:
        """Exclude an upstream from the further attempts.

        The owner of a key may be used again once it is confirmed later than
        `now`.
        """
        self.excluded_at[upstream_name] = now

    def encode_head(self, upstream_name: str, now: float) -> bytes:
        """Return the head of the request as sent to an upstream, in bytes."""
        time_left_ms = max(1, int((self.deadline - now) * 1000))
        headers = [
            *self.headers,
            (names.TIME_LEFT_MS_HEADER, str(time_left_ms)),
            (names.EXPECTED_UPSTREAM_HEADER, upstream_name),
        ]
        has_length = bool(self.body) or self.method not in ('GET', 'HEAD')
        length = len(self.body) if has_length else None
        return exchange.encode_head(
            self.method, self.raw_path, headers, length
        )
