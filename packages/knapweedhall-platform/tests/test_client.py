"""Tests of the platform clients against small aiohttp servers."""

from __future__ import annotations

import asyncio
import typing
import unittest

from aiohttp import test_utils
from aiohttp import web

from knapweedhall_platform import client
from knapweedhall_platform import outcomes

Handler = typing.Callable[[web.Request], typing.Awaitable[web.StreamResponse]]
FAR_S = 30.0


def _answer(status: int, text: str) -> Handler:
    async def handle(_: web.Request) -> web.Response:
        return web.Response(status=status, text=text)

    return handle


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Outcomes of appends and reads."""

    async def serve(self, handler: Handler) -> str:
        app = web.Application()
        app.router.add_route('*', '/{tail:.*}', handler)
        server = test_utils.TestServer(app, host='127.0.0.1')
        await server.start_server()
        self.addAsyncCleanup(server.close)
        self.session = client.open_session('127.0.0.1')
        self.addAsyncCleanup(self.session.close)
        return f'127.0.0.1:{server.port}'

    async def append(self, handler: Handler) -> outcomes.AppendOutcome:
        address = await self.serve(handler)
        log = client.LogClient(self.session, address, 's')
        deadline = asyncio.get_running_loop().time() + FAR_S
        return await log.append(b'{}', deadline)

    async def read(self, handler: Handler) -> outcomes.ReadOutcome:
        address = await self.serve(handler)
        log = client.LogClient(self.session, address, 's')
        deadline = asyncio.get_running_loop().time() + FAR_S
        return await log.read(3, deadline)

    async def test_append_returns_offset(self) -> None:
        outcome = await self.append(_answer(201, '{"offset": 7}'))
        self.assertEqual(outcomes.Appended(7), outcome)

    async def test_lost_answer_is_unknown_and_not_repeated(self) -> None:
        """Guards against reporting an append as failed that took effect."""
        appends = []

        async def handle(request: web.Request) -> web.Response:
            appends.append(await request.read())
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        outcome = await self.append(handle)
        self.assertIsInstance(outcome, outcomes.AppendUnknown)
        self.assertEqual([b'{}'], appends)

    async def test_server_error_is_unknown(self) -> None:
        """Guards against taking a 503 after the append for a refusal."""
        outcome = await self.append(_answer(503, ''))
        self.assertIsInstance(outcome, outcomes.AppendUnknown)

    async def test_read_page(self) -> None:
        text = (
            '{"first": 1, "next": 4, "records": '
            '[{"offset": 3, "appended_ms": 5, "body": "x"}]}'
        )
        outcome = await self.read(_answer(200, text))
        record = outcomes.StoredRecord(3, 5, 'x')
        self.assertEqual(outcomes.LogPage(1, 4, (record,)), outcome)

    async def test_read_expired(self) -> None:
        outcome = await self.read(_answer(410, '{"first": 9}'))
        self.assertEqual(outcomes.Expired(9), outcome)

    async def test_malformed_page_is_unreachable(self) -> None:
        """Guards against an exception that ends the log follower."""
        for text in ('', '[]', '{"first": 1, "next": 2, "records": [{}]}'):
            with self.subTest(text=text):
                outcome = await self.read(_answer(200, text))
                self.assertIsInstance(outcome, outcomes.Unreachable)

    async def test_list_rows(self) -> None:
        text = (
            '{"instances": [{"name": "u", "kind": "upstream", "service": "s",'
            ' "failure_domain": "a", "address": "127.0.1.1:1",'
            ' "state": "live"}]}'
        )
        address = await self.serve(_answer(200, text))
        listing = client.ListClient(self.session, address)
        deadline = asyncio.get_running_loop().time() + FAR_S
        self.assertEqual(
            (
                outcomes.ListedInstance(
                    'u', 'upstream', 'a', 'live', 's', '127.0.1.1:1'
                ),
            ),
            await listing.read(deadline),
        )

    async def test_unreachable(self) -> None:
        await self.serve(_answer(200, ''))
        listing = client.ListClient(self.session, '127.0.0.1:1')
        deadline = asyncio.get_running_loop().time() + FAR_S
        outcome = await listing.read(deadline)
        self.assertIsInstance(outcome, outcomes.Unreachable)


if __name__ == '__main__':
    unittest.main()
