"""Receives the requests of callers and returns the responses."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import functools
import typing
import weakref

from aiohttp import http
from aiohttp import streams
from aiohttp import web
import aioprometheus

from knapweedhall_adapter import decoding
from knapweedhall_adapter import names
from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import metrics
from knapweedhall_router.serving import caller_connections
from knapweedhall_router.serving import calls
from knapweedhall_router.serving import dispatch
from knapweedhall_router.serving import exchange
from knapweedhall_router.serving import selection
from knapweedhall_router import state as state_module
from knapweedhall_routing import body_budget
from knapweedhall_routing import head_budget
from knapweedhall_routing import model
from knapweedhall_routing import quotas

# Limit of a line and of a header field in the parser; the configured limits
# are not known when the server is created.
MAX_REQUEST_FIELD_BYTES = 65536
# Longest time for which the rest of a refused body is read, so that a caller
# that stops sending does not hold its connection. Also applies if the caller
# states no time limit.
MAX_DISCARD_S = 30.0
# Sent to callers that wait for it before they send a body.
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Idle time after which callers are asked to open another connection, whole
# seconds. Shorter than the time for which a stopping process leaves idle
# connections open, so that no request crosses their close.
CALLER_IDLE_S = 2


class ForwardedResponse(web.Response):
    """A response that drops its body once it has been sent.

    The server keeps the last response of each open connection.

    Attributes
    ----------
    on_end : callable
        Called when the body is no longer held; may be called repeatedly.
    """

    def __init__(
        self, status: int, body: bytes, on_end: typing.Callable[[], None]
    ) -> None:
        super().__init__(status=status, body=body)
        self.on_end = on_end
        # If the caller leaves before the response is sent.
        weakref.finalize(self, on_end).atexit = False

    async def write_eof(self, data: bytes = b'') -> None:
        """Send the body and drop it."""
        try:
            await super().write_eof(data)
        finally:
            self.body = None
            self.on_end()


class UnreadResponse(web.Response):
    """A response to a request whose body is still arriving.

    The connection would be reset if it were closed before the body is read,
    and a caller that is still sending would not see the response.

    Attributes
    ----------
    content : aiohttp.streams.StreamReader
        Body of the request, whose rest is discarded.
    until : float
        When to stop reading, on `clock.now`.
    max_bytes : int
        How many bytes to read at most.
    """

    def __init__(
        self,
        status: int,
        text: str,
        content: streams.StreamReader,
        until: float,
        max_bytes: int,
    ) -> None:
        super().__init__(status=status, text=text)
        self.content = content
        self.until = until
        self.max_bytes = max_bytes

    async def write_eof(self, data: bytes = b'') -> None:
        """Send the response and discard the rest of the request."""
        await super().write_eof(data)
        count = 0
        # The server closes the connection if the body is not at its end then.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, self.until - clock.now())):
                while not self.content.is_eof() and count < self.max_bytes:
                    count += len(await self.content.readany())


class Frontend:
    """Handles the requests of callers.

    Attributes
    ----------
    busy_connections : set of aiohttp.web.RequestHandler
        Connections with a request in progress.
    bodies : body_budget.BodyBudget
        Memory of the bodies of the requests in progress.
    receiving : set of asyncio.Timeout
        Time limits of the bodies that are being received.
    server : caller_connections.CallerServer or None
        The HTTP server; None before `create_server`.
    outcome_counts : dict of str to int
        Number of finished requests by outcome.
    workspace_counts : dict of tuple of str and str to int
        Number of ended requests by workspace and outcome; the workspace is ''
        for requests without a key to public routes.
    registry : aioprometheus.Registry
        Metrics of the process.
    request_seconds : aioprometheus.Histogram
        Time from arrival to response, by route and outcome.
    """

    def __init__(
        self, state: state_module.State, dispatcher: dispatch.Dispatcher
    ) -> None:
        self.state = state
        self.dispatcher = dispatcher
        self.busy_connections: set[web.RequestHandler] = set()
        self.bodies = body_budget.BodyBudget()
        self.receiving: set[asyncio.Timeout] = set()
        self.server: caller_connections.CallerServer | None = None
        self.outcome_counts: dict[str, int] = {}
        self.workspace_counts: dict[tuple[str, str], int] = {}
        self.registry = aioprometheus.Registry()
        self.request_seconds = metrics.create_latency_histogram(self.registry)
        dispatcher.selector.queues.wait_seconds = (
            metrics.create_wait_histogram(self.registry)
        )

    @property
    def in_flight(self) -> int:
        """Number of requests in progress, one per busy connection."""
        return len(self.busy_connections)

    @property
    def queued(self) -> int:
        """Number of requests that wait for room at an upstream."""
        return len(self.dispatcher.selector.queues)

    def create_server(self) -> caller_connections.CallerServer:
        """Return the HTTP server for requests of callers."""
        self.server = caller_connections.CallerServer(
            self.handle,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_REQUEST_FIELD_BYTES,
            max_field_size=MAX_REQUEST_FIELD_BYTES,
            lingering_time=1.0,
            limits=self._caller_limits,
        )
        return self.server

    @property
    def broken_counts(self) -> dict[str, int]:
        """Number of exchanges without a complete response, by reason."""
        return self.dispatcher.broken_counts

    def read_caller_gauges(self) -> dict[str, float]:
        """Return what the connections of callers use, by name."""
        if self.server is None:
            return {}
        return {
            'caller_connections': len(self.server.limit.open),
            'caller_head_bytes': self.server.budget.total,
        }

    def _caller_limits(self) -> caller_connections.Limits:
        """Return the limits over all connections of callers."""
        settings = self.state.settings
        memory_bytes = settings.memory_mb * 1e6
        return caller_connections.Limits(
            head_budget.max_connections(
                settings.descriptors,
                settings.caller_descriptor_share,
                memory_bytes,
            ),
            memory_bytes * settings.head_memory_share,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a request."""
        connection = request.protocol
        assert isinstance(connection, caller_connections.CallerConnection)
        connection.record_request(request.content)
        self.busy_connections.add(connection)
        memory = body_budget.Reservation(self.bodies)
        try:
            response = await self._handle(request, memory)
            if self.state.stopping and not connection.has_waiting_request():
                response.force_close()
            elif response.keep_alive is not False:
                response.headers['Keep-Alive'] = f'timeout={CALLER_IDLE_S}'
            return response
        finally:
            connection.record_response()
            self.busy_connections.discard(connection)
            memory.release()

    async def _handle(
        self, request: web.BaseRequest, memory: body_budget.Reservation
    ) -> web.StreamResponse:
        now = clock.now()
        if self.state.routes is None:
            return self._refuse_unread(request, 503, 'no-configuration', 0.2)
        route = self.state.routes.find(request.host, request.path)
        if route is None:
            return self._refuse_unread(request, 404, 'no-route', None)
        directory = self.state.workspaces
        if directory is None:
            return await self._serve(request, route, memory, now)
        caller_key = calls.caller_key(request)
        if not directory.admits(caller_key, route):
            reason = 'unknown' if caller_key else 'no'
            return self._refuse_unread(
                request,
                names.UNKNOWN_CALLER_STATUS,
                f'{reason}-caller-key',
                None,
            )
        workspace = directory.identify(caller_key)
        outcome = 'caller-left'
        try:
            response = await self._serve(request, route, memory, now)
            outcome = str(response.status)
            if isinstance(response, ForwardedResponse):
                outcome = 'answered'
            return response
        finally:
            self._count_for_workspace(workspace, outcome)

    async def _serve(
        self,
        request: web.BaseRequest,
        route: model.Route,
        memory: body_budget.Reservation,
        now: float,
    ) -> web.StreamResponse:
        """Return the response to a request whose caller is identified."""
        try:
            # A body that is not complete by then could not be answered.
            limit_at = now + calls.time_limit_s(request, route)
            async with self._limit_receiving(limit_at):
                body = await self._read_body(request, memory)
        except TimeoutError:
            if self.state.is_work_over():
                failure = self.dispatcher.selector.refuse_stopping()
                return self._refuse_unread(
                    request,
                    failure.status,
                    failure.reason,
                    failure.retry_after_s,
                )
            return self._refuse_unread(request, 408, 'body-timeout', None)
        if isinstance(body, web.Response):
            return body
        assert isinstance(
            request.protocol, caller_connections.CallerConnection
        )
        request.protocol.record_body()
        service = self.state.splitter.choose(route)
        call = calls.Call(request, route, service, body, now)
        try:
            if call.identify(self.state.workspaces):
                result = await self._run(call)
            else:
                result = dispatch.UNKNOWN_CALLER
        except asyncio.CancelledError:
            logs.info(
                'caller_left',
                request=call.request_id,
                workspace=call.workspace,
                service=call.service,
                key=call.key,
                upstreams=sorted(call.possible_runs),
                waited_ms=round((clock.now() - call.arrived_at) * 1000, 1),
            )
            self.dispatcher.buffers.remove(call.number)
            raise
        except Exception as error:
            logs.warning(
                'request_fault',
                request=call.request_id,
                reason=f'{type(error).__name__}: {error}',
            )
            status = 502 if call.possible_runs else 503
            result = selection.Failure(status, 'internal-error')
        on_end = functools.partial(self.dispatcher.buffers.remove, call.number)
        if isinstance(result, selection.Failure):
            on_end()
            self._record_failure(call, result)
            return self._refuse(
                request, result.status, result.reason, result.retry_after_s
            )
        self._record_response(call, result)
        return self._forward_response(result, on_end)

    async def _run(self, call: calls.Call) -> dispatch.Result:
        """Return the result of a call if the workspace's quota admits it.

        The router's own retries need no other token.
        """
        max_wait_s = min(
            call.route.objective_s * quotas.WAIT_SHARE,
            call.deadline - clock.now(),
        )
        token = await self.state.tokens.acquire(call.workspace, max_wait_s)
        if isinstance(token, quotas.Denial):
            return selection.Failure(429, token.reason, token.retry_after_s)
        try:
            return await self.dispatcher.run(call)
        finally:
            if token is not None and not call.possible_runs:
                self.state.tokens.give_back(call.workspace, token)

    def limit_work(self, work_until: float, responses_until: float) -> None:
        """Answer all requests by a time.

        Parameters
        ----------
        work_until, responses_until : float
            When upstreams have to end their work, and until when their
            responses are awaited, on `clock.now`.
        """
        self.state.work_until = work_until
        self.state.responses_until = responses_until
        for timeout in self.receiving:
            calls.limit_timeout(timeout, work_until)
        self.dispatcher.limit_work()

    @contextlib.asynccontextmanager
    async def _limit_receiving(
        self, end_at: float
    ) -> collections.abc.AsyncIterator[None]:
        """Limit the time in which a body is received.

        Parameters
        ----------
        end_at : float
            When it ends, on `clock.now`; earlier if the process is stopped.

        Raises
        ------
        TimeoutError
            If the time is over.
        """
        end_at = min(end_at, self.state.work_until)
        timeout = asyncio.timeout(max(0.0, end_at - clock.now()))
        async with timeout:
            self.receiving.add(timeout)
            try:
                yield
            finally:
                self.receiving.discard(timeout)

    async def _read_body(
        self, request: web.BaseRequest, memory: body_budget.Reservation
    ) -> bytes | bytearray | web.Response:
        connection = request.protocol
        assert isinstance(connection, caller_connections.CallerConnection)
        # A malformed body may be empty up to where it is not valid.
        if not request.can_read_body and not connection.malformed:
            return b''
        assert self.state.configuration is not None
        max_bytes = self.state.configuration.limits.body_bytes
        length = request.content_length
        if length is not None and length > max_bytes:
            return self._refuse_unread(request, 413, 'body-too-large', None)
        memory_bytes = self.state.settings.memory_mb * 1e6
        if not memory.cover(length or 0, memory_bytes):
            return self._refuse_unread(request, 503, 'memory', 0.2)
        if _is_body_held_back(request) and request.transport is not None:
            request.transport.write(CONTINUE)
        # Joining chunks would take the memory twice.
        body = bytearray()
        while chunk := await request.content.readany():
            body += chunk
            if len(body) > max_bytes:
                return self._refuse_unread(
                    request, 413, 'body-too-large', None
                )
            if not memory.cover(len(body), memory_bytes):
                return self._refuse_unread(request, 503, 'memory', 0.2)
        if connection.malformed:
            response = self._refuse_unread(
                request, 400, 'body-malformed', None
            )
            response.force_close()
            return response
        return body

    def _refuse_unread(
        self,
        request: web.BaseRequest,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> web.Response:
        """Log and refuse a request whose body was not or not wholly read."""
        logs.info(
            'request_refused',
            request=request.headers.get(names.REQUEST_ID_HEADER, ''),
            status=status,
            reason=reason,
        )
        connection = request.protocol
        assert isinstance(connection, caller_connections.CallerConnection)
        time_left_s = decoding.parse_time_left_s(
            request.headers.get(names.TIME_LEFT_MS_HEADER)
        )
        if time_left_s is None:
            time_left_s = MAX_DISCARD_S
        configuration = self.state.configuration
        limits = configuration.limits if configuration else model.Limits()
        response = UnreadResponse(
            status,
            f'{reason}\n',
            request.content,
            connection.request_at + min(time_left_s, MAX_DISCARD_S),
            limits.body_bytes,
        )
        if _is_body_held_back(request):
            # The caller must not send another request in place of the body.
            response.force_close()
        return self._complete_refusal(request, response, reason, retry_after_s)

    def _refuse(
        self,
        request: web.BaseRequest,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> web.Response:
        response = web.Response(status=status, text=f'{reason}\n')
        return self._complete_refusal(request, response, reason, retry_after_s)

    def _complete_refusal(
        self,
        request: web.BaseRequest,
        response: web.Response,
        reason: str,
        retry_after_s: float | None,
    ) -> web.Response:
        self._count(f'{response.status}-{reason}')
        request_id = request.headers.get(names.REQUEST_ID_HEADER)
        if request_id is not None:
            response.headers[names.REQUEST_ID_HEADER] = request_id
        if retry_after_s is not None and response.status in (429, 503):
            response.headers[names.RETRY_AFTER_HEADER] = f'{retry_after_s:.3f}'
        if response.status == names.UNKNOWN_CALLER_STATUS:
            response.headers[names.CHALLENGE_HEADER] = names.CHALLENGE
        return response

    def _forward_response(
        self,
        upstream_response: exchange.Response,
        on_end: typing.Callable[[], None],
    ) -> web.Response:
        self._count('answered')
        response = ForwardedResponse(
            upstream_response.status, upstream_response.body, on_end
        )
        for name in ('Content-Type', 'Server', 'Date'):
            response.headers.popall(name, None)
        for name, value in exchange.end_to_end_headers(
            upstream_response.headers
        ):
            response.headers.add(name, value)
        return response

    def _count(self, outcome: str) -> None:
        self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1

    def _count_for_workspace(
        self, workspace: model.Workspace | None, outcome: str
    ) -> None:
        label = (workspace.name if workspace else '', outcome)
        self.workspace_counts[label] = self.workspace_counts.get(label, 0) + 1

    def _record_failure(
        self, call: calls.Call, failure: selection.Failure
    ) -> None:
        table = self.state.owner_table(call.service)
        owned_range = table.find(call.key) if call.key is not None else None
        now = clock.now()
        self.request_seconds.add(
            {'route': call.route.name, 'outcome': 'failed'},
            now - call.arrived_at,
        )
        if failure.status == 429:
            logs.info(
                'quota_refused',
                request=call.request_id,
                workspace=call.workspace,
                route=call.route.name,
                reason=failure.reason,
                retry_after_s=round(failure.retry_after_s or 0.0, 3),
                waited_ms=round((now - call.arrived_at) * 1000, 1),
                configuration=self.state.configuration_version(),
            )
            return
        logs.info(
            'request_failed',
            request=call.request_id,
            workspace=call.workspace,
            route=call.route.name,
            service=call.service,
            key=call.key,
            status=failure.status,
            reason=failure.reason,
            sends=call.send_count,
            upstreams=sorted(call.possible_runs),
            waited_ms=round((now - call.arrived_at) * 1000, 1),
            queued_ms=round(call.queued_s * 1000, 1),
            retry_after_s=round(failure.retry_after_s or 0.0, 3),
            configuration=self.state.configuration_version(),
            owner_version=(
                '.'.join(map(str, table.version)) if owned_range else ''
            ),
            owner_age_s=(
                round(now - owned_range.learned_at, 3) if owned_range else None
            ),
        )

    def _record_response(
        self, call: calls.Call, response: exchange.Response
    ) -> None:
        waited_s = clock.now() - call.arrived_at
        self.request_seconds.add(
            {'route': call.route.name, 'outcome': 'answered'}, waited_s
        )
        logs.info(
            'request_answered',
            request=call.request_id,
            workspace=call.workspace,
            route=call.route.name,
            service=call.service,
            key=call.key,
            upstreams=sorted(call.possible_runs),
            status=response.status,
            waited_ms=round(waited_s * 1000, 1),
            configuration=self.state.configuration_version(),
        )


def _is_body_held_back(request: web.BaseRequest) -> bool:
    """Return whether the caller waits for an interim response (RFC 9110)."""
    expectation = request.headers.get('Expect', '').lower()
    if expectation != '100-continue' or request.version < http.HttpVersion11:
        return False
    return not request.content.is_eof() and not request.content.total_bytes


async def handle_readiness(
    state: state_module.State, request: web.BaseRequest
) -> web.Response:
    """Answer the load balancer's readiness check: 200 if ready, else 503."""
    return web.Response(status=200 if state.is_ready() else 503)
