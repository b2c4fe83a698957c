"""HTTP interface of the upstream stand-in."""

from __future__ import annotations

import asyncio
import hashlib
import time
import typing

from aiohttp import web
from knapweedhall_records import ids
import msgspec

from knapweedhall_standins import answers
from knapweedhall_standins import connections
from knapweedhall_standins import engine
from knapweedhall_standins import grants
from knapweedhall_standins import process
from knapweedhall_standins import reports

PREFIX = '/knapweedhall/'
REPORT_PERIOD_S = 0.05
# The answer to a freeze command leaves before the process blocks.
FREEZE_DELAY_S = 0.02
REFUSAL_STATUS = {'no-grant': 409, 'stale-token': 409, 'draining': 409}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to start; fields left out change nothing.

    Attributes
    ----------
    freeze_ms : float
        The process does nothing at all for this time.
    straggle_factor, straggle_ms : float
        Service times are multiplied by the factor for a time.
    cold_ms : float
        A cold start of this length begins; 0 ends one.
    silent : bool
        Callers are not told of that cold start.
    report : dict
        Fields that replace those of health and load reports.
    lose_answers, truncate_answers : int
        How many of the next answers are left out or cut in the middle,
        after the work took effect.
    """

    freeze_ms: float = 0
    straggle_factor: float = 1
    straggle_ms: float | None = None
    cold_ms: float | None = None
    silent: bool = False
    report: dict[str, typing.Any] | None = None
    lose_answers: int | None = None
    truncate_answers: int | None = None


class Upstream:
    """State and HTTP handlers of one upstream.

    Parameters
    ----------
    core : engine.Engine
        Runs the work.
    connection_limit : int
        Open connections.
    connect_cost_s, probe_cost_s : float
        Processor time of a new connection and of a probe, in seconds.
    report_lag_s : float
        Age of health and load reports, in seconds.
    """

    def __init__(
        self,
        core: engine.Engine,
        connection_limit: int,
        connect_cost_s: float = 0.0,
        probe_cost_s: float = 0.0,
        report_lag_s: float = 0.0,
    ) -> None:
        self.core = core
        self.incarnation = time.time_ns() // 1000
        self.connect_cost_s = connect_cost_s
        self.probe_cost_s = probe_cost_s
        self.reports = reports.LaggedReports(report_lag_s)
        self.lose_answers = 0
        self.truncate_answers = 0
        self.server = connections.LimitedServer(
            self.handle, connection_limit, self._on_connection
        )
        self.calls: dict[tuple[str, str], connections.Handler] = {
            ('PUT', 'grants'): self.put_grants,
            ('POST', 'release'): self.release,
            ('GET', 'health'): self.health,
            ('GET', 'load'): self.load,
            ('GET', 'state'): self.state,
            ('PUT', 'faults'): self.put_faults,
        }

    def _on_connection(self) -> None:
        self.core.capacity.spend(self.connect_cost_s, self.core.clock())

    def _on_probe(self) -> None:
        self.core.capacity.spend(self.probe_cost_s, self.core.clock())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        if not request.path.startswith(PREFIX):
            return await self.work(request)
        name = request.path.removeprefix(PREFIX)
        call = self.calls.get((request.method, name))
        if call is None:
            return self._json({'reason': f'no call {name}'}, 404)
        try:
            return await call(request)
        except (msgspec.DecodeError, ValueError) as error:
            return self._json({'reason': str(error)}, 400)

    def _headers(self) -> dict[str, str]:
        headers = {
            'Knapweedhall-Clock-Ms': str(self.core.clock_ms()),
            'Knapweedhall-Incarnation': str(self.incarnation),
        }
        if self.core.capacity.shows_cold(self.core.clock()):
            headers['Knapweedhall-Upstream-Cold'] = '1'
        return headers

    def _json(self, value: typing.Any, status: int = 200) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(value),
            status=status,
            headers=self._headers(),
            content_type='application/json',
        )

    def _not_run(self, status: int, reason: str) -> web.Response:
        headers = {
            **self._headers(),
            'Knapweedhall-Not-Run': '1',
            'Knapweedhall-Reason': reason,
        }
        return web.Response(status=status, headers=headers)

    async def work(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one unit of work."""
        expects = request.headers.get('Expect', '').lower()
        if expects == '100-continue' and request.transport is not None:
            # The library does this only for its routed applications.
            request.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        digest = hashlib.sha256()
        async for chunk in request.content.iter_any():
            digest.update(chunk)
        try:
            task = _parse_task(request.headers)
            work = answers.Work(
                request.method,
                answers.strip_service(request.path_qs, self.core.service),
                task.key,
                digest.hexdigest(),
                task.request,
                _parse_size(request.headers),
            )
        except ValueError as error:
            return self._not_run(400, f'malformed: {error}')
        outcome = await self.core.run(task)
        if isinstance(outcome, engine.Refused):
            status = REFUSAL_STATUS.get(outcome.reason, 503)
            return self._not_run(status, outcome.reason)
        if isinstance(outcome, engine.Abandoned):
            return process.abort(request)
        return await self._answer(request, work)

    async def _answer(
        self, request: web.BaseRequest, work: answers.Work
    ) -> web.StreamResponse:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return process.abort(request)
        body = answers.answer_body(work)
        headers = {
            **self._headers(),
            'Standin-Upstream': self.core.name,
            'Content-Type': 'text/plain',
        }
        if self.truncate_answers > 0:
            self.truncate_answers -= 1
            headers['Content-Length'] = str(len(body))
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(body[: len(body) // 2])
            # An orderly end, unlike a reset, delivers the part written.
            if request.transport is not None:
                request.transport.close()
            return response
        return web.Response(body=body, headers=headers)

    async def put_grants(self, request: web.BaseRequest) -> web.Response:
        """Take a grant set."""
        self._on_probe()
        wanted = msgspec.json.decode(
            await request.read(), type=grants.GrantSet
        )
        self._check_service(grant['service'] for grant in wanted['grants'])
        # A new coordinator learns from it who owned what; the set of its
        # first grant is empty.
        held = self.core.table.describe(self.core.service)
        # The deadline of another run's clock may be far in the future.
        if wanted.get('incarnation', self.incarnation) == self.incarnation:
            applied = self.core.apply(wanted)
            if isinstance(applied, grants.StaleTerm):
                return self._json(applied._asdict(), 409)
        limits = self.core.capacity.limits
        return self._json(
            {
                'incarnation': self.incarnation,
                'clock_ms': self.core.clock_ms(),
                'cold': self.core.capacity.shows_cold(self.core.clock()),
                'slots': limits.slots,
                'connections': self.server.limit,
                'held': held,
            }
        )

    async def release(self, request: web.BaseRequest) -> web.Response:
        """Give up slices; answers when their work has ended."""
        wanted = msgspec.json.decode(
            await request.read(), type=grants.ReleaseRequest
        )
        self._check_service([wanted['service']])
        stale = await self.core.release(wanted)
        if stale is not None:
            return self._json(stale._asdict(), 409)
        return self._json({})

    def _check_service(self, named: typing.Iterable[str]) -> None:
        if set(named) - {self.core.service}:
            raise ValueError(f'this upstream serves {self.core.service}')

    def describe(self) -> reports.Report:
        """Return the present state."""
        bears = self.core.capacity
        return {
            'status': 'up',
            'cold': bears.shows_cold(self.core.clock()),
            'running': bears.running,
            'queued': bears.waiting,
            'slots': bears.limits.slots,
            'connections': len(self.server.open),
        }

    def _reported(self, *names: str) -> web.Response:
        shown = self.reports.read(self.core.clock())
        fields = {name: shown[name] for name in names if name in shown}
        return self._json(
            {
                **fields,
                'incarnation': self.incarnation,
                'clock_ms': self.core.clock_ms(),
            }
        )

    async def health(self, request: web.BaseRequest) -> web.Response:
        """Return the health report of some time ago."""
        self._on_probe()
        return self._reported('status', 'cold')

    async def load(self, request: web.BaseRequest) -> web.Response:
        """Return the load report of some time ago."""
        self._on_probe()
        return self._reported(
            'running', 'queued', 'slots', 'connections', 'cold'
        )

    async def state(self, request: web.BaseRequest) -> web.Response:
        """Return the present state and the counts of violations."""
        bears = self.core.capacity
        return self._json(
            {
                **self.describe(),
                'cold': bears.is_cold(self.core.clock()),
                'cold_violations': bears.cold_violations,
                'shed': bears.shed,
                'connection_violations': self.server.refused,
                'held': self.core.table.describe(self.core.service),
            }
        )

    async def put_faults(self, request: web.BaseRequest) -> web.Response:
        """Start faults."""
        raw = await request.read()
        faults = msgspec.json.decode(raw, type=Faults)
        bears, now_s = self.core.capacity, self.core.clock()
        self.core.events.emit(
            'fault_set', fault=f'{self.core.name} {raw.decode()}'
        )
        if faults.straggle_ms is not None:
            bears.straggle(
                faults.straggle_factor, faults.straggle_ms / 1000, now_s
            )
        if faults.cold_ms is not None:
            self.core.turn_cold(faults.cold_ms / 1000, faults.silent)
        if faults.report is not None:
            self.reports.misleading = faults.report
        if faults.lose_answers is not None:
            self.lose_answers = faults.lose_answers
        if faults.truncate_answers is not None:
            self.truncate_answers = faults.truncate_answers
        if faults.freeze_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(
                FREEZE_DELAY_S, time.sleep, faults.freeze_ms / 1000
            )
        return self._json({})

    async def sample_reports(self) -> None:
        """Sample the reports until cancelled."""
        while True:
            self.reports.sample(self.describe(), self.core.clock())
            await asyncio.sleep(REPORT_PERIOD_S)


def _parse_task(headers: typing.Mapping[str, str]) -> engine.Task:
    number = headers.get('Knapweedhall-Slice')
    token = headers.get('Knapweedhall-Token')
    deadline = headers.get('Knapweedhall-Deadline')
    work_ms = headers.get('Standin-Work-Ms')
    return engine.Task(
        headers.get('Knapweedhall-Request-Id', ''),
        headers.get('Knapweedhall-Key', ''),
        None if number is None else int(number),
        None if token is None else ids.Token.parse(token),
        None if deadline is None else int(deadline),
        None if work_ms is None else float(work_ms) / 1000,
    )


def _parse_size(headers: typing.Mapping[str, str]) -> int:
    size = int(headers.get('Standin-Answer-Bytes', answers.DEFAULT_BYTES))
    if not 0 <= size <= answers.MAX_BYTES:
        raise ValueError(f'Standin-Answer-Bytes above {answers.MAX_BYTES}')
    return size
