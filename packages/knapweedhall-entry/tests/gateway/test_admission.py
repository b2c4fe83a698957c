"""Tests of limits, queues and load shedding in the data path."""

from __future__ import annotations

import asyncio
import collections

from knapweedhall_entry.gateway import interfaces
from tests.gateway import fakes


class AdmissionTest(fakes.GatewayCase):
    async def hold(self) -> fakes.RawUpstream:
        """Start an upstream that answers once `proceed` is set."""
        self.proceed = asyncio.Event()
        self.running = self.peak = 0

        async def script(arrival, reader, writer):
            self.running += 1
            self.peak = max(self.peak, self.running)
            await self.proceed.wait()
            await asyncio.sleep(0.001)
            self.running -= 1
            writer.write(fakes.whole(b''))
            return True

        return await self.serve(script, queue_length=16)

    def start_calls(self, count: int, *fields: str) -> list:
        return [
            asyncio.create_task(self.call(fakes.encode('POST', fields=fields)))
            for _ in range(count)
        ]

    async def until_waiting(self, count: int) -> None:
        while len(self.gateway.book.find('u1').queue) < count:
            await asyncio.sleep(0.001)

    async def test_storm_is_bounded(self) -> None:
        """Guards against more requests than slots, and unbounded queues.

        4 slots and 16 places in the queue serve 20 of 60 requests; the
        others are refused at once and did not run.
        """
        upstream = await self.hold()
        calls = self.start_calls(60)
        refused, _ = await asyncio.wait(
            calls, return_when=asyncio.FIRST_COMPLETED
        )
        while len(refused) < 40:
            done, _ = await asyncio.wait(
                set(calls) - refused, return_when=asyncio.FIRST_COMPLETED
            )
            refused |= done
        self.proceed.set()
        outcomes = collections.Counter(
            [answer.outcome() for answer in await asyncio.gather(*calls)]
        )
        self.assertEqual(
            {
                (200, 'answered', None): 20,
                (503, 'not-run', 'queue-full'): 40,
            },
            dict(outcomes),
        )
        self.assertEqual(20, len(upstream.arrivals))
        self.assertLessEqual(self.peak, 4)
        demand = self.gateway.demand()['u1']
        self.assertEqual((0, 0), demand[:2])
        self.assertLessEqual(demand.connections, 4)

    async def test_cancelled_waiters_keep_no_slots(self) -> None:
        """Guards against slots that leak with callers that give up."""
        await self.hold()
        held = self.start_calls(4)
        late = self.start_calls(4, 'Knapweedhall-Timeout-Ms: 150')
        await self.until_waiting(4)
        for answer in await asyncio.gather(*late):
            self.assertEqual((503, 'not-run', 'no-slot'), answer.outcome())
        self.assertEqual((4, 0), self.gateway.demand()['u1'][:2])
        self.proceed.set()
        await asyncio.gather(*held)
        self.assertEqual((0, 0), self.gateway.demand()['u1'][:2])
        answers = await asyncio.gather(*self.start_calls(8))
        self.assertEqual({200}, {answer.status for answer in answers})

    async def test_waiting_requests_follow_the_owner(self) -> None:
        """Guards against requests stuck in the queue of a former owner."""
        await self.hold()
        held = self.start_calls(4)
        moved = self.start_calls(3)
        await self.until_waiting(3)

        successor = await self.start_upstream(
            fakes.answering(fakes.whole(b'new owner'))
        )
        self.control.own('u2', successor.address)
        self.control.listener()
        for answer in await asyncio.gather(*moved):
            self.assertEqual(b'new owner', answer.body)
        self.assertFalse(any(call.done() for call in held))
        self.proceed.set()
        await asyncio.gather(*held)

    async def test_load_shedding_storm(self) -> None:
        """Guards against flooding an upstream that sheds load.

        After the first refusals only the cold budget of one request is in
        use, and refused requests wait in the queue instead of returning at
        once.
        """
        self.running = self.peak = 0

        async def script(arrival, reader, writer):
            self.running += 1
            shed = self.running > 1
            if len(upstream.arrivals) > 4:
                self.peak = max(self.peak, self.running)
            await asyncio.sleep(0.001)
            self.running -= 1
            writer.write(fakes.not_run('shed') if shed else fakes.whole(b''))
            return True

        upstream = await self.serve(script)
        answers = await asyncio.gather(*self.start_calls(12))
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertIn('upstream_cold', self.events.names())
        self.assertEqual(1, self.peak)

    async def test_refused_connections(self) -> None:
        """Guards against a storm of connection attempts, and lost requests.

        The requests wait while their owner is down and are served, one at
        a time at first, when it accepts connections again.
        """
        upstream = await self.serve(fakes.answering(fakes.whole(b'')))
        await upstream.stop()
        refusals = []
        self.gateway.book.observer.upstream_refused = refusals.append
        calls = self.start_calls(8)
        await self.until_waiting(8)
        self.assertLessEqual(len(refusals), 4)
        await upstream.start(upstream.address.port)
        answers = await asyncio.gather(*calls)
        self.assertEqual({200}, {answer.status for answer in answers})
        signs = [
            fields['sign']
            for name, fields in self.events.events
            if name == 'upstream_cold'
        ]
        self.assertEqual(['refused-then-accepted'], signs)

    async def test_choice_leaves_an_upstream_without_slots(self) -> None:
        """Guards against requests stuck at one upstream beside an idle one.

        The instance holds no part of the cold budget of the first.
        """
        await self.hold()
        self.control.record = self.control.record._replace(mode='choice')
        route = self.control.found
        self.control.found = (route,)
        held = self.start_calls(4)
        moved = self.start_calls(3)
        await self.until_waiting(3)

        async def script(arrival, reader, writer):
            writer.write(fakes.whole(b'other'))
            return True

        other = await self.start_upstream(script)
        self.control.addresses['u2'] = other.address
        self.control.found = (route, route._replace(upstream='u2'))
        self.control.shares = self.control.shares._replace(cold_slots=0)
        self.gateway.book.find('u1').limits.state.cold = True
        self.control.listener()
        for answer in await asyncio.gather(*moved):
            self.assertEqual(b'other', answer.body)
        self.proceed.set()
        await asyncio.gather(*held)

    async def test_choice_service_spreads_load(self) -> None:
        """Guards against a `choice` service that uses one upstream only."""

        async def script(arrival, reader, writer):
            await asyncio.sleep(0.001)
            writer.write(fakes.whole(b''))
            return True

        first = await self.serve(script, 'choice')
        second = await self.start_upstream(script)
        self.control.addresses['u2'] = second.address
        route = self.control.found
        self.control.found = (route, route._replace(upstream='u2'))
        await asyncio.gather(*self.start_calls(20))
        self.assertGreater(len(first.arrivals), 4)
        self.assertGreater(len(second.arrivals), 4)
        self.control.found = interfaces.NoRoute('no-permit', lasting=True)
        answer = await self.call(fakes.encode())
        self.assertEqual((503, 'not-run', 'no-permit'), answer.outcome())
