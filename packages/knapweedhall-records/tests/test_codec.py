"""Tests of record decoding, validation and encoding."""

from __future__ import annotations

import json
import math
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors

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
        'body': {'mode': 'divided', 'limits': {'connections': 130}},
    }
    return {**fields, **changes}


def decode(**changes: typing.Any) -> bodies.Record | errors.Refusal:
    return codec.decode(json.dumps(record_fields(**changes)))


def workspace(**body: typing.Any) -> dict[str, typing.Any]:
    """Return the fields of a workspace's record that differ."""
    return {'kind': 'workspace', 'name': 'acme', 'body': body}


class DecodeTest(unittest.TestCase):
    """Decoding and encoding of valid and invalid records."""

    def test_both_schema_versions_give_the_same_body(self) -> None:
        """Guards against rejecting or changing records of schema version 1."""
        old = decode(
            schema=1,
            body={'mode': 'divided', 'connections': 130},
        )
        new = decode()
        assert isinstance(old, bodies.Record)
        assert isinstance(new, bodies.Record)
        self.assertEqual(new.body, old.body)

    def test_invalid_records_are_rejected(self) -> None:
        """Guards against invalid records that come into force."""
        limits = {'connections': 130}
        service = {'mode': 'choice', 'limits': limits}
        cases: list[tuple[type[errors.Refusal], dict[str, typing.Any]]] = [
            (errors.UnknownSchema, {'schema': 3}),
            (errors.UnknownKind, {'kind': 'sevrice'}),
            (errors.MalformedRecord, {'name': 'a b'}),
            (errors.MalformedRecord, {'version': '1'}),
            (errors.InvalidField, {'version': 2, 'replaces': 2}),
            (errors.MalformedRecord, {'body': []}),
            (errors.InvalidField, {'body': {'mode': 'divided'}}),
            (errors.InvalidField, {'body': {**service, 'slcies': 1}}),
            (
                errors.InvalidField,
                {'body': {**service, 'limits': {**limits, 'slosts': 4}}},
            ),
            (
                errors.InvalidField,
                {
                    'body': {
                        **service,
                        'objective_ms': 900,
                        'default_timeout_ms': 800,
                    }
                },
            ),
            (
                errors.InvalidField,
                {'kind': 'mark', 'name': 'north', 'body': {'state': 'out'}},
            ),
            (
                errors.InvalidField,
                {'kind': 'movement', 'body': {'min_gain': 1.5}},
            ),
            (errors.UnknownKind, {'kind': 'electors', 'body': {}}),
            (errors.UnknownKind, {'kind': 'workspace', 'schema': 1}),
            (errors.InvalidField, workspace(keys=[''])),
            (errors.InvalidField, workspace(keys=['a b'])),
            (errors.InvalidField, workspace(rate_per_s=-1)),
            (errors.InvalidField, workspace(burst=-0.5)),
            (errors.MalformedRecord, workspace(rate_per_s=math.inf)),
            (errors.InvalidField, workspace(priority=-1)),
            (errors.InvalidField, workspace(apiKeys=['a'])),
            (errors.MalformedRecord, {**workspace(), 'name': 'acme\n'}),
        ]
        for expected, changes in cases:
            with self.subTest(changes=changes):
                refusal = decode(**changes)
                self.assertIsInstance(refusal, expected)
                assert isinstance(refusal, errors.Refusal)
                self.assertTrue(refusal.remedy)

    def test_oversized_record_is_rejected(self) -> None:
        """Guards against decoding records of unbounded length."""
        refusal = decode(name='x' * codec.MAX_RECORD_BYTES)
        self.assertIsInstance(refusal, errors.OversizedRecord)

    def test_no_input_raises(self) -> None:
        """Guards against a corrupt record that crashes the log's reader."""
        rng = random.Random(SEED)
        valid = json.dumps(record_fields()).encode()
        for _ in range(2000):
            data = bytearray(valid)
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            outcome = codec.decode(bytes(data[: rng.randint(0, len(data))]))
            self.assertIsInstance(outcome, (bodies.Record, errors.Refusal))

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=200
    )
    @hypothesis.given(
        strategies.sampled_from(sorted(record_fields())),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(),
            lambda inner: strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from(
                    ('mode', 'limits', 'connections', 'hosts', 'state')
                ),
                inner,
                max_size=3,
            ),
            max_leaves=9,
        ),
    )
    def test_no_field_raises(self, field: str, value: typing.Any) -> None:
        """Guards against a record that ends the task that follows them."""
        decode(**{field: value})

    def test_nested_record_is_rejected(self) -> None:
        """Guards against a record that ends every instance that reads it.

        msgspec raises RecursionError for deep nesting.
        """
        for raw in (
            b'{"kind":' + 5000 * b'[',
            b'{"body":' + 5000 * b'{"a":',
            json.dumps(record_fields()).encode()[:-1] + b',"x":' + 5000 * b'[',
        ):
            with self.subTest(raw=raw[:20]):
                self.assertIsInstance(
                    codec.decode(raw), errors.MalformedRecord
                )

    def test_surrogate_is_rejected(self) -> None:
        """Guards against text that can't be encoded."""
        self.assertIsInstance(
            codec.decode('{"kind":"\ud800"}'), errors.MalformedRecord
        )

    def test_huge_version_is_rejected(self) -> None:
        """Guards against versions that instances can't report.

        The version of a configuration is the sum of all versions in force,
        and messages between instances carry 64 bits.
        """
        self.assertIsInstance(decode(version=2**64), errors.Refusal)

    def test_round_trip(self) -> None:
        """Guards against fields that encoding or decoding loses."""
        limits = bodies.Limits(110, 6.0)
        examples: dict[str, bodies.Body] = {
            'service': bodies.Service('divided', limits, ('a', 'b'), ('GET',)),
            'movement': bodies.Movement(),
            'mark': bodies.Mark('out'),
            'workspace': bodies.Workspace(('k1', 'k+/=2'), 0, 51.5, 9.0),
        }
        self.assertEqual(set(codec.KINDS), set(examples))
        for kind, body in examples.items():
            with self.subTest(kind=kind):
                record = bodies.Record(
                    kind, 2, 'domain/n', 3, 2, 'w', 1, 4, body
                )
                self.assertEqual(record, codec.decode(codec.encode(record)))

    def test_record_of_earlier_releases(self) -> None:
        """Guards against records that instances of the last release skip.

        They reject a service with the field that this release has added.
        """
        for schema in codec.SCHEMAS:
            service = bodies.Service('choice', bodies.Limits(110))
            self.assertNotIn('public', codec.body_fields(service, schema))
            service = service._replace(public=True)
            self.assertTrue(codec.body_fields(service, schema)['public'])

    def test_retired_fields_are_ignored(self) -> None:
        """Guards against a new release that rejects records in force."""
        old = decode(
            body={
                'mode': 'divided',
                'slices': 256,
                'partition_mode': 'stay',
                'checks_tokens': True,
                'limits': {'slots': 4, 'connections': 130, 'cold_slots': 1},
            }
        )
        self.assertEqual(decode(), old)

    def test_short_timeout_lowers_the_default_objective(self) -> None:
        """Guards against a default objective that exceeds the timeout.

        Such a record would be invalid only because of the default.
        """
        body = {
            'mode': 'choice',
            'limits': {'connections': 9},
            'default_timeout_ms': 300,
        }
        record = decode(body=body)
        assert isinstance(record, bodies.Record)
        assert isinstance(record.body, bodies.Service)
        self.assertEqual(300, record.body.objective_ms)
