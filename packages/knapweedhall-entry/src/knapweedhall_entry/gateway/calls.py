"""Reads a request into the facts that the data path decides on."""

from __future__ import annotations

import itertools
import typing

from aiohttp import web

from knapweedhall_entry.gateway import interfaces
from knapweedhall_records import bodies
from knapweedhall_traffic import fairness
from knapweedhall_traffic import headers
from knapweedhall_traffic import outcomes

# A body up to this size is read before the request is sent: a slow caller
# then holds no slot, and the request can be sent again.
BUFFERED_BODY_BYTES = 65536
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Call:
    """One request of a caller on its way through this instance.

    Attributes
    ----------
    request : web.BaseRequest
        The request as received.
    raw : headers.HeaderList
        Headers that are passed on.
    name, service : str, bodies.Service
        The service and its record.
    key, request_id, customer : str
        Key ('' for none), id for traces, customer ('' for none).
    cost : float
        Cost of the request in units of the service's kind weights.
    target : str
        Path and query for the upstream.
    deadline : float
        End of the caller's patience, seconds of `time.monotonic`.
    hop : bool
        Whether another instance forwarded the request.
    idempotent : bool
        Whether it may run twice.
    body : bytes or None
        The whole body, or None if it is streamed.
    body_taken : bool
        Whether a part of a streamed body has been read.
    handed_over : bool
        Whether the present attempt gave a byte to a transport.
    started : bool
        Whether the head of the answer was written to the caller.
    may_have_run : outcomes.Failure or None
        An earlier attempt with an unknown outcome.
    attempts : int
        Attempts that have ended.
    permit_waits : int
        Waits for another instance's permit.
    waited : str
        What it waits for or has waited for; '' if it never waited.
    returned : bool
        Whether it had a slot in this attempt and was not sent.
    """

    __slots__ = (
        'request',
        'raw',
        'name',
        'service',
        'key',
        'request_id',
        'customer',
        'cost',
        'target',
        'deadline',
        'hop',
        'idempotent',
        'body',
        'body_taken',
        'handed_over',
        'started',
        'may_have_run',
        'attempts',
        'permit_waits',
        'waited',
        'returned',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        name: str,
        service: bodies.Service,
        target: str,
        hop: bool,
    ) -> None:
        self.request = request
        self.raw: headers.HeaderList = []
        self.name = name
        self.service = service
        self.key = ''
        self.request_id = ''
        self.customer = ''
        self.cost = 1.0
        self.target = target
        self.deadline = 0.0
        self.hop = hop
        self.idempotent = request.method in service.idempotent_methods
        self.body: bytes | None = None
        self.body_taken = False
        self.handed_over = False
        self.started = False
        self.may_have_run: outcomes.Failure | None = None
        self.attempts = 0
        self.permit_waits = 0
        self.waited = ''
        self.returned = False

    def replayable(self) -> bool:
        """Return whether the request can be sent again in full."""
        return self.body is not None or not self.body_taken


class Reader:
    """Checks requests and turns them into calls."""

    def __init__(
        self, control: interfaces.Control, options: interfaces.Options
    ) -> None:
        self.control = control
        self.options = options
        self.numbers = itertools.count(1)
        self.codings: dict[bytes, str] = {}

    def read(
        self, request: web.BaseRequest, now: float, hop: bool
    ) -> Call | headers.Malformed | outcomes.Failure:
        """Return the call, or why the request is refused."""
        raw = request.raw_headers
        found = headers.index(raw)
        malformed = headers.check_framing(raw, found) or check_method(request)
        if malformed:
            return malformed
        split = headers.split_path(request.raw_path)
        if isinstance(split, headers.Malformed):
            return split
        name, target = split
        service = self.control.service(name)
        if service is None:
            return outcomes.not_run('unknown-service', 404)
        call = Call(request, name, service, target, hop)
        return self._fill(call, raw, found.first, now) or call

    def _fill(
        self,
        call: Call,
        raw: headers.RawHeaders,
        first: dict[bytes, bytes],
        now: float,
    ) -> headers.Malformed | None:
        key = first.get(headers.KEY)
        if key is None:
            if call.service.mode == 'divided':
                return headers.Malformed('missing-key')
        elif not headers.is_key(key):
            return headers.Malformed('malformed-key')
        else:
            call.key = key.decode('ascii')
        timeout_ms = self._timeout_ms(call.service, first)
        if timeout_ms is None:
            return headers.Malformed('malformed-timeout')
        call.deadline = now + timeout_ms / 1000
        call.request_id = self._request_id(first)
        call.customer = _value(first, call.service.customer_header)
        if call.service.kind_header:
            kind = _value(first, call.service.kind_header)
            call.cost = fairness.cost_of(kind, call.service.kind_weights)
        call.raw = headers.forwarded(raw, headers.Index(first, frozenset()))
        return None

    def _timeout_ms(
        self, service: bodies.Service, first: dict[bytes, bytes]
    ) -> int | None:
        value = first.get(headers.TIMEOUT_MS)
        if value is None:
            return service.default_timeout_ms
        if not value.isdigit() or len(value) > 9:
            return None
        return min(int(value), self.options.max_timeout_ms)

    def _request_id(self, first: dict[bytes, bytes]) -> str:
        given = first.get(headers.REQUEST_ID)
        if given is not None and headers.is_request_id(given):
            return given.decode('ascii')
        return f'{self.options.instance}-{next(self.numbers)}'


def _value(first: typing.Mapping[bytes, bytes], name: str) -> str:
    if not name:
        return ''
    return first.get(name.lower().encode(), b'').decode('utf-8', 'replace')


def check_method(request: web.BaseRequest) -> headers.Malformed | None:
    """Return why a method or an upgrade is refused, or None."""
    if request.method == 'CONNECT':
        return headers.Malformed('method')
    # A declined upgrade leaves the parser unsure where a body ends.
    if 'Upgrade' in request.headers and request.can_read_body:
        return headers.Malformed('upgrade-with-body')
    return None


async def read_body(call: Call) -> None:
    """Read the body of a call if it is small; else it is streamed."""
    request = call.request
    if not request.can_read_body:
        call.body = b''
        return
    length = request.content_length
    send_continue(request)
    if length is None or length > BUFFERED_BODY_BYTES:
        return
    call.body = await request.content.read(-1)


def send_continue(request: web.BaseRequest) -> None:
    """Tell a caller that waits for it to send its body."""
    expected = request.headers.get('Expect', '')
    if expected.lower() == '100-continue' and request.transport is not None:
        request.transport.write(_CONTINUE)
