"""Tests that requests run as often as allowed, over one and two hops."""

from __future__ import annotations

import asyncio

from knapweedhall_entry.gateway import interfaces
from knapweedhall_traffic import outcomes
from tests.gateway import fakes


class RepeatTest(fakes.GatewayCase):
    async def two_hops(self, script: fakes.Script) -> fakes.RawUpstream:
        """Start an upstream, its instance and one that forwards to it."""
        upstream = await self.serve(script)
        near = fakes.Control()
        near.own('u1', upstream.address)
        await self.start_gateway(near)
        peer = interfaces.Peer('e2', self.forward)
        far = fakes.Control()
        far.found = interfaces.Forward((peer,))
        await self.start_gateway(far)
        return upstream

    async def test_stale_connection_over_two_hops(self) -> None:
        """Guards against aiohttp's own repeats on stale connections.

        The upstream reads the second request on the reused connection and
        closes it without an answer. A client session would send the GET
        again without telling; here the arrivals are those that the retry
        rule allows: one for POST, three attempts for GET.
        """
        for method, arrivals, attempts in (('POST', 1, 1), ('GET', 3, 3)):
            with self.subTest(method):
                upstream = await self.two_hops(
                    fakes.answering(fakes.whole(b'ok'), b'')
                )
                first = await self.call(fakes.encode(method, '/fixed/first'))
                self.assertEqual(200, first.status)
                answer = await self.call(fakes.encode(method))
                self.assertEqual(
                    (502, 'unknown', 'connection-closed'), answer.outcome()
                )
                self.assertEqual(arrivals, len(upstream.arrivals) - 1)
                forwarded = self.events.names().count('request_forwarded')
                self.assertEqual(attempts + 1, forwarded)

    async def test_idle_connection_closed_by_peer(self) -> None:
        """Guards against `unknown` for a connection known to be closed."""
        upstream = await self.two_hops(
            fakes.answering(fakes.whole(b'ok'), keep=False)
        )
        for _ in range(3):
            answer = await self.call(fakes.encode('POST'))
            self.assertEqual(200, answer.status)
            for writer in upstream.writers:
                await writer.wait_closed()
        self.assertEqual(3, len(upstream.arrivals))

    async def test_headers_of_a_forwarded_request(self) -> None:
        """Guards against lost outcomes and deadlines on the second hop."""
        upstream = await self.two_hops(
            fakes.answering(fakes.whole(b'', status='404 Not Found'))
        )
        answer = await self.call(
            fakes.encode(
                'POST',
                fields=(
                    'Knapweedhall-Request-Id: r-9',
                    'Knapweedhall-Timeout-Ms: 3000',
                ),
            )
        )
        self.assertEqual((404, 'answered', None), answer.outcome())
        self.assertEqual('u1', answer.headers['knapweedhall-owner'])
        arrived = upstream.arrivals[0].headers
        self.assertEqual('r-9', arrived['knapweedhall-request-id'])
        self.assertEqual('k', arrived['knapweedhall-key'])
        self.assertLessEqual(int(arrived['knapweedhall-deadline']), 3500)

    async def test_never_forwarded_twice(self) -> None:
        """Guards against requests that circle between instances."""
        control = fakes.Control()
        await self.start_gateway(control)
        peer = interfaces.Peer('e1', self.forward)
        control.found = interfaces.Forward((peer,))
        answer = await self.call(fakes.encode('POST'))
        self.assertEqual((503, 'not-run', 'no-permit'), answer.outcome())
        # Attempts of the first instance, none of the second.
        forwarded = self.events.names().count('request_forwarded')
        waits = len(outcomes.PERMIT_DELAYS_S)
        self.assertEqual(outcomes.MAX_ATTEMPTS + waits, forwarded)

    async def test_forward_without_permit_is_repeated_later(self) -> None:
        """Guards against refusals while a coordinator is replaced."""
        control = fakes.Control()
        await self.start_gateway(control)
        peer = interfaces.Peer('e1', self.forward)
        control.found = interfaces.Forward((peer,))
        waiting = asyncio.create_task(self.call(fakes.encode('POST')))
        while 'request_forwarded' not in self.events.names():
            await asyncio.sleep(0)
        upstream = await self.start_upstream(fakes.answering(fakes.whole(b'')))
        control.own('u1', upstream.address)
        control.listener()
        self.assertEqual(200, (await waiting).status)
        self.assertEqual(1, len(upstream.arrivals))

    async def test_unreachable_instance_is_not_run(self) -> None:
        """Guards against `unknown` for a request that was never sent."""
        control = fakes.Control()
        upstream = await self.start_upstream(None)
        await upstream.stop()
        peer = interfaces.Peer('e2', upstream.address)
        control.found = interfaces.Forward((peer,))
        await self.start_gateway(control)
        answer = await self.call(fakes.encode('POST'))
        self.assertEqual(
            (503, 'not-run', 'instance-unreachable'), answer.outcome()
        )

    async def test_not_run_is_repeated(self) -> None:
        """Guards against giving up on work that surely did not run."""
        upstream = await self.two_hops(
            fakes.answering(fakes.not_run('shed'), fakes.whole(b'done'))
        )
        answer = await self.call(fakes.encode('POST', body=b'same'))
        self.assertEqual(b'done', answer.body)
        self.assertEqual(
            [b'same', b'same'], [one.body for one in upstream.arrivals]
        )

    async def test_stale_token_waits_for_a_new_table(self) -> None:
        """Guards against repeating at once what only a new table changes."""
        upstream = await self.serve(
            fakes.answering(fakes.not_run('stale-token'), fakes.whole(b''))
        )
        waiting = asyncio.create_task(self.call(fakes.encode('POST')))
        while not self.gateway.router.changes.waiting:
            await asyncio.sleep(0)
        self.assertEqual(1, len(upstream.arrivals))
        token = fakes.TOKEN._replace(sequence=2)
        self.control.found = self.control.found._replace(token=token)
        self.control.listener()
        self.assertEqual(200, (await waiting).status)
        arrived = upstream.arrivals[-1].headers
        self.assertEqual('7.2', arrived['knapweedhall-token'])

    async def test_refusal_does_not_hide_an_earlier_attempt(self) -> None:
        """Guards against `not-run` after an attempt that may have run."""
        upstream = await self.serve(
            fakes.answering(b'', fakes.not_run('past-deadline'))
        )
        answer = await self.call(fakes.encode('GET'))
        self.assertEqual('unknown', answer.outcome()[1])
        self.assertEqual(3, len(upstream.arrivals))

    async def test_retry_budget_bounds_a_storm(self) -> None:
        """Guards against retries that multiply the load of a failure."""
        upstream = await self.serve(fakes.answering(b''), retry_burst=5)
        for _ in range(50):
            answer = await self.call(fakes.encode('GET'))
            self.assertEqual('unknown', answer.outcome()[1])
        # 50 requests, 5 saved retries and 10% of 50.
        self.assertLessEqual(len(upstream.arrivals), 60)
