"""Tests of the upstream stand-in over HTTP."""

from __future__ import annotations

import asyncio
import hashlib
import typing
import unittest

import aiohttp
from aiohttp import web
from knapweedhall_events import trace

from knapweedhall_standins import upstream

ARGUMENTS = (
    '--name u --service s --failure-domain a --listen 127.0.0.1:0 '
    '--slots 1 --queue 0 --work-ms 0 --connections 3 --connect-cost-ms 0'
).split()


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Callers judge the system by these answers and refusals."""

    async def asyncSetUp(self) -> None:
        options = upstream.parse_arguments(ARGUMENTS)
        events = trace.TraceWriter('u')
        self.upstream = upstream.create_upstream(options, events)
        runner = web.ServerRunner(self.upstream.server)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        self.url = 'http://{}:{}'.format(*runner.addresses[0][:2])
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def _post(
        self, path: str, **headers: str
    ) -> tuple[int, typing.Mapping[str, str], bytes]:
        async with self.session.post(
            self.url + path, data=b'body', headers=headers
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def _set_faults(self, **faults: typing.Any) -> None:
        url = f'{self.url}/knapweedhall/faults'
        async with self.session.put(url, json=faults) as answer:
            self.assertEqual(200, answer.status)

    async def test_answer_depends_on_the_whole_request(self) -> None:
        """Guards against an answer that another request could get."""
        headers = {
            'Knapweedhall-Key': 'k',
            'Knapweedhall-Request-Id': 'r',
            'Standin-Answer-Bytes': '7',
        }
        digest = hashlib.sha256(b'body').hexdigest()
        text = f'POST\n/x?y=1\nk\n{digest}\nr'
        expected = hashlib.shake_256(text.encode()).hexdigest(4)[:7]
        for path in ('/x?y=1', '/s/x?y=1'):
            status, found, body = await self._post(path, **headers)
            self.assertEqual((200, expected), (status, body.decode()))
            self.assertIn('Knapweedhall-Clock-Ms', found)
            self.assertIn('Knapweedhall-Incarnation', found)

    async def test_body_is_taken_as_it_was_sent(self) -> None:
        """Guards against a decoded body, or a caller left waiting."""
        digest = hashlib.sha256(b'not gzip').hexdigest()
        text = f'POST\n/x\n\n{digest}\n'
        expected = hashlib.shake_256(text.encode()).hexdigest(32)
        async with self.session.post(
            self.url + '/x',
            data=b'not gzip',
            headers={'Content-Encoding': 'gzip'},
            expect100=True,
        ) as answer:
            self.assertEqual(expected, await answer.text())

    async def test_refusals_say_not_run(self) -> None:
        """Guards against a refusal that the router cannot repeat safely."""
        headers = {'Knapweedhall-Deadline': '0'}
        status, found, _ = await self._post('/x', **headers)
        self.assertEqual(503, status)
        self.assertEqual('1', found['Knapweedhall-Not-Run'])
        self.assertEqual('past-deadline', found['Knapweedhall-Reason'])

    async def test_lost_and_truncated_answers_break_the_exchange(
        self,
    ) -> None:
        """Guards against a cut answer that looks complete."""
        for fault in ('lose_answers', 'truncate_answers'):
            await self._set_faults(**{fault: 1})
            with self.assertRaises(aiohttp.ClientError):
                await self._post('/x')
            self.assertEqual(200, (await self._post('/x'))[0])

    async def test_cold_start_is_told_unless_silent(self) -> None:
        """Guards against a sign of the cold start that gets lost."""
        for silent, expected in ((False, '1'), (True, None)):
            await self._set_faults(cold_ms=3600000, silent=silent)
            _, found, _ = await self._post('/x')
            self.assertEqual(expected, found.get('Knapweedhall-Upstream-Cold'))

    async def test_connections_above_the_limit_are_reset(self) -> None:
        """Guards against a connection limit that nothing enforces."""
        host, port = self.url.removeprefix('http://').split(':')
        for _ in range(3):
            _, writer = await asyncio.open_connection(host, int(port))
            self.addCleanup(writer.close)
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        with self.assertRaises(ConnectionError):
            await reader.readexactly(1)
        self.assertEqual(1, self.upstream.server.refused)

    async def test_closed_connection_frees_the_slot(self) -> None:
        """Guards against work that goes on for a caller that left."""
        headers = {'Standin-Work-Ms': '3600000'}
        call = asyncio.create_task(self._post('/x', **headers))
        while not self.upstream.core.running:
            await asyncio.sleep(0.001)
        call.cancel()
        while self.upstream.core.running:
            await asyncio.sleep(0.001)
        self.assertEqual(200, (await self._post('/x'))[0])

    async def test_unknown_fault_is_refused(self) -> None:
        """Guards against a misspelt fault that is silently not set."""
        url = f'{self.url}/knapweedhall/faults'
        async with self.session.put(url, json={'frezee_ms': 1}) as answer:
            self.assertEqual(400, answer.status)
