"""Tests of the fake upstream."""

from __future__ import annotations

import asyncio
import json
import socket
import time
import unittest

import aiohttp

from knapweedhall_standins import store
from knapweedhall_standins import upstream


class FakeUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Grants, fencing tokens and requests, by the rules of the platform."""

    async def asyncSetUp(self) -> None:
        """Start a store and an upstream that serves only keys it holds."""
        self.store = store.Store()
        self.upstream = upstream.FakeUpstream(self.store, 's', True, 0.05)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.crash)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def send_order(self, path: str, **body: object) -> int:
        """Send a grant or a release; return the status of its response."""
        url = f'http://{self.upstream.address}{path}'
        async with self.session.post(url, json=body) as response:
            return response.status

    async def grant(self, fence: int, hold_s: float = 5.0) -> int:
        """Grant the keys 0 to 99."""
        return await self.send_order(
            '/grant', fromRev=0, to=99, fence=fence, holdS=hold_s
        )

    async def send_request(self, key: int, time_left_ms: int = 1000) -> int:
        """Send a request for a key; return the status of its response."""
        headers = {
            'X-Attempt-Id': f'r{key}',
            'X-Shard-Key': str(key),
            'X-Deadline-Ms': str(time_left_ms),
        }
        url = f'http://{self.upstream.address}/x'
        async with self.session.get(url, headers=headers) as response:
            return response.status

    async def test_lower_token_is_rejected(self) -> None:
        """Guards against a fake that accepts grants with outdated tokens.

        It would hide a router whose grants arrive too late.
        """
        self.assertEqual(200, await self.grant(5))
        self.assertEqual(409, await self.grant(4))
        await self.send_order('/release', fromRev=0, to=99, fence=7)
        self.assertEqual(409, await self.grant(6))
        self.assertEqual(200, await self.grant(8))

    async def test_grant_duration_counts_from_its_arrival(self) -> None:
        """Guards against a paused process that holds keys for too long.

        The platform counts the duration of a grant from its arrival, also if
        it is applied later. Counted from its processing, keys had two holders
        after a pause of the process in the soak.
        """
        host, _, port = self.upstream.address.rpartition(':')
        body = json.dumps({'fromRev': 0, 'to': 99, 'fence': 1, 'holdS': 0.3})
        head = (
            f'POST /grant HTTP/1.1\r\nHost: {host}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        for paused_s, held in ((0.1, True), (0.4, False)):
            with socket.create_connection((host, int(port))) as sock:
                # The connection is accepted first; only the grant is delayed.
                await asyncio.sleep(0.05)
                sock.sendall((head + body).encode())
                time.sleep(paused_s)
                await asyncio.sleep(0.05)
                self.assertEqual(held, self.upstream.holds(7))
            await asyncio.sleep(0.4)

    async def test_release_waits_for_running_requests(self) -> None:
        """Guards against keys reassigned while a request for them runs."""
        await self.grant(1)
        request = asyncio.create_task(self.send_request(7))
        await asyncio.sleep(0.02)
        await self.send_order('/release', fromRev=0, to=99, fence=2)
        self.assertFalse(self.upstream.running_keys)
        # A request fails if the grant of its key ends first.
        self.assertEqual(500, await request)
        self.assertEqual(421, await self.send_request(7))

    async def test_request_ends_at_its_deadline(self) -> None:
        """Guards against work on a request after its deadline."""
        await self.grant(1)
        self.assertEqual(504, await self.send_request(7, 20))
        self.assertEqual(200, await self.send_request(7))


class ResponseTest(unittest.IsolatedAsyncioTestCase):
    """Responses that tests ask for, and those that something is wrong with."""

    async def asyncSetUp(self) -> None:
        """Start an upstream without keys."""
        self.upstream = upstream.FakeUpstream(store.Store(), 's', False)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.crash)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def request(self, path: str, body: bytes = b'') -> tuple[int, bytes]:
        """Send a request; return the status and the body of the response."""
        url = f'http://{self.upstream.address}{path}'
        headers = {'X-Attempt-Id': 'r'}
        async with self.session.post(
            url, headers=headers, data=body
        ) as response:
            return response.status, await response.read()

    async def trouble(self, **trouble: object) -> None:
        """Set what is wrong with the responses."""
        url = f'http://{self.upstream.address}{upstream.TROUBLE_PATH}'
        async with self.session.put(url, json=trouble) as response:
            self.assertEqual(200, response.status)

    async def test_work_and_length_of_the_query(self) -> None:
        """Guards against a soak without long requests or long responses."""
        began_at = time.monotonic()
        path = '/x?work_s=0.2&bytes=1000'
        status, body = await self.request(path, b'12')
        self.assertEqual(200, status)
        self.assertEqual(upstream.expected_body('POST', path, 2), body)
        self.assertGreater(len(body), 1000)
        self.assertGreaterEqual(time.monotonic() - began_at, 0.2)

    async def test_answer_before_the_body(self) -> None:
        """Guards against a fake that reads a body before its early answer."""
        await self.trouble(early_status=500)
        host, _, port = self.upstream.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            b'POST /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: r\r\n'
            b'Content-Length: 3\r\n\r\na'
        )
        async with asyncio.timeout(1.0):
            self.assertIn(b' 500 ', await reader.readline())
        # The connection is kept, and the rest of the body is read.
        await self.trouble()
        writer.write(
            b'bcGET /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: s\r\n\r\n'
        )
        async with asyncio.timeout(1.0):
            await reader.readuntil(b'GET /x 0')

    async def test_cut_response(self) -> None:
        """Guards against a cut response that looks whole."""
        for unframed in (False, True):
            with self.subTest(unframed=unframed):
                await self.trouble(cuts=True, unframed=unframed)
                host, _, port = self.upstream.address.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                self.addCleanup(writer.close)
                writer.write(
                    b'GET /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: s\r\n\r\n'
                )
                # An end without a reset would be that of a whole response.
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
        await self.trouble(unframed=True)
        self.assertEqual((200, b'POST /x 0'), await self.request('/x'))

    async def test_forgotten_connection(self) -> None:
        """Guards against a fake that keeps idle connections."""
        host, _, port = self.upstream.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(b'GET /x HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: s\r\n\r\n')
        await reader.readuntil(b'GET /x 0')
        await self.trouble(forgets_idle=True)
        async with asyncio.timeout(1.0):
            self.assertEqual(b'', await reader.read())
