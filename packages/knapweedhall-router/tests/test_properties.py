"""Property tests of the router's decoders.

Whatever the input is, a decoder returns a value or raises its own error.
"""

from __future__ import annotations

import asyncio
import collections.abc
import pathlib
import struct
import tempfile
import typing
import unittest
import zlib

import hypothesis
from hypothesis import strategies
import msgspec

from knapweedhall_adapter import errors
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import messages
from knapweedhall_router import settings
from knapweedhall_routing import quotas
from tests import test_settings

# The same examples in each run.
hypothesis.settings.register_profile(
    'decoders',
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
)
hypothesis.settings.load_profile('decoders')

Decode = collections.abc.Callable[[bytes], typing.Any]

MESSAGES: tuple[messages.Message, ...] = (
    messages.Hello('a', ['t'], '10.0.0.1:7540', True),
    messages.Takeover(3, 'a@10.0.0.1:7540', 1),
    messages.Redirect('a@10.0.0.1:7540'),
    messages.SteppedDown(3),
    messages.SteppedDown(3, {'s': b'[[0,9,"u","10.0.0.1",80,1]]'}),
    messages.Report({'s': {1: 2}}, {'u': (1, 0.1)}, 1, 0.1, 3),
    messages.Report({}, {}, 1, 0.1, 3, recent=[(0.3, {'s': {1: 2}})]),
    messages.Table('s', 1, 2, [(0, 9, 'u', '10.0.0.1', 80)]),
    messages.TableChange('s', 1, 2, [(0, 9, 'u', '10.0.0.1', 80)]),
    messages.Report({}, {}, 1, 0.1, 3, overdue={'u': 0.8}),
    messages.Heartbeat(1, ['a'], [], False, {'t': 0.1}, 9.0, [('u', 1)]),
    messages.DeputyHello('a', 58),
    messages.TokenRequest([quotas.Ask('w', 1, 0, 0.1)]),
    messages.TokenLease([quotas.Grant('w', 2, 1, 0.1, 0.2, 0.3, 0.4)]),
    messages.Heartbeat(1, [], [], False, {}, 9.0, conditions=b'\0' * 11),
    messages.Records('t', False, [(1, 'k', b'v')]),
    messages.PackedRecords(zlib.compress(b'\x90')),
)
values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        strategies.text(max_size=9) | strategies.integers(0, 99),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)
nesting = strategies.sampled_from(
    (b'', 5000 * b'\x91', 5000 * b'\x81\xa1a', b'\xdd\xff\xff\xff\xff')
)


@strategies.composite
def frames(draw: strategies.DrawFn) -> bytes:
    """Draw the content of a frame that is a message or nearly one."""
    message = draw(strategies.sampled_from(MESSAGES))
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    place = draw(strategies.integers(0, len(fields)))
    fields[place : place + 1] = [draw(values)]
    raw = msgspec.msgpack.encode(fields)
    # The array may get one more element, which may be nested.
    tail = draw(nesting)
    return bytes([raw[0] + bool(tail)]) + raw[1:] + tail


def decode_or_reject(decode: Decode, raw: bytes) -> typing.Any:
    """Decode; return None if the decoder rejects the input."""
    try:
        return decode(raw)
    except errors.DecodeError as error:
        assert len(str(error)) <= errors.MAX_REASON_CHARS
        return None


def read(raw: bytes) -> messages.Message:
    """Read a message from a stream that then ends."""

    async def run() -> messages.Message:
        reader = asyncio.StreamReader()
        reader.feed_data(struct.pack('>I', len(raw)) + raw)
        reader.feed_eof()
        return await messages.read(reader)

    return asyncio.run(run())


class MessageTest(unittest.TestCase):
    """Messages between instances."""

    @hypothesis.given(strategies.binary(max_size=99) | frames())
    def test_message(self, raw: bytes) -> None:
        """Guards against a message that ends a task.

        What is decoded can be sent on.
        """
        for decode in (messages.decode, read):
            message = decode_or_reject(decode, raw)
            if message is not None:
                messages.encode(message)

    @hypothesis.given(strategies.binary(max_size=99) | frames())
    def test_packed_records(self, raw: bytes) -> None:
        """Guards against packed records that end a task."""
        for content in (raw, zlib.compress(raw)):
            packed = messages.PackedRecords(content)
            decode_or_reject(lambda _: messages.unpack(packed), content)

    @hypothesis.given(strategies.binary(max_size=99))
    def test_conditions(self, raw: bytes) -> None:
        """Guards against conditions that end a task."""
        decode_or_reject(
            lambda raw: messages.unpack_conditions(raw, {0: 'u'}, 9.0), raw
        )

    @hypothesis.given(
        strategies.text(max_size=30)
        | strategies.from_regex(r'\A\w*@[0-9.]{1,9}:[0-9]{0,7}\Z')
    )
    def test_member(self, member: str) -> None:
        """Guards against a member ID that ends the coordinator's link."""
        address = coordinator_link.member_address(member)
        if address is not None:
            self.assertIn(address.port, range(1, 65536))


json_inputs = (
    strategies.binary(max_size=99)
    | values.filter(lambda value: not has_bytes(value)).map(
        lambda value: msgspec.json.encode(value)
    )
    | strategies.sampled_from((5000 * b'[', b'{"x":' + 5000 * b'['))
)


def has_bytes(value: typing.Any) -> bool:
    """Return whether a value contains what JSON can't express."""
    if isinstance(value, dict):
        return any(map(has_bytes, (*value.keys(), *value.values())))
    if isinstance(value, list):
        return any(map(has_bytes, value))
    return isinstance(value, bytes)


class StoredRecordTest(unittest.TestCase):
    """Records of the coordinator."""

    @hypothesis.given(json_inputs)
    def test_term(self, raw: bytes) -> None:
        """Guards against a record that ends the term of each coordinator."""
        decode_or_reject(coordinator_store.decode_term, raw)

    @hypothesis.given(
        json_inputs
        | strategies.lists(
            strategies.tuples(
                strategies.integers(-1, 65536),
                strategies.integers(-1, 65536),
                strategies.sampled_from(('', 'u')),
                strategies.sampled_from(('', '10.0.0.1', 'h')),
                strategies.integers(-1, 65536),
                strategies.integers(-1, 2**64),
            ),
            max_size=3,
        ).map(msgspec.json.encode)
    )
    def test_assignment(self, raw: bytes) -> None:
        """Guards against a record that ends the term of each coordinator."""
        stored = decode_or_reject(coordinator_store.decode_assignment, raw)
        for item in stored or ():
            self.assertIn(item.last, range(item.first, 65536))


class SettingsTest(unittest.TestCase):
    """Settings files."""

    @hypothesis.given(
        strategies.binary(max_size=99)
        | strategies.tuples(
            strategies.sampled_from(test_settings.TEXT.strip().splitlines()),
            strategies.text(max_size=20)
            | strategies.integers().map(str)
            | strategies.floats().map(str)
            | strategies.sampled_from((5000 * '9', '127.0.0.1:\u00b2')),
        ).map(lambda change: _replace_value(*change))
    )
    def test_file(self, raw: bytes) -> None:
        """Guards against a file that ends the process when it is read."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'node.ini'
            path.write_bytes(raw)
            loaded = settings.read(path)
        if isinstance(loaded, settings.Faults):
            self.assertTrue(loaded.messages)
        else:
            self.assertIsInstance(loaded, settings.Settings)


def _replace_value(line: str, value: str) -> bytes:
    """Return the settings with another value in one line."""
    changed = f'{line.partition("=")[0]}= {value}'
    text = test_settings.TEXT.replace(line, changed)
    return text.encode('utf-8', 'surrogatepass')
