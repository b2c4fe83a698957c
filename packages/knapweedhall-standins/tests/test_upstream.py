"""Tests of the stand-in upstream."""

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
    """Grants, tokens and work as the platform's pages say."""

    async def asyncSetUp(self) -> None:
        """Start a store and a divided upstream."""
        self.store = store.Store()
        self.upstream = upstream.FakeUpstream(self.store, 's', True, 0.05)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.crash)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def order(self, path: str, **body: object) -> int:
        """Send an order; return its status."""
        url = f'http://{self.upstream.address}{path}'
        async with self.session.post(url, json=body) as answer:
            return answer.status

    async def grant(self, fence: int, hold_s: float = 5.0) -> int:
        """Grant the keys 0 to 99."""
        return await self.order(
            '/grant', fromRev=0, to=99, fence=fence, holdS=hold_s
        )

    async def work(self, key: int, left_ms: int = 1000) -> int:
        """Send a request; return its status."""
        headers = {
            'X-Attempt-Id': f'r{key}',
            'X-Shard-Key': str(key),
            'X-Deadline-Ms': str(left_ms),
        }
        url = f'http://{self.upstream.address}/x'
        async with self.session.get(url, headers=headers) as answer:
            return answer.status

    async def test_lower_token_is_refused(self) -> None:
        """Guards against a stand-in that hides late grants."""
        self.assertEqual(200, await self.grant(5))
        self.assertEqual(409, await self.grant(4))
        await self.order('/release', fromRev=0, to=99, fence=7)
        self.assertEqual(409, await self.grant(6))
        self.assertEqual(200, await self.grant(8))

    async def test_time_of_a_grant_counts_from_its_arrival(self) -> None:
        """Guards against holds that a paused stand-in makes too long.

        The platform's pages say so of a grant that is applied late; counted
        from the work on it, keys had two holders after a pause in the soak.
        """
        host, _, port = self.upstream.address.rpartition(':')
        body = json.dumps({'fromRev': 0, 'to': 99, 'fence': 1, 'holdS': 0.3})
        head = (
            f'POST /grant HTTP/1.1\r\nHost: {host}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        for paused_s, held in ((0.1, True), (0.4, False)):
            with socket.create_connection((host, int(port))) as wire:
                # Accepted before the pause, so that only the call waits.
                await asyncio.sleep(0.05)
                wire.sendall((head + body).encode())
                time.sleep(paused_s)
                await asyncio.sleep(0.05)
                self.assertEqual(held, self.upstream.holds(7))
            await asyncio.sleep(0.4)

    async def test_release_waits_for_work(self) -> None:
        """Guards against keys that are given on while work runs."""
        await self.grant(1)
        working = asyncio.create_task(self.work(7))
        await asyncio.sleep(0.02)
        await self.order('/release', fromRev=0, to=99, fence=2)
        self.assertFalse(self.upstream.active)
        # Work that outlasts its hold fails.
        self.assertEqual(500, await working)
        self.assertEqual(421, await self.work(7))

    async def test_work_ends_with_the_time_left(self) -> None:
        """Guards against an upstream that works for nobody."""
        await self.grant(1)
        self.assertEqual(504, await self.work(7, 20))
        self.assertEqual(200, await self.work(7))
