"""Exchanges one request and its response over a connection."""

from __future__ import annotations

import collections.abc
import dataclasses
import re
import typing

import aiohttp
from aiohttp import http
from aiohttp import streams
import multidict

from knapweedhall_adapter import names
from knapweedhall_router.serving import connections
from knapweedhall_router.serving import response_buffers

# Valid statuses (RFC 9110, 15); the parser lets all of three digits pass.
VALID_STATUSES = range(100, 600)
SWITCHING_PROTOCOLS_STATUS = 101
# Headers that apply to one connection only (RFC 9110, 7.6.1), and those that
# frame the body; framing is generated from the known length of the body.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    )
)
BODILESS_STATUSES = frozenset((204, 304))
# Characters that a field value must not contain (RFC 9110, 5.5). The parser of
# responses lets them pass; the server writes no head with them.
CONTROL_CHARACTER = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
# The server leaves out bytes that are not UTF-8, which the parser decodes to
# surrogates, and nothing would show that the value is another one.
UNSENDABLE_CHARACTER = re.compile(r'[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]')
# Digits of a number in a header that are converted: more than any sensible
# value has, and fewer than the 4300 above which Python refuses to.
MAX_DIGITS = 18
# Limit of responses read for one request, with the late ones to earlier
# requests, which are skipped.
MAX_RESPONSES_READ = 4

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response of the upstream.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : multidict.CIMultiDictProxy of str
        All headers, including hop-by-hop headers.
    body : bytes
        Whole body, as encoded by the upstream.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotExecuted:
    """The upstream reported that it did not run the request."""

    status: int
    headers: multidict.CIMultiDictProxy[str]


@dataclasses.dataclass(frozen=True)
class Broken:
    """The exchange ended without a valid and complete response.

    Attributes
    ----------
    reason : str
        Cause, for the log and for the caller.
    sent : bool
        Whether any byte was handed to a transport; if so, the request may
        have run.
    """

    reason: str
    sent: bool


Outcome = Response | NotExecuted | Broken


class Request(typing.NamedTuple):
    """A request to one upstream.

    Attributes
    ----------
    number : int
        Number of the call.
    method : str
        Method; a response to HEAD has no body.
    head : bytes
        Head, encoded.
    body : bytes or bytearray
        Body.
    request_id : str
        ID of the request; responses with another ID are skipped.
    """

    number: int
    method: str
    head: bytes
    body: bytes | bytearray
    request_id: str


class Observer(typing.NamedTuple):
    """What an exchange reports to while it receives.

    Attributes
    ----------
    buffers : response_buffers.ResponseBuffers
        Memory of the responses of the process.
    on_head : callable
        Called with status and headers of each final response, also of one
        that is skipped, incomplete or not valid.
    """

    buffers: response_buffers.ResponseBuffers
    on_head: collections.abc.Callable[
        [int, multidict.CIMultiDictProxy[str]], None
    ]


def invalid_headers(raw: multidict.CIMultiDictProxy[str]) -> list[str]:
    """Return the names of the headers that can't be forwarded."""
    if not CONTROL_CHARACTER.search('\t'.join(raw.values())):
        return []
    return [
        str(name)
        for name, value in raw.items()
        if CONTROL_CHARACTER.search(value)
    ]


def end_to_end_headers(raw: multidict.CIMultiDictProxy[str]) -> Headers:
    """Return the headers without those that apply to one connection only.

    Headers that are listed in `Connection` are left out, too, and those with
    a value that is not valid.
    """
    invalid = set(invalid_headers(raw))
    listed = _connection_options(raw)
    return [
        (name, value)
        for name, value in raw.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in listed
        and name not in invalid
    ]


def _connection_options(raw: multidict.CIMultiDictProxy[str]) -> set[str]:
    """Return the names in `Connection`, in lower case."""
    return {
        token.strip().lower()
        for value in raw.getall('Connection', ())
        for token in value.split(',')
    }


def encode_head(
    method: str, path: str, headers: Headers, body_length: int | None
) -> bytes:
    """Return the head of a request as bytes.

    Parameters
    ----------
    method, path : str
        Method, and path with query.
    headers : list of tuple of str and str
        Names and values, without `Content-Length`.
    body_length : int or None
        Length of the body in bytes; None for a request without a body.
    """
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body_length is not None:
        lines.append(f'Content-Length: {body_length}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('utf-8', 'surrogateescape')


async def run(
    connection: connections.Connection, request: Request, observer: Observer
) -> Outcome:
    """Send a request and return the outcome.

    The connection can be reused afterwards if its `should_close` is False. A
    response that is returned counts as unfinished in the buffers.

    Parameters
    ----------
    connection : connections.Connection
        An open connection without another exchange.
    request : Request
        The request.
    observer : Observer
        What is reported to.
    """
    connection.expect_response(request.method != 'HEAD', request.request_id)
    transport = connection.transport
    if transport is None or transport.is_closing():
        return Broken('connection-closed', False)
    connection.send(request.head, request.body)
    observer.buffers.begin(request.number, connection)
    try:
        outcome = await _read(connection, request, observer)
    except connections.ResponseLimitError as error:
        connection.reset()
        return Broken(str(error), True)
    except (aiohttp.ClientError, http.HttpProcessingError, OSError) as error:
        connection.reset()
        return Broken(type(error).__name__, True)
    except streams.EofStream:
        connection.reset()
        return Broken('connection-closed', True)
    except BaseException:
        # Neither a cancellation nor a fault may leave the upstream at work or
        # the connection open.
        connection.reset()
        raise
    finally:
        is_received = connection.end_sending()
    if isinstance(outcome, Broken) or not is_received:
        # If the upstream responded before it read the whole body, the rest
        # would precede the next request. Closing would wait until it is read.
        connection.reset()
    return outcome


async def _read(
    connection: connections.Connection, request: Request, observer: Observer
) -> Outcome:
    for _ in range(MAX_RESPONSES_READ):
        message, stream = await connection.read_response()
        if message.code not in VALID_STATUSES:
            return Broken('invalid-status', True)
        if message.code == SWITCHING_PROTOCOLS_STATUS:
            return Broken('upgrade', True)
        headers = message.headers
        observer.on_head(message.code, headers)
        if is_foreign(headers, request.request_id):
            # The response to the current request follows. If that one has no
            # body, the parser can't know whether this one has.
            if message.should_close or request.method == 'HEAD':
                return Broken('foreign-answer', True)
            while await stream.readany():
                pass
            continue
        if is_unidentified(headers, connection):
            return Broken('unidentified-answer', True)
        if message.should_close:
            connection.force_close()
        invalid = _check_head(message, request, observer.buffers)
        if invalid:
            return Broken(invalid, True)
        body = await _read_body(stream, request, observer)
        return _classify(connection, request, message, body)
    return Broken('foreign-answers', True)


def is_foreign(
    headers: multidict.CIMultiDictProxy[str], request_id: str
) -> bool:
    """Return whether it is a late second response to an earlier request."""
    return headers.get(names.REQUEST_ID_HEADER, request_id) != request_id


def is_unidentified(
    headers: multidict.CIMultiDictProxy[str],
    connection: connections.Connection,
) -> bool:
    """Return whether it may be a late response to an earlier request.

    A late refusal would state that a request has not run which runs now.
    """
    return names.REQUEST_ID_HEADER not in headers and not connection.is_new()


def _is_not_executed(
    status: int, headers: multidict.CIMultiDictProxy[str]
) -> bool:
    return (
        status == names.WRONG_UPSTREAM_STATUS
        or names.NOT_EXECUTED_HEADER in headers
    )


def _check_head(
    message: http.RawResponseMessage,
    request: Request,
    buffers: response_buffers.ResponseBuffers,
) -> str:
    """Return why a response can't be used, before its body is read; or ''."""
    headers = message.headers
    if any(name[-1:] in (' ', '\t') for name in headers):
        # RFC 9112, 5.1. The parser applies framing fields with such a name,
        # which are not found under their own.
        return 'invalid-field-name'
    options = _connection_options(headers)
    signed = all(
        name in headers
        and name.lower() not in options
        and not UNSENDABLE_CHARACTER.search(headers[name])
        for name in (names.SIGNATURE_HEADER, names.REQUEST_ID_HEADER)
    )
    if message.code < 300 and not signed:
        if not _is_not_executed(message.code, headers):
            return 'unsigned-answer'
    # No other coding was offered to the upstream (RFC 9112, 7.4). The body
    # would be forwarded encoded, without the header that says so.
    codings = [
        each.lower() for each in headers.getall('Transfer-Encoding', ())
    ]
    if codings and not (message.chunked and codings == ['chunked']):
        return 'transfer-coding'
    length = _parse_number(headers.get('Content-Length', ''))
    # A response to HEAD states the length of a body that it does not have.
    if request.method != 'HEAD' and length is not None:
        if length > buffers.budget.max_response_bytes:
            return 'response-too-large'
    return ''


async def _read_body(
    stream: streams.StreamReader,
    request: Request,
    observer: Observer,
) -> bytes:
    buffers = observer.buffers
    chunks = []
    while chunk := await stream.readany():
        buffers.add(request.number, len(chunk))
        chunks.append(chunk)
    return b''.join(chunks)


def _classify(
    connection: connections.Connection,
    request: Request,
    message: http.RawResponseMessage,
    body: bytes,
) -> Outcome:
    headers = message.headers
    _update_keep_alive(connection, headers)
    if _is_not_executed(message.code, headers):
        return NotExecuted(message.code, headers)
    is_delimited = 'Content-Length' in headers or message.chunked
    has_body = request.method != 'HEAD'
    has_body = has_body and message.code not in BODILESS_STATUSES
    if has_body and not is_delimited:
        # The body ends with the connection, whose end may have truncated it.
        if not connection.ended_cleanly:
            return Broken('truncated-body', True)
        connection.force_close()
    return Response(message.code, headers, body)


def _update_keep_alive(
    connection: connections.Connection,
    headers: multidict.CIMultiDictProxy[str],
) -> None:
    for parameter in headers.get('Keep-Alive', '').split(','):
        name, _, value = parameter.strip().partition('=')
        timeout_s = _parse_number(value)
        if name.lower() == 'timeout' and timeout_s is not None:
            connection.keep_alive_s = min(
                connections.MAX_IDLE_S,
                timeout_s * connections.KEEP_ALIVE_SHARE,
            )


def _parse_number(value: str) -> int | None:
    """Return a number in a header, cut to `MAX_DIGITS`; None if invalid.

    `str.isdigit` alone also accepts digits that `int` rejects.
    """
    if not value.isascii() or not value.isdigit():
        return None
    return int(value.lstrip('0')[:MAX_DIGITS] or '0')
