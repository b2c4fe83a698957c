"""Tests of record decoding, validation and encoding."""

from __future__ import annotations

import json
import random
import typing
import unittest

from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors
from knapweedhall_records import ids

SEED = 20261204


def record_fields(**changes: typing.Any) -> dict[str, typing.Any]:
    fields: dict[str, typing.Any] = {
        'kind': 'service',
        'schema': 2,
        'name': 'troupeau-view',
        'version': 1,
        'replaces': 0,
        'writer': 'operator',
        'incarnation': 1,
        'number': 1,
        'body': {
            'mode': 'divided',
            'slices': 256,
            'limits': {'slots': 4, 'connections': 130},
        },
    }
    return {**fields, **changes}


def decode(**changes: typing.Any) -> bodies.Record | errors.Refusal:
    return codec.decode(json.dumps(record_fields(**changes)))


class DecodeTest(unittest.TestCase):
    """Accepted and refused records."""

    def test_both_schema_versions_give_the_same_body(self) -> None:
        """Guards against a version that falls out of force."""
        old = decode(
            schema=1,
            body={
                'mode': 'divided',
                'slices': 256,
                'slots': 4,
                'connections': 130,
            },
        )
        new = decode()
        assert isinstance(old, bodies.Record)
        assert isinstance(new, bodies.Record)
        self.assertEqual(new.body, old.body)

    def test_refusals(self) -> None:
        """Guards against bad input that comes into force."""
        limits = {'slots': 4, 'connections': 130}
        cases: list[tuple[type[errors.Refusal], dict[str, typing.Any]]] = [
            (errors.UnknownSchema, {'schema': 3}),
            (errors.UnknownKind, {'kind': 'sevrice'}),
            (errors.MalformedRecord, {'name': 'a b'}),
            (errors.MalformedRecord, {'version': '1'}),
            (errors.InvalidField, {'version': 2, 'replaces': 2}),
            (errors.MalformedRecord, {'body': []}),
            (errors.InvalidField, {'body': {'mode': 'divided'}}),
            (
                errors.InvalidField,
                {'body': {'mode': 'divided', 'slices': 3, 'limits': limits}},
            ),
            (
                errors.InvalidField,
                {'body': {'mode': 'choice', 'slcies': 1, 'limits': limits}},
            ),
            (
                errors.InvalidField,
                {
                    'kind': 'plan',
                    'body': {'upstreams': ['a'], 'slices': [[1]]},
                },
            ),
            (errors.InvalidField, {'kind': 'plan', 'body': {'slices': [[]]}}),
            (
                errors.InvalidField,
                {'kind': 'electors', 'body': {'instances': []}},
            ),
        ]
        for expected, changes in cases:
            with self.subTest(changes=changes):
                refusal = decode(**changes)
                self.assertIsInstance(refusal, expected)
                assert isinstance(refusal, errors.Refusal)
                self.assertTrue(refusal.remedy)

    def test_oversized(self) -> None:
        refusal = decode(name='x' * codec.MAX_RECORD_BYTES)
        self.assertIsInstance(refusal, errors.OversizedRecord)

    def test_no_input_raises(self) -> None:
        """Guards against a record that ends the log follower."""
        rng = random.Random(SEED)
        valid = json.dumps(record_fields()).encode()
        for _ in range(2000):
            data = bytearray(valid)
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            outcome = codec.decode(bytes(data[: rng.randint(0, len(data))]))
            self.assertIsInstance(outcome, (bodies.Record, errors.Refusal))

    def test_round_trip(self) -> None:
        limits = bodies.Limits(6, 110, 2, 1.0, 6.0)
        contents: list[bodies.Body] = [
            bodies.Service('divided', limits, 256, 'handover', True),
            bodies.Movement(),
            bodies.Upstream('s', 'a', '127.0.1.1:80', limits),
            bodies.Mark('out', 5000),
            bodies.Electors((ids.InstanceId('e1', 5),)),
            bodies.Plan(('a', 'b'), ((0, 1), (1, 0)), {'k': (1, 0)}),
            bodies.Release('s', 2, 'domain/a', (1, 2)),
            bodies.Checkpoint(9, 0, 1, ('{}',)),
        ]
        kinds = [type(body).__name__.lower() for body in contents]
        for kind, body in zip(kinds, contents, strict=True):
            with self.subTest(kind=kind):
                record = bodies.Record(kind, 2, 'n', 3, 2, 'w', 1, 4, body)
                self.assertEqual(record, codec.decode(codec.encode(record)))


class IdsTest(unittest.TestCase):
    """Order and text form of terms and tokens."""

    def test_encoded_terms_keep_the_order(self) -> None:
        """Guards against an older electors version that outranks a newer."""
        low, high = ids.Term(1, 2**32 - 1), ids.Term(2, 0)
        self.assertLess(low.encode(), high.encode())
        self.assertEqual(low, ids.Term.decode(low.encode()))

    def test_tokens(self) -> None:
        self.assertLess(ids.Token(9, 10), ids.Token(10, 1))
        self.assertEqual(ids.Token(9, 10), ids.Token.parse('9.10'))
        for text in ('', '9', '9.', '-1.2', '9.1.2'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                ids.Token.parse(text)
