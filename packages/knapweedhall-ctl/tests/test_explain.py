"""Tests of `explain`."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import unittest

from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import main
from knapweedhall_router.links import messages

HOST = '127.0.12.1'
CANDIDATE = messages.ExplainedCandidate(
    'orders-1', 'a', 'chosen', 12.5, 10.0, 1.0, 4, 0, 9, 0.0, True, 0.0
)


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    """The command beside an instance."""

    async def ask(
        self, answer: messages.Message | None, *options: str
    ) -> tuple[int, str]:
        """Return the exit code and the output for an instance's answer."""
        self.requests: list[messages.Message] = []

        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.requests.append(await messages.read(reader))
            if answer is not None:
                writer.write(messages.encode(answer))
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(respond, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        output = io.StringIO()
        arguments = ['explain', f'{HOST}:{port}', 'shop', '/x', *options]
        with contextlib.redirect_stdout(output):
            code = await asyncio.to_thread(main.main, arguments)
        server.close()
        return code, output.getvalue()

    async def test_exit_codes(self) -> None:
        """Guards against a script that takes a refusal for an upstream."""
        sent = messages.Explanation(
            'front-1', 7, 'r', 'orders', 1, False, 'orders-1', 0, 'owner'
        )
        sent.candidates = [CANDIDATE]
        refused = messages.Explanation('front-1', 7, status=503, reason='cold')
        for answer, expected, text in (
            (sent, exit_codes.OK, 'would be sent to orders-1: owner'),
            (refused, exit_codes.NEGATIVE, 'refused with 503: cold'),
            (None, exit_codes.PLATFORM_UNAVAILABLE, 'unavailable'),
            (
                messages.Redirect(''),
                exit_codes.PLATFORM_UNAVAILABLE,
                'not the port',
            ),
        ):
            with self.subTest(expected=expected):
                code, output = await self.ask(answer, '--key', '5')
                self.assertEqual(expected, code)
                self.assertIn(text, output)
                (request,) = self.requests
                self.assertEqual(
                    messages.ExplainRequest('shop', '/x', key='5'), request
                )
        code, output = await self.ask(sent, '--json')
        fields = json.loads(output)
        self.assertEqual('orders-1', fields['candidates'][0]['upstream'])

    def test_address_that_is_none(self) -> None:
        """Guards against a traceback for a mistyped address."""
        with contextlib.redirect_stdout(io.StringIO()):
            code = main.main(['explain', 'nowhere', 'shop', '/x'])
        self.assertEqual(exit_codes.INVALID_INPUT, code)
