"""Bytes that an upstream in trouble sends without end."""

from __future__ import annotations

import asyncio
import enum

# Bytes that are written at once, and that may wait to be sent.
BLOCK_BYTES = 65536
MAX_UNSENT_BYTES = 262144


class Kind(enum.Enum):
    """What goes on until the receiver closes the connection."""

    FIELD = 'field'
    FIELDS = 'fields'
    INTERIM = 'interim'
    RESPONSES = 'responses'
    EXTENSION = 'extension'
    TRAILERS = 'trailers'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    UNTIL_CLOSE = 'until-close'
    NO_HTTP = 'no-http'
    SURPLUS = 'surplus'
    EMPTY_LINES = 'empty-lines'
    TINY_CHUNKS = 'tiny-chunks'
    LATE = 'late'


def prefix(kind: Kind, request_id: str, response: bytes) -> bytes:
    """Return what precedes the repeated bytes.

    Parameters
    ----------
    kind : Kind
        What goes on without end.
    request_id : str
        ID of the request.
    response : bytes
        The proper response to it.
    """
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Attempt-Id: {request_id}\r\n'
        'X-Response-Signature: s\r\n'
    ).encode()
    if kind is Kind.FIELD:
        return head + b'X-Field: '
    if kind is Kind.FIELDS:
        return head
    if kind is Kind.LENGTH:
        return head + b'Content-Length: 1000000000000\r\n\r\n'
    if kind is Kind.UNTIL_CLOSE:
        return head + b'\r\n'
    if kind is Kind.SURPLUS:
        return response
    if kind is Kind.LATE:
        head = head.replace(request_id.encode(), b'earlier')
        return head + b'Transfer-Encoding: chunked\r\n\r\n'
    chunked = (Kind.CHUNKS, Kind.TINY_CHUNKS, Kind.EXTENSION, Kind.TRAILERS)
    if kind in chunked:
        begin = {
            Kind.CHUNKS: b'',
            Kind.TINY_CHUNKS: b'',
            Kind.EXTENSION: b'5;x=',
            Kind.TRAILERS: b'5\r\nhello\r\n0\r\n',
        }
        return head + b'Transfer-Encoding: chunked\r\n\r\n' + begin[kind]
    return b''


def block(kind: Kind) -> bytes:
    """Return a block of the repeated bytes."""
    unit = {
        Kind.FIELDS: b'X-Field: 1\r\n',
        Kind.TRAILERS: b'X-Field: 1\r\n',
        Kind.INTERIM: b'HTTP/1.1 100 Continue\r\n\r\n',
        Kind.RESPONSES: b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        Kind.SURPLUS: b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        Kind.CHUNKS: b'5\r\nhello\r\n',
        Kind.EMPTY_LINES: b'\r\n',
        Kind.TINY_CHUNKS: b'1\r\nx\r\n',
        # The chunk ends like a head.
        Kind.LATE: b'2\r\n\r\n\r\n',
        Kind.NO_HTTP: b'\x00\xff\x16\x03',
    }.get(kind, b'x')
    return unit * (BLOCK_BYTES // len(unit))


async def send(
    transport: asyncio.Transport,
    kind: Kind,
    request_id: str,
    response: bytes,
) -> int:
    """Send until the receiver closes; return the number of bytes written."""
    begin, repeated = prefix(kind, request_id, response), block(kind)
    transport.write(begin)
    written = len(begin)
    while not transport.is_closing():
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            await asyncio.sleep(0.001)
            continue
        transport.write(repeated)
        written += len(repeated)
        await asyncio.sleep(0)
    return written
