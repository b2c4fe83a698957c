"""Tests of encoding and authentication."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_peering import envelope
from knapweedhall_peering import errors
from knapweedhall_peering import sequences
from knapweedhall_records import ids

KEY = bytes(range(32))
SENDER = ids.InstanceId('a', 7)


class Ping(typing.NamedTuple):
    """Body for these tests."""

    number: int
    text: str = ''


class CodecTest(unittest.TestCase):
    """Guards against accepting what another process may not send."""

    def setUp(self) -> None:
        self.codec = envelope.Codec(KEY, {'Ping': Ping})

    def encode(self, sequence: int = 1, body: Ping = Ping(3, 'x')) -> bytes:
        message = self.codec.encode(SENDER, 'b', sequence, body)
        assert isinstance(message, bytes)
        return message

    def test_round_trip_keeps_type_and_sender(self) -> None:
        """Guards against bodies that lose their type on the way."""
        received = self.codec.decode(self.encode())
        self.assertEqual(
            received, envelope.Received(SENDER, 'b', 'Ping', 1, Ping(3, 'x'))
        )

    def test_any_changed_byte_is_dropped(self) -> None:
        """Guards against a MAC that does not cover the whole message."""
        message = self.encode()
        for position in range(len(message)):
            changed = bytearray(message)
            changed[position] ^= 1
            with self.subTest(position=position):
                self.assertIsInstance(
                    self.codec.decode(bytes(changed)), errors.WrongMac
                )

    def test_other_key_is_dropped(self) -> None:
        """Guards against messages of a deployment with another key."""
        other = envelope.Codec(bytes(32), {'Ping': Ping})
        self.assertIsInstance(other.decode(self.encode()), errors.WrongMac)

    def test_short_message_is_dropped(self) -> None:
        """Guards against an exception on a message shorter than its MAC."""
        for length in (0, 1, envelope.MAC_BYTES):
            self.assertIsInstance(
                self.codec.decode(bytes(length)), errors.WrongMac
            )

    def test_unknown_kind_is_dropped(self) -> None:
        """Guards against an exception on a newer instance's message."""
        other = envelope.Codec(KEY, {})
        self.assertIsInstance(other.decode(self.encode()), errors.UnknownKind)

    def test_wrong_type_in_body_is_dropped(self) -> None:
        """Guards against a body whose fields have other types."""
        other = envelope.Codec(KEY, {'Ping': Ping})
        body = Ping('not a number')  # type: ignore[arg-type]
        message = other.encode(SENDER, 'b', 1, body)
        assert isinstance(message, bytes)
        self.assertIsInstance(self.codec.decode(message), errors.Undecodable)

    def test_garbage_behind_valid_mac_is_dropped(self) -> None:
        """Guards against an exception of the decoder."""
        for data in (b'', b'\xc1', b'\x01', b'\x96' + b'\xa1\xff' * 6):
            message = self.codec.mac(data) + data
            self.assertIsInstance(
                self.codec.decode(message), errors.Undecodable
            )

    def test_long_message_is_neither_sent_nor_accepted(self) -> None:
        """Guards against a missing size limit on either side."""
        body = Ping(1, 'x' * envelope.MAX_MESSAGE_BYTES)
        self.assertIsInstance(
            self.codec.encode(SENDER, 'b', 1, body), errors.Oversized
        )
        data = bytes(envelope.MAX_MESSAGE_BYTES)
        self.assertIsInstance(
            self.codec.decode(self.codec.mac(data) + data), errors.Oversized
        )


class SequenceFilterTest(unittest.TestCase):
    """Guards against repeated and misdirected messages."""

    def setUp(self) -> None:
        self.filter = sequences.SequenceFilter('b', max_senders=2)

    def check(
        self, sequence: int, incarnation: int = 7, receiver: str = 'b'
    ) -> errors.Dropped | None:
        sender = ids.InstanceId('a', incarnation)
        return self.filter.check(
            envelope.Received(sender, receiver, 'Ping', sequence, Ping(1))
        )

    def test_repeated_and_older_numbers_are_dropped(self) -> None:
        """Guards against a replayed vote or permit."""
        self.assertIsNone(self.check(5))
        self.assertIsInstance(self.check(5), errors.OldSequence)
        self.assertIsInstance(self.check(4), errors.OldSequence)
        self.assertIsNone(self.check(6))

    def test_new_incarnation_starts_again(self) -> None:
        """Guards against ignoring a peer that restarts after a clock jump."""
        self.assertIsNone(self.check(5, incarnation=7))
        self.assertIsNone(self.check(1, incarnation=3))
        self.assertIsInstance(self.check(5, incarnation=7), errors.OldSequence)

    def test_message_for_another_instance_is_dropped(self) -> None:
        """Guards against redirecting a recorded message."""
        self.assertIsInstance(
            self.check(1, receiver='c'), errors.WrongReceiver
        )

    def test_memory_is_bounded(self) -> None:
        """Guards against growing with the number of restarts."""
        for incarnation in range(10):
            self.check(1, incarnation)
        self.assertEqual(len(self.filter.last), 2)
