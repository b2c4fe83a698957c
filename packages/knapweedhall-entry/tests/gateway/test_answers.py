"""Tests that callers get complete answers or none."""

from __future__ import annotations


from tests.gateway import fakes


class CompleteAnswerTest(fakes.GatewayCase):
    async def test_passes_answer_on(self) -> None:
        """Guards against lost bodies, leaked headers, missing outcomes."""

        async def script(arrival, reader, writer):
            writer.write(fakes.whole(b'whole', 'X-Own: 1', 'Keep-Alive: 9'))
            return True

        upstream = await self.start_upstream(script)
        control = fakes.Control()
        control.own('u1', upstream.address)
        await self.start_gateway(control)
        answer = await self.call(
            fakes.encode(
                'POST',
                '/ofrendas/a/b?c=d',
                b'give',
                fields=(
                    'Knapweedhall-Token: 99.99',
                    'Connection: keep-alive, X-Hop',
                    'X-Hop: 1',
                    'X-End: 2',
                ),
            )
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(b'whole', answer.body)
        self.assertEqual('answered', answer.headers['knapweedhall-outcome'])
        self.assertEqual('u1', answer.headers['knapweedhall-owner'])
        self.assertNotIn('keep-alive', answer.headers)
        arrival = upstream.arrivals[0]
        self.assertEqual('POST /a/b?c=d HTTP/1.1', arrival.line)
        self.assertEqual(b'give', arrival.body)
        self.assertEqual('7.1', arrival.headers['knapweedhall-token'])
        self.assertEqual('3', arrival.headers['knapweedhall-slice'])
        self.assertEqual('2', arrival.headers['x-end'])
        self.assertNotIn('x-hop', arrival.headers)
        self.assertEqual(
            ['request_received', 'request_sent', 'request_answered'],
            self.events.names(),
        )
