"""Tests that malformed and ambiguous requests never reach an upstream."""

from __future__ import annotations

import asyncio
import contextlib

from tests.gateway import fakes

KEY = 'Knapweedhall-Key: k'


class MalformedRequestTest(fakes.GatewayCase):
    async def asyncSetUp(self) -> None:
        self.upstream = await self.start_upstream(
            fakes.answering(fakes.whole(b''))
        )
        self.control = fakes.Control()
        self.control.own('u1', self.upstream.address)
        await self.start_gateway(self.control)

    async def test_refuses_ambiguous_requests(self) -> None:
        """Guards against requests that two servers read differently."""
        chunked, length = 'Transfer-Encoding: chunked', 'Content-Length: 1'
        ambiguous: list[tuple[str, ...]] = [
            (length, chunked),
            (chunked, length),
            (length, 'Content-Length: 2'),
            (length, length),
            ('Content-Length: +1',),
            ('Content-Length: 1, 1',),
            ('Transfer-Encoding: xchunked',),
            ('Transfer-Encoding: gzip, chunked',),
            (chunked, chunked),
            ('Content-Length : 1',),
            ('X: a', ' b: c'),
            ('X: a\nContent-Length: 1',),
            ('X: a\0b',),
            ('Connection: content-length', length),
            ('Connection: knapweedhall-key',),
            ('Content_Length: 1',),
            ('Knapweedhall_Token: 7.1',),
            (KEY,),
            ('Host: other',),
            ('Connection: upgrade', 'Upgrade: h2c', length),
        ]
        requests = [
            fakes.encode('POST', fields=fields) + b'0\r\n\r\n'
            for fields in ambiguous
        ]
        requests.append(fakes.encode().replace(b'/x', b'/\xff'))
        requests.append(b'\x16\x03\x01\r\n\r\n')
        for data in requests:
            with self.subTest(data):
                reader, writer = await asyncio.open_connection(*self.caller)
                # What follows must not be read as a second request.
                writer.write(data + fakes.encode())
                answer = await fakes.read_answer(reader, False)
                self.assertEqual(
                    (400, 'not-run'), answer.outcome()[:2], answer
                )
                with contextlib.suppress(ConnectionResetError):
                    self.assertEqual(b'', await reader.read())
                writer.close()
        self.assertEqual([], self.upstream.arrivals)
        malformed = self.events.names().count('request_malformed')
        self.assertEqual(len(requests), malformed)

    async def test_refuses_reserved_paths(self) -> None:
        """Guards against callers that reach the upstream's control calls."""
        for target in (
            '/fixed/knapweedhall/grants',
            '/fixed/Knapweedhall/grants',
            '/fixed//knapweedhall/grants',
            '/fixed/%6bnapweedhall/grants',
            '/fixed/knapweedhall;a=b/grants',
            '/fixed/x/../knapweedhall/grants',
            '/fixed/x/%2e%2e/knapweedhall/grants',
            '/fixed/%2fknapweedhall/grants',
            '/fixed/x\\..\\knapweedhall',
            'http://h/fixed/x',
            '/',
        ):
            with self.subTest(target):
                answer = await self.call(fakes.encode('PUT', target))
                self.assertEqual((400, 'not-run'), answer.outcome()[:2])
        self.assertEqual([], self.upstream.arrivals)

    async def test_refuses_by_key_service_and_timeout(self) -> None:
        """Guards against sending a request that belongs nowhere."""
        timeout = ('Knapweedhall-Timeout-Ms: soon',)
        for data, status, reason in (
            (fakes.encode(key=''), 400, 'missing-key'),
            (fakes.encode(key='k' * 257), 400, 'malformed-key'),
            (fakes.encode(key='k\xe9'), 400, 'malformed-key'),
            (fakes.encode(fields=timeout), 400, 'malformed-timeout'),
            (fakes.encode(target='/other/x'), 404, 'unknown-service'),
        ):
            with self.subTest(reason):
                answer = await self.call(data)
                wanted = status, 'not-run', reason
                self.assertEqual(wanted, answer.outcome())
        self.assertEqual([], self.upstream.arrivals)
        self.assertIn('request_malformed', self.events.names())

    async def test_fault_in_the_handler_is_unknown(self) -> None:
        """Guards against `not-run` for a request that may have been sent."""
        self.control.address = None
        answer = await self.call(fakes.encode())
        self.assertEqual((500, 'unknown'), answer.outcome()[:2])
        self.assertEqual('request_unknown', self.events.names()[-1])

    async def test_truncated_upload_is_no_whole_body(self) -> None:
        """Guards against an upstream that takes half a body for the whole."""
        received = asyncio.get_running_loop().create_future()

        async def script(arrival, reader, writer):
            received.set_result(await reader.read())
            return False

        self.upstream.script = script
        fields = 'Transfer-Encoding: chunked', 'Knapweedhall-Timeout-Ms: 400'
        chunked = fakes.encode('POST', fields=fields)
        reader, writer = await asyncio.open_connection(*self.caller)
        writer.write(chunked + b'5\r\nhello\r\n')
        while not self.upstream.arrivals:
            await asyncio.sleep(0)
        writer.write(b'not-a-size\r\n')
        answer = await fakes.read_answer(reader)
        self.assertEqual('unknown', answer.outcome()[1])
        writer.close()
        self.assertEqual(b'5\r\nhello\r\n', await received)

    async def test_pipelined_requests_answered_in_order(self) -> None:
        """Guards against mixed-up answers of pipelined requests."""
        data = fakes.encode(target='/other/x') + fakes.encode()
        reader, writer = await asyncio.open_connection(*self.caller)
        writer.write(data)
        first = await fakes.read_answer(reader, False)
        second = await fakes.read_answer(reader, False)
        writer.close()
        self.assertEqual([404, 200], [first.status, second.status])
