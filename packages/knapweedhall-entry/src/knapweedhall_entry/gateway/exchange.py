"""One request and its answer over one connection."""

from __future__ import annotations

import asyncio
import typing

import aiohttp
from aiohttp import http
from aiohttp import streams

from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import pool
from knapweedhall_traffic import headers

FIRST_FINAL_STATUS = 200


class BrokenExchange(Exception):
    """The exchange ended without a whole answer."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Answer(typing.NamedTuple):
    """Head of an answer, and its body as a stream."""

    message: http.RawResponseMessage
    found: headers.Index
    body: streams.StreamReader


def request_head(
    method: str, target: str, raw: headers.HeaderList, call: calls.Call
) -> bytes:
    """Return the encoded head of a request with its framing header."""
    parts = [
        f'{method} {target} HTTP/1.1\r\n'.encode('utf-8', 'surrogateescape')
    ]
    for name, value in raw:
        parts += (name, b': ', value, b'\r\n')
    parts.append(_framing(call))
    return b''.join(parts)


def _framing(call: calls.Call) -> bytes:
    if call.body:
        return b'Content-Length: %d\r\n\r\n' % len(call.body)
    request = call.request
    length = request.content_length
    if call.body is not None:
        # An empty body whose length the caller stated keeps its header, as
        # some servers demand one for POST.
        return b'\r\n' if length is None else b'Content-Length: 0\r\n\r\n'
    if length is not None:
        return b'Content-Length: %d\r\n\r\n' % length
    return b'Transfer-Encoding: chunked\r\n\r\n'


async def upload(connection: pool.Connection, call: calls.Call) -> None:
    """Stream the caller's body to the connection with bounded memory.

    If the caller's body is cut or malformed the connection is aborted, so
    that the peer can't take a part for the whole.
    """
    request = call.request
    writer = http.StreamWriter(connection, asyncio.get_running_loop())
    length = request.content_length
    if length is None:
        writer.enable_chunking()
    try:
        while chunk := await request.content.readany():
            await writer.write(chunk)
        await writer.write_eof()
    except aiohttp.ClientConnectionError:
        # The peer closed; its answer, if any, is read by the exchange.
        return
    except BaseException:
        connection.abort()
        raise


async def read_head(connection: pool.Connection, method: str) -> Answer:
    """Wait for the head of the final answer.

    Raises
    ------
    BrokenExchange
        If the peer closed, or its answer is malformed or has no recognizable
        end.
    """
    while True:
        try:
            message, body = await connection.read()
        except (aiohttp.ClientError, http.HttpProcessingError, OSError) as e:
            raise BrokenExchange(_reason(e)) from e
        except streams.EofStream as error:
            raise BrokenExchange('connection-closed') from error
        if message.code >= FIRST_FINAL_STATUS:
            break
        if message.code == 101:
            raise BrokenExchange('unexpected-upgrade')
    found = headers.index(message.raw_headers)
    malformed = headers.check_framing(message.raw_headers, found)
    if malformed is not None:
        raise BrokenExchange(f'answer-{malformed.reason}')
    if not headers.has_known_end(method, message.code, found):
        raise BrokenExchange('answer-without-length')
    return Answer(message, found, body)


def _reason(error: Exception) -> str:
    if isinstance(error, aiohttp.ClientConnectionError | OSError):
        return 'connection-closed'
    return 'malformed-answer'


async def discard_body(body: streams.StreamReader) -> None:
    """Read the short body of an answer that is not passed on."""
    try:
        while await body.readany():
            pass
    except (aiohttp.ClientError, OSError) as error:
        raise BrokenExchange(_reason(error)) from error


def start_upload(
    connection: pool.Connection, call: calls.Call
) -> asyncio.Task[None] | None:
    """Start the upload of a streamed body; None if the body was sent."""
    if call.body is not None:
        return None
    call.body_taken = True
    return asyncio.create_task(upload(connection, call))


def finish_upload(upload: asyncio.Task[None] | None) -> bool:
    """Return whether the whole body was sent; stop the upload if not."""
    if upload is None:
        return True
    if not upload.done():
        upload.cancel()
        return False
    if upload.cancelled() or upload.exception() is not None:
        return False
    return True
