"""Answers to callers: passed on from a peer, or made here."""

from __future__ import annotations

import socket
import struct

import aiohttp
from aiohttp import web
import multidict

from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import exchange
from knapweedhall_traffic import headers
from knapweedhall_traffic import outcomes

_LINGER_NONE = struct.pack('ii', 1, 0)


class Relay:
    """Writes answers to callers.

    Attributes
    ----------
    instance : str
        Value of the `Knapweedhall-Instance` header.
    closing : bool
        Whether answers ask callers to close their connections.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.closing = False

    def refuse(self, failure: outcomes.Failure) -> web.Response:
        """Return the answer for a request without an upstream's answer."""
        response = web.Response(
            status=failure.status,
            text=f'{failure.outcome}: {failure.reason}\n',
            headers={
                'Knapweedhall-Outcome': failure.outcome,
                'Knapweedhall-Reason': failure.reason,
                'Knapweedhall-Instance': self.instance,
            },
        )
        if self.closing:
            response.force_close()
        return response

    async def relay(
        self, call: calls.Call, answer: exchange.Answer, owner: str
    ) -> tuple[web.StreamResponse, int]:
        """Pass an answer on to the caller.

        Returns
        -------
        tuple
            The response, which was written already, and the number of its
            body bytes.

        Raises
        ------
        exchange.BrokenExchange
            If the peer broke off; `call.started` tells whether the caller
            has seen a part.
        ConnectionError
            If the caller has gone.
        """
        passed = self._headers(answer, owner)
        body = answer.body
        status, reason = answer.message.code, answer.message.reason
        if body.is_eof():
            whole = await self._read(body)
            response = web.Response(
                status=status, reason=reason, body=whole, headers=passed
            )
            self._keep_length(call, answer, response)
            self._close_if_stopping(response)
            call.started = True
            await response.prepare(call.request)
            await response.write_eof()
            return response, len(whole)
        return await self._stream(call, answer, passed)

    def _headers(
        self, answer: exchange.Answer, owner: str
    ) -> multidict.CIMultiDict[str]:
        passed: multidict.CIMultiDict[str] = multidict.CIMultiDict()
        for name, value in headers.forwarded(
            answer.message.raw_headers, answer.found
        ):
            passed.add(
                name.decode('utf-8', 'surrogateescape'),
                value.decode('utf-8', 'surrogateescape'),
            )
        passed['Knapweedhall-Outcome'] = outcomes.ANSWERED
        passed['Knapweedhall-Owner'] = owner
        passed['Knapweedhall-Instance'] = self.instance
        return passed

    def _keep_length(
        self,
        call: calls.Call,
        answer: exchange.Answer,
        response: web.StreamResponse,
    ) -> None:
        # The length of an answer to HEAD is that of the absent body.
        length = answer.found.first.get(headers.CONTENT_LENGTH)
        if length is not None and call.request.method == 'HEAD':
            response.headers['Content-Length'] = length.decode('ascii')

    def _close_if_stopping(self, response: web.StreamResponse) -> None:
        if self.closing:
            response.force_close()

    async def _read(self, body: aiohttp.StreamReader) -> bytes:
        try:
            return await body.read(-1)
        except (aiohttp.ClientError, OSError) as error:
            raise exchange.BrokenExchange('connection-closed') from error

    async def _stream(
        self,
        call: calls.Call,
        answer: exchange.Answer,
        passed: multidict.CIMultiDict[str],
    ) -> tuple[web.StreamResponse, int]:
        response = web.StreamResponse(
            status=answer.message.code,
            reason=answer.message.reason,
            headers=passed,
        )
        length = answer.found.first.get(headers.CONTENT_LENGTH)
        if length is not None:
            response.content_length = int(length)
        self._close_if_stopping(response)
        body = answer.body
        size = 0
        while True:
            try:
                chunk = await body.readany()
            except (aiohttp.ClientError, OSError) as error:
                raise exchange.BrokenExchange('connection-closed') from error
            if not chunk:
                break
            if not call.started:
                # Set before the write, as a write may fail half way.
                call.started = True
                await response.prepare(call.request)
            size += len(chunk)
            await response.write(chunk)
        if not call.started:
            call.started = True
            await response.prepare(call.request)
        await response.write_eof()
        return response, size


def abort_caller(call: calls.Call) -> web.StreamResponse:
    """Cut the caller's connection so that a part is not taken for a whole.

    A reset instead of an end of stream also tells a caller whose answer is
    delimited by the end of the connection.
    """
    transport = call.request.transport
    if transport is not None:
        wire = transport.get_extra_info('socket')
        if wire is not None:
            wire.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        transport.abort()
    return web.Response()
