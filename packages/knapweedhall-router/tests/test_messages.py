"""Tests of messages with large records."""

from __future__ import annotations

import asyncio
import json
import math
import random
import struct
import typing
import unittest
import zlib

import msgspec

from knapweedhall_adapter import errors
from knapweedhall_router import clock
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import instance_links
from knapweedhall_router.links import messages
from knapweedhall_router import state as state_module
from knapweedhall_routing import announcements
from knapweedhall_routing import conditions
from knapweedhall_routing import load
from tests import fleet


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
            with self.assertRaises(errors.DecodeError):
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


def nested(depth: int) -> bytes:
    """Return a heartbeat with a nested field that no release has."""
    fields = ['fleet', 1, [], [], False, {}, 0.0, [], {}]
    raw: bytes = msgspec.msgpack.encode(fields)
    # The array gets one more element.
    return bytes([raw[0] + 1]) + raw[1:] + depth * b'\x91' + b'\x01'


class _FormerReport(msgspec.Struct, tag='report', array_like=True):
    """Report of the release before the recent counts."""

    keys: dict[str, dict[int, int]]
    times: dict[str, tuple[int, float]]
    heartbeat: int
    store_answer_age_s: float
    version: int
    leaving: list[tuple[str, int]] = []
    pauses: dict[str, float] = {}


class ReportTest(unittest.TestCase):
    """Reports between an instance and a coordinator of different releases."""

    def test_report_of_an_earlier_release(self) -> None:
        """Guards against an instance that counts as one without requests."""
        raw = msgspec.msgpack.encode(_FormerReport({}, {}, 1, 0.1, 3))
        report = messages.decode(raw)
        assert isinstance(report, messages.Report)
        self.assertIsNone(report.recent)
        self.assertEqual({}, report.loads)

    def test_report_to_an_earlier_release(self) -> None:
        """Guards against a report that ends the connection."""
        report = messages.Report(
            {'s': {1: 2}},
            {},
            1,
            0.1,
            3,
            recent=[(0.3, {'s': {1: 2}})],
            loads={'u': load.Sample(1, 370, 4, 6, 100)},
            overdue={'v': 0.8},
        )
        raw = msgspec.msgpack.encode(report)
        self.assertEqual(report, messages.decode(raw))
        read = msgspec.msgpack.decode(raw, type=_FormerReport)
        self.assertEqual({'s': {1: 2}}, read.keys)


class NestedMessageTest(unittest.IsolatedAsyncioTestCase):
    """Messages with deep nesting."""

    async def test_read(self) -> None:
        """Guards against a message that ends the process that receives it.

        msgspec raises RecursionError for deep nesting.
        """
        raw = nested(5000)
        reader = asyncio.StreamReader()
        reader.feed_data(struct.pack('>I', len(raw)) + raw)
        with self.assertRaises(errors.DecodeError):
            await messages.read(reader)

    def test_unpack(self) -> None:
        """Guards against packed records that end the process."""
        for raw in (5000 * b'\x91' + b'\x01', nested(5000)):
            packed = messages.PackedRecords(zlib.compress(raw))
            with self.assertRaises(errors.DecodeError):
                messages.unpack(packed)


class MemberAddressTest(unittest.TestCase):
    """Addresses in member IDs."""

    def test_address(self) -> None:
        """Guards against a member ID that ends the link to the coordinator.

        Connecting raises no OSError for a port above 65535 or a host that is
        no IP address, and int raises ValueError for some digits.
        """
        self.assertEqual(
            ('10.0.0.1', 7540),
            coordinator_link.member_address('a@10.0.0.1:7540'),
        )
        for member in (
            '',
            'a',
            'a@:80',
            'a@10.0.0.1:',
            'a@10.0.0.1:\u00b2',
            'a@10.0.0.1:0',
            'a@10.0.0.1:70000',
            'a@10.0.0.1:' + 5000 * '9',
            'a@' + 70 * 'h' + ':80',
            'a@10.0.0.1\0:80',
        ):
            with self.subTest(member=member[:20]):
                self.assertIsNone(coordinator_link.member_address(member))


class ConditionsTest(unittest.TestCase):
    """Conditions of upstreams in heartbeats."""

    def test_conditions(self) -> None:
        """Guards against conditions that are lost or spoiled on the way."""
        known = conditions.Condition(4.5, 7.0, 0.372, 72, 99.5)
        odd = conditions.Condition(0.01, 1e9, 1e9, 10**9, -math.inf)
        raw = messages.pack_conditions(
            [
                announcements.Change(0, 'u', known),
                announcements.Change(65535, 'v', None),
                announcements.Change(7, 'w', odd),
                announcements.Change(8, 'unnamed', odd),
            ],
            100.0,
        )
        self.assertEqual(44, len(raw))
        names = {0: 'u', 65535: 'v', 7: 'w'}
        unpacked = messages.unpack_conditions(raw, names, 200.0)
        self.assertEqual({'u', 'v', 'w'}, unpacked.keys())
        self.assertEqual(known._replace(at=199.5), unpacked['u'])
        self.assertIsNone(unpacked['v'])
        assert unpacked['w'] is not None
        self.assertGreater(unpacked['w'].limit, 0.0)
        with self.assertRaises(errors.DecodeError):
            messages.unpack_conditions(raw[:-1], names, 200.0)

    def test_instance_follows_the_coordinator(self) -> None:
        """Guards against numbers of an earlier coordinator."""
        state = state_module.State(fleet.Fleet().new_settings())
        link = coordinator_link.CoordinatorLink(
            typing.cast(typing.Any, None), state
        )
        known = conditions.Condition(4.5, 7.0, 0.372, 72, clock.now())
        raw = messages.pack_conditions(
            [announcements.Change(0, '', known)], clock.now()
        )
        for names, is_full, expected in (
            ([(0, 'u')], True, {'u'}),
            ([], False, {'u'}),
            ([(0, 'v')], True, {'v'}),
            ([], True, set()),
        ):
            heartbeat = messages.Heartbeat(
                1, [], [], False, {}, 9.0, [], {}, -1, raw, names, is_full
            )
            link.apply(messages.decode(messages.encode(heartbeat)[4:]))
            self.assertEqual(expected, state.conditions.known.keys())
        # A coordinator of an earlier release confirms nothing.
        heard_at = state.conditions.heard_at
        link.apply(messages.Heartbeat(1, [], [], False, {}, 9.0))
        self.assertEqual(heard_at, state.conditions.heard_at)
