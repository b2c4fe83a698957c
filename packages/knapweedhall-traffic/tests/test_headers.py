"""Tests of the header rules that sockets do not cover."""

from __future__ import annotations

import unittest

from knapweedhall_traffic import headers


def names(raw: headers.HeaderList) -> list[bytes]:
    return [name for name, _ in headers.forwarded(raw, headers.index(raw))]


class HeaderTest(unittest.TestCase):
    def test_hop_by_hop(self) -> None:
        """Guards against headers that leak beyond their hop."""
        raw = [
            (b'CONNECTION', b'close, X-One'),
            (b'Connection', b'x-two'),
            (b'X-One', b'1'),
            (b'X-TWO', b'2'),
            (b'X-Three', b'3'),
            (b'X-Three', b'4'),
            (b'TE', b'trailers'),
            (b'Proxy-Authorization', b'secret'),
            (b'Upgrade', b'h2c'),
            (b'Knapweedhall-Token', b'1.1'),
            (b'knapweedhall-anything', b'1'),
            (b'Content-Length', b'1'),
        ]
        self.assertEqual([b'X-Three', b'X-Three'], names(raw))

    def test_framing_without_parser(self) -> None:
        """Guards against a laxer parser in front of these rules."""
        for raw in (
            [(b'Content-Length', b'1'), (b'Transfer-Encoding', b'chunked')],
            [(b'Content-Length', b'1'), (b'content-length', b'1')],
            [(b'Content-Length', b'1_0')],
            [(b'Content-Length', b'')],
            [(b'Transfer-Encoding', b'chunked, identity')],
            [(b'Transfer-Encoding', b'\x0bchunked')],
            [(b'Host', b'a'), (b'host', b'b')],
            [(b'Content-Length ', b'1')],
            [(b'Connection', b'close, host')],
            [(b'Content_Length', b'1')],
            [(b'transfer_encoding', b'chunked')],
            [(b'Knapweedhall_Token', b'1.1')],
            [(b'Knapweedhall-Request_Id', b'1')],
        ):
            with self.subTest(raw):
                found = headers.index(raw)
                self.assertIsNotNone(headers.check_framing(raw, found))
        raw = [(b'Transfer-Encoding', b'Chunked'), (b'a_b', b'1')]
        self.assertIsNone(headers.check_framing(raw, headers.index(raw)))

    def test_keys(self) -> None:
        """Guards against keys outside the documented form."""
        for key in (b'k', b'a b~', b'x' * 256):
            self.assertTrue(headers.is_key(key))
        for key in (b'', b'x' * 257, b'\x7f', b'a\tb', b'\xc3\xa9'):
            self.assertFalse(headers.is_key(key))

    def test_end_of_answers(self) -> None:
        """Guards against answers whose end can't be recognized."""
        none = headers.index([])
        known = headers.index([(b'Content-Length', b'1')])
        self.assertFalse(headers.has_known_end('GET', 200, none))
        self.assertTrue(headers.has_known_end('GET', 200, known))
        self.assertTrue(headers.has_known_end('HEAD', 200, none))
        self.assertTrue(headers.has_known_end('GET', 204, none))
