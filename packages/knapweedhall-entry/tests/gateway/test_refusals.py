"""Tests that malformed and ambiguous requests never reach an upstream."""

from __future__ import annotations

import asyncio
import contextlib

from tests.gateway import fakes

KEY = 'Knapweedhall-Key: k'


def raw(*lines: str, body: str = '') -> bytes:
    return '\r\n'.join((*lines, '', body)).encode('latin-1')


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
        post = ('POST /ofrendas/x HTTP/1.1', 'Host: h', KEY)
        chunk = '0\r\n\r\n'
        requests = {
            'both lengths': raw(
                *post,
                'Content-Length: 5',
                'Transfer-Encoding: chunked',
                body=chunk,
            ),
            'both lengths, other order': raw(
                *post,
                'Transfer-Encoding: chunked',
                'Content-Length: 5',
                body=chunk,
            ),
            'two lengths': raw(
                *post, 'Content-Length: 1', 'Content-Length: 2', body='ab'
            ),
            'equal lengths': raw(
                *post, 'Content-Length: 1', 'Content-Length: 1', body='a'
            ),
            'signed length': raw(*post, 'Content-Length: +1', body='a'),
            'listed length': raw(*post, 'Content-Length: 1, 1', body='a'),
            'unknown coding': raw(*post, 'Transfer-Encoding: xchunked'),
            'coding list': raw(
                *post, 'Transfer-Encoding: gzip, chunked', body=chunk
            ),
            'two codings': raw(
                *post,
                'Transfer-Encoding: chunked',
                'Transfer-Encoding: chunked',
                body=chunk,
            ),
            'space before colon': raw(*post, 'Content-Length : 1', body='a'),
            'folded line': raw(*post, 'X: a', ' b: c'),
            'bare line feed': raw(*post, 'X: a\nContent-Length: 1', body='a'),
            'zero byte': raw(*post, 'X: a\0b'),
            'nominated length': raw(
                *post, 'Connection: content-length', 'Content-Length: 1'
            ),
            'nominated key': raw(*post, 'Connection: knapweedhall-key'),
            'two keys': raw(*post, 'Knapweedhall-Key: other'),
            'two hosts': raw(*post, 'Host: other'),
            'upgrade with body': raw(
                *post,
                'Connection: upgrade',
                'Upgrade: h2c',
                'Content-Length: 1',
                body='a',
            ),
            'path not ASCII': fakes.encode().replace(b'/x', b'/\xff'),
            'no request line': b'\x16\x03\x01\r\n\r\n',
        }
        for name, data in requests.items():
            with self.subTest(name):
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
            '/ofrendas/knapweedhall/grants',
            '/ofrendas/Knapweedhall/grants',
            '/ofrendas//knapweedhall/grants',
            '/ofrendas/%6bnapweedhall/grants',
            '/ofrendas/knapweedhall;a=b/grants',
            '/ofrendas/x/../knapweedhall/grants',
            '/ofrendas/x/%2e%2e/knapweedhall/grants',
            '/ofrendas/%2fknapweedhall/grants',
            '/ofrendas/x\\..\\knapweedhall',
            'http://h/ofrendas/x',
            '/',
        ):
            with self.subTest(target):
                answer = await self.call(fakes.encode('PUT', target))
                self.assertEqual((400, 'not-run'), answer.outcome()[:2])
        self.assertEqual([], self.upstream.arrivals)

    async def test_refuses_by_key_service_and_timeout(self) -> None:
        """Guards against sending a request that belongs nowhere."""
        timeout = ('Knapweedhall-Timeout-Ms: soon',)
        for data, wanted in (
            (fakes.encode(key=''), (400, 'not-run', 'missing-key')),
            (fakes.encode(key='k' * 257), (400, 'not-run', 'malformed-key')),
            (fakes.encode(key='k\xe9'), (400, 'not-run', 'malformed-key')),
            (
                fakes.encode(fields=timeout),
                (400, 'not-run', 'malformed-timeout'),
            ),
            (
                fakes.encode(target='/other/x'),
                (404, 'not-run', 'unknown-service'),
            ),
        ):
            with self.subTest(wanted):
                answer = await self.call(data)
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
        chunked = raw(
            'POST /ofrendas/x HTTP/1.1',
            'Host: h',
            KEY,
            'Transfer-Encoding: chunked',
            body='5\r\nhello\r\nnot-a-size\r\n',
        )
        await self.call(chunked)
        for arrival in self.upstream.arrivals:
            self.assertNotIn('content-length', arrival.headers)
        for connection in self.upstream.writers:
            await connection.wait_closed()

    async def test_pipelined_requests_answered_in_order(self) -> None:
        """Guards against mixed-up answers of pipelined requests."""
        data = fakes.encode(target='/other/x') + fakes.encode()
        reader, writer = await asyncio.open_connection(*self.caller)
        writer.write(data)
        first = await fakes.read_answer(reader, False)
        second = await fakes.read_answer(reader, False)
        writer.close()
        self.assertEqual([404, 200], [first.status, second.status])
