"""Tests of messages with large records."""

from __future__ import annotations

import json
import random
import struct
import typing
import unittest
import zlib

import msgspec

from knapweedhall_router import instance_links
from knapweedhall_router import messages


def configuration(routes: int) -> bytes:
    """Return a configuration with random names."""
    rng = random.Random(1)
    rows = [
        [f'r{number}', f'{rng.getrandbits(32):x}.example', '/a/', 'safe', 2.5]
        for number in range(routes)
    ]
    return json.dumps({'routes': {'rows': rows}}).encode()


RECORDS = messages.Records('keyed.op', False, [(7, 'c', configuration(4000))])


def decode(frame: bytes) -> messages.Message:
    """Return the message in a frame."""
    (length,) = struct.unpack('>I', frame[:4])
    assert length == len(frame) - 4
    return msgspec.msgpack.decode(frame[4:], type=messages.Message)


class PackedRecordsTest(unittest.TestCase):
    """Records that are compressed on the way."""

    def test_large_records(self) -> None:
        """Guards against links that a configuration fills for seconds.

        On the second grown site a version with many routes was not known on
        two instances 2.5 s after the store had acknowledged it.
        """
        frame = messages.encode_packed(RECORDS)
        self.assertLess(len(frame), len(messages.encode(RECORDS)) / 2)
        packed = decode(frame)
        assert isinstance(packed, messages.PackedRecords)
        self.assertEqual(RECORDS, messages.unpack(packed))

    def test_other_messages_are_not_changed(self) -> None:
        """Guards against processor time for what is small anyway."""
        small = messages.Records('keyed.op', False, [(7, 'c', b'x')])
        for message in (small, messages.Redirect('a')):
            self.assertEqual(
                messages.encode(message), messages.encode_packed(message)
            )

    def test_bad_content(self) -> None:
        """Guards against content that ends the process."""
        bomb = zlib.compress(b'x' * (messages.MAX_FRAME_BYTES + 1))
        for raw in (b'', b'junk', bomb, zlib.compress(b'junk')):
            with self.assertRaises(msgspec.MsgspecError):
                messages.unpack(messages.PackedRecords(raw))

    def test_instance_of_an_earlier_release(self) -> None:
        """Guards against messages that an instance can't read."""
        old = msgspec.msgpack.decode(
            msgspec.msgpack.encode(['hello', 'a', []]), type=messages.Message
        )
        new = messages.Hello('a', [], packs=True)
        writer = typing.cast(typing.Any, None)
        for hello, kind in (
            (old, messages.Records),
            (new, messages.PackedRecords),
        ):
            assert isinstance(hello, messages.Hello)
            link = instance_links.InstanceLink(hello, writer)
            self.assertIsInstance(decode(link.encode(RECORDS)), kind)
