"""Tests of the load generator and of publishing."""

from __future__ import annotations

import pathlib
import random
import tempfile
import unittest

from aiohttp import test_utils
from aiohttp import web

from knapweedhall_bench import deployment
from knapweedhall_bench import evidence
from knapweedhall_bench import load
from knapweedhall_bench import publishing
from knapweedhall_bench import results
from knapweedhall_bench import topology
from knapweedhall_bench import workload
from knapweedhall_events import catalogue
from knapweedhall_events import trace

MIX = workload.Mix('ledger', rate=100, length_s=0.3, answer_bytes=40)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Each kind of response must be judged for what it is."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'callers.trace'
        self.events = trace.TraceWriter('callers', self.path)
        self.addCleanup(self.events.close)
        self.call = next(workload.generate(MIX, random.Random(1)))
        self.handled = 0

    async def _judge(
        self,
        status: int = 200,
        body: bytes | None = None,
        cut: bool = False,
        **headers: str,
    ) -> results.Finished:
        expected = workload.expected_answer(self.call)

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            self.handled += 1
            if not cut:
                return web.Response(
                    status=status,
                    body=expected if body is None else body,
                    headers={
                        name.replace('_', '-'): value
                        for name, value in headers.items()
                    },
                )
            response = web.StreamResponse(
                headers={'Content-Length': str(len(expected))}
            )
            await response.prepare(request)
            await response.write(expected[:-1])
            assert request.transport is not None
            request.transport.close()
            return response

        async with test_utils.RawTestServer(answer) as server:
            return await self._send(f'127.0.0.1:{server.port}')

    async def _send(self, target: str | None) -> results.Finished:
        callers = load.LoadGenerator(lambda call: target, self.events)
        (finished,) = await callers.run([self.call._replace(at_s=0)])
        return finished

    async def test_own_complete_response(self) -> None:
        """Guards against a right response that counts as wrong."""
        found = await self._judge(Knapweedhall_Outcome='answered')
        self.assertEqual(results.ANSWERED, found.outcome)
        self.assertFalse(results.is_wrong(found))
        names = [
            catalogue.EVENTS[event.number].name
            for event in trace.read_trace(self.path)
        ]
        self.assertEqual(['call_sent', 'call_finished'], names)

    async def test_foreign_response(self) -> None:
        """Guards against another caller's response that passes."""
        self.assertTrue(results.is_wrong(await self._judge(body=b'other')))

    async def test_cut_response_is_broken_and_not_repeated(self) -> None:
        """Guards against a hidden repetition in the HTTP library."""
        found = await self._judge(cut=True)
        self.assertEqual((results.BROKEN, False), (found.outcome, found.whole))
        self.assertEqual(1, self.handled)

    async def test_refusals_and_unknown_outcomes(self) -> None:
        """Guards against outcomes that are mixed up."""
        for outcome, status in (('not-run', 503), ('unknown', 504)):
            found = await self._judge(status, Knapweedhall_Outcome=outcome)
            self.assertEqual(outcome, found.outcome)
        found = await self._judge(503, Knapweedhall_Not_Run='1')
        self.assertEqual(results.NOT_RUN, found.outcome)
        found = await self._judge(502)
        self.assertEqual(results.UNKNOWN, found.outcome)

    async def test_failed_call_is_watched_until_its_key_is_served(
        self,
    ) -> None:
        """Guards against an unserved time that sparse traffic prolongs."""
        outcomes = ['unknown', 'not-run', 'answered']

        async def answer(request: web.BaseRequest) -> web.Response:
            self.assertEqual(self.handled > 0, request.method == 'GET')
            self.handled += 1
            outcome = outcomes[min(self.handled, 3) - 1]
            return web.Response(headers={'Knapweedhall-Outcome': outcome})

        write = self.call._replace(at_s=0, method='POST')
        async with test_utils.RawTestServer(answer) as server:
            target = f'127.0.0.1:{server.port}'
            callers = load.LoadGenerator(
                lambda call: target, self.events, watch=True
            )
            found = await callers.run([write])
        self.assertEqual(outcomes, [call.outcome for call in found])
        self.assertEqual({write.key}, {call.key for call in found})
        self.assertEqual(3, len({call.request for call in found}))

    async def test_refused_connection_did_not_run(self) -> None:
        """Guards against a dead instance that counts as a lost request."""
        async with test_utils.RawTestServer(web.Response) as server:
            port = server.port
        found = await self._send(f'127.0.0.1:{port}')
        self.assertEqual(results.NOT_RUN, found.outcome)
        self.assertEqual(results.NOT_RUN, (await self._send(None)).outcome)


class StandInTest(unittest.IsolatedAsyncioTestCase):
    """The callers and the upstream compute the answer independently."""

    async def test_traffic_to_an_upstream_and_its_trace(self) -> None:
        """Guards against two readings of the answer's rule."""
        service = topology.ServiceSpec('ledger', 1, ('--queue', '1000'))
        size = topology.Topology((service,), 1, 0)
        async with deployment.Deployment(size) as running:
            draft = publishing.service_draft('ledger', 4, 130, slices=8)
            self.assertIn('0', await publishing.append(running, draft))
            address = running.upstreams['ledger-1'].address
            events = trace.TraceWriter(
                'callers', running.trace_path('callers')
            )
            callers = load.LoadGenerator(lambda call: address, events)
            calls = await callers.run(workload.generate(MIX, random.Random(1)))
            events.close()
            found = evidence.examine(
                evidence.read_traces(running.trace_paths()), calls
            )
        summary = results.summarize(calls, calls[-1].ended_s)
        self.assertEqual(summary.requests, summary.counts['answered'])
        self.assertEqual(0, summary.wrong)
        self.assertEqual(evidence.Evidence([], [], [], 0), found)

    def test_invalid_record_is_not_appended(self) -> None:
        """Guards against a demo that waits for a record that is skipped."""
        with self.assertRaises(publishing.PublishFailed):
            publishing.complete(
                publishing.service_draft('ledger', 4, 130, slices=3)
            )
