"""One request and its answer over one connection."""

from __future__ import annotations

import asyncio
import dataclasses

import aiohttp
from aiohttp import http
from aiohttp import streams
import multidict

from knapweedhall_adapter import names
from knapweedhall_router import connections

FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
# Headers that concern one connection only (RFC 9110, 7.6.1), and framing,
# which is set anew from the length that is known.
DROPPED = frozenset(
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
BODILESS_STATUS = frozenset((204, 304))
# Extra answers that are passed over on one connection.
MAX_EXTRA_ANSWERS = 4

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class Answered:
    """The upstream's whole answer.

    Attributes
    ----------
    status : int
        Status of the upstream.
    headers : multidict.CIMultiDictProxy of str
        All headers.
    body : bytes
        Whole body.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The upstream states that it did not run the request."""

    status: int
    headers: multidict.CIMultiDictProxy[str]


@dataclasses.dataclass(frozen=True)
class Broken:
    """No whole answer.

    Attributes
    ----------
    reason : str
        Word for the log.
    sent : bool
        Whether a byte was handed to a transport, so that it may have run.
    """

    reason: str
    sent: bool


Outcome = Answered | NotRun | Broken


def end_to_end(raw: multidict.CIMultiDictProxy[str]) -> Headers:
    """Return the headers that are passed on to the next hop."""
    named: set[str] = set()
    for value in raw.getall('Connection', ()):
        named |= {token.strip().lower() for token in value.split(',')}
    return [
        (name, value)
        for name, value in raw.items()
        if name.lower() not in DROPPED and name.lower() not in named
    ]


def encode_head(
    method: str, target: str, headers: Headers, body_length: int | None
) -> bytes:
    """Return the encoded head of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body_length is not None:
        lines.append(f'Content-Length: {body_length}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('utf-8', 'surrogateescape')


async def run(
    connection: connections.Connection,
    method: str,
    message: bytes,
    request_id: str,
) -> Outcome:
    """Send an encoded request and return its answer.

    The connection can be used again if its `should_close` is False.
    """
    connection.expect_answer(method != 'HEAD')
    transport = connection.transport
    if transport is None or transport.is_closing():
        return Broken('connection-closed', False)
    transport.write(message)
    try:
        outcome = await _read(connection, request_id)
    except (aiohttp.ClientError, http.HttpProcessingError, OSError) as error:
        connection.reset()
        return Broken(type(error).__name__, True)
    except streams.EofStream:
        connection.reset()
        return Broken('connection-closed', True)
    except asyncio.CancelledError:
        connection.reset()
        raise
    if isinstance(outcome, Broken):
        connection.reset()
    elif transport.get_write_buffer_size():
        # The upstream answered before it took the whole body; the rest of it
        # would be followed by the next request.
        connection.force_close()
    return outcome


async def _read(
    connection: connections.Connection, request_id: str
) -> Outcome:
    for _ in range(MAX_EXTRA_ANSWERS):
        message, stream = await connection.read()
        if message.code == SWITCHING_PROTOCOLS:
            return Broken('upgrade', True)
        if message.code < FIRST_FINAL_STATUS:
            continue
        body = await stream.read(-1)
        found = message.headers
        if found.get(names.REQUEST_ID_HEADER, request_id) != request_id:
            # A late second answer to an earlier request; ours follows.
            connection.expect_answer(True)
            continue
        if message.should_close:
            connection.force_close()
        return _judge(connection, message, found, body)
    return Broken('foreign-answers', True)


def _judge(
    connection: connections.Connection,
    message: http.RawResponseMessage,
    found: multidict.CIMultiDictProxy[str],
    body: bytes,
) -> Outcome:
    _note_keep_alive(connection, found)
    if (
        message.code == names.WRONG_UPSTREAM_STATUS
        or names.NOT_EXECUTED_HEADER in found
    ):
        return NotRun(message.code, found)
    framed = 'Content-Length' in found or message.chunked
    framed = framed or message.code in BODILESS_STATUS
    if not framed:
        if connection.was_reset:
            return Broken('reset-in-body', True)
        connection.force_close()
    signed = (
        names.SIGNATURE_HEADER in found and names.REQUEST_ID_HEADER in found
    )
    if message.code < 300 and not signed:
        return Broken('unsigned-answer', True)
    return Answered(message.code, found, body)


def _note_keep_alive(
    connection: connections.Connection,
    found: multidict.CIMultiDictProxy[str],
) -> None:
    for part in found.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdigit():
            connection.keep_alive_s = min(
                connections.IDLE_S, int(value) * connections.KEEP_ALIVE_SHARE
            )
