"""Tests of the platform stand-in over HTTP."""

from __future__ import annotations

import asyncio
import typing
import unittest

import aiohttp
from aiohttp import test_utils
from knapweedhall_events import trace

from knapweedhall_standins import platform

RECORDS = '/streams/knapweedhall/records'


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Faults must act as the platform protocol says."""

    async def asyncSetUp(self) -> None:
        self.now_s = 0.0
        self.platform = platform.Platform(
            60, 1, trace.TraceWriter('platform'), lambda: self.now_s
        )
        server = test_utils.TestServer(
            platform.create_app(self.platform), host='127.0.3.1'
        )
        self.client = test_utils.TestClient(server)
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def _append(self, body: str) -> int:
        answer = await self.client.post(RECORDS, data=body)
        self.assertEqual(201, answer.status)
        return int((await answer.json())['offset'])

    async def _read(self, start: int, wait_ms: int = 0) -> list[str]:
        query = {'from': str(start), 'wait_ms': str(wait_ms)}
        answer = await self.client.get(RECORDS, params=query)
        page = await answer.json()
        return [record['body'] for record in page['records']]

    async def _set_faults(self, **faults: typing.Any) -> None:
        answer = await self.client.put('/faults', json=faults)
        self.assertEqual(200, answer.status)

    async def test_long_poll_ends_at_an_append(self) -> None:
        """Guards against a reader that misses a record while it waits."""
        reader = asyncio.create_task(self._read(0, wait_ms=30000))
        await self._append('one')
        self.assertEqual(['one'], await reader)

    async def test_lost_answer_takes_effect(self) -> None:
        """Guards against a lost answer that also loses the record."""
        await self._set_faults(lose_answers=1)
        with self.assertRaises(aiohttp.ClientError):
            await self._append('one')
        self.assertEqual(1, await self._append('two'))
        self.assertEqual(['one', 'two'], await self._read(0))

    async def test_down_has_no_effect_and_ends_waits(self) -> None:
        """Guards against a log that answers while it is down."""
        reader = asyncio.create_task(self._read(0, wait_ms=30000))
        await self._set_faults(down=True)
        with self.assertRaises(aiohttp.ClientError):
            await reader
        with self.assertRaises(aiohttp.ClientError):
            await self._append('one')
        await self._set_faults()
        self.assertEqual([], await self._read(0))

    async def test_cut_domain_hangs_until_restored(self) -> None:
        """Guards against a partition that lets calls through."""
        await self._set_faults(cut_domains=[3])
        append = asyncio.create_task(self._append('one'))
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(append), 0.05)
        self.assertEqual(0, self.platform.get_stream('knapweedhall').end)
        await self._set_faults()
        self.assertEqual(0, await append)

    async def test_expired_offset_is_gone(self) -> None:
        """Guards against a gap that the reader does not notice."""
        await self._append('one')
        self.now_s = 61
        answer = await self.client.get(RECORDS, params={'from': '0'})
        self.assertEqual(410, answer.status)
        self.assertEqual({'first': 1}, await answer.json())

    async def test_oversized_record_is_refused(self) -> None:
        """Guards against a log that accepts more than 64 KB."""
        answer = await self.client.post(RECORDS, data='x' * 65537)
        self.assertEqual(413, answer.status)
        self.assertEqual([], await self._read(0))

    async def test_list_shows_registration_after_lag(self) -> None:
        """Guards against an unknown field or state in the list."""
        row = {'kind': 'entry', 'failure_domain': 'a', 'state': 'live'}
        await self.client.put('/instances/one', json=row)
        bad = await self.client.put('/instances/two', json={'kind': 'x'})
        self.assertEqual(400, bad.status)
        self.now_s = 2
        answer = await self.client.get('/instances')
        names = [each['name'] for each in (await answer.json())['instances']]
        self.assertEqual(['one'], names)
