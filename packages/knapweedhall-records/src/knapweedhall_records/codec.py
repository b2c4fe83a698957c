"""Decodes and encodes records, and checks their fields."""

from __future__ import annotations

import functools
import typing

import msgspec

from knapweedhall_records import bodies
from knapweedhall_records import errors
from knapweedhall_records import ids
from knapweedhall_records import wire

MAX_RECORD_BYTES = 65536
SCHEMAS = (1, 2)

Fields = typing.Mapping[str, typing.Any]


def _limits(fields: Fields) -> bodies.Limits:
    return bodies.Limits(**fields)


def _service_v1(fields: Fields) -> bodies.Service:
    rest = dict(fields)
    limits = bodies.Limits(rest.pop('slots'), rest.pop('connections'))
    return _service(rest, limits)


def _service_v2(fields: Fields) -> bodies.Service:
    rest = dict(fields)
    return _service(rest, _limits(rest.pop('limits')))


def _service(rest: Fields, limits: bodies.Limits) -> bodies.Service:
    values = dict(rest)
    if 'idempotent_methods' in values:
        values['idempotent_methods'] = tuple(values['idempotent_methods'])
    return bodies.Service(limits=limits, **values)


def _upstream(fields: Fields) -> bodies.Upstream:
    values = dict(fields)
    if 'limits' in values:
        values['limits'] = _limits(values['limits'])
    return bodies.Upstream(**values)


def _electors(fields: Fields) -> bodies.Electors:
    return bodies.Electors(
        tuple(ids.InstanceId(*pair) for pair in fields['instances'])
    )


def _plan(fields: Fields) -> bodies.Plan:
    hot_keys = fields.get('hot_keys', {})
    return bodies.Plan(
        tuple(fields['upstreams']),
        tuple(tuple(indices) for indices in fields['slices']),
        {key: tuple(indices) for key, indices in hot_keys.items()},
        {
            number: bodies.Origin(group, version)
            for number, group, version in fields.get('origins', ())
        },
    )


def _release(fields: Fields) -> bodies.Release:
    return bodies.Release(**{**fields, 'slices': tuple(fields['slices'])})


def _checkpoint(fields: Fields) -> bodies.Checkpoint:
    return bodies.Checkpoint(**{**fields, 'records': tuple(fields['records'])})


class _Shape(typing.NamedTuple):
    fields: typing.Any
    build: typing.Callable[[Fields], bodies.Body]


_SAME_IN_BOTH: dict[str, _Shape] = {
    'movement': _Shape(
        wire.MovementFields, lambda fields: bodies.Movement(**fields)
    ),
    'upstream': _Shape(wire.UpstreamFields, _upstream),
    'mark': _Shape(wire.MarkFields, lambda fields: bodies.Mark(**fields)),
    'electors': _Shape(wire.ElectorsFields, _electors),
    'plan': _Shape(wire.PlanFields, _plan),
    'release': _Shape(wire.ReleaseFields, _release),
    'checkpoint': _Shape(wire.CheckpointFields, _checkpoint),
}
_SHAPES: dict[int, dict[str, _Shape]] = {
    1: {
        **_SAME_IN_BOTH,
        'service': _Shape(wire.ServiceFieldsV1, _service_v1),
    },
    2: {
        **_SAME_IN_BOTH,
        'service': _Shape(wire.ServiceFieldsV2, _service_v2),
    },
}
KINDS = tuple(sorted(_SHAPES[1]))


def decode(data: bytes | str) -> bodies.Record | errors.Refusal:
    """Decode one record of either schema version.

    Parameters
    ----------
    data : bytes or str
        JSON text of the record.

    Returns
    -------
    bodies.Record or errors.Refusal
        The record, or why it is refused. Never raises for bad input.
    """
    raw = data.encode() if isinstance(data, str) else data
    if len(raw) > MAX_RECORD_BYTES:
        return errors.OversizedRecord(
            f'the record has {len(raw)} bytes',
            f'keep it below {MAX_RECORD_BYTES} bytes',
        )
    try:
        envelope = msgspec.json.decode(raw, type=wire.Envelope)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return errors.MalformedRecord(
            str(error), 'see the record format in docs/records.md'
        )
    return _decode_body(envelope)


def _decode_body(envelope: wire.Envelope) -> bodies.Record | errors.Refusal:
    schema, kind = envelope['schema'], envelope['kind']
    if schema not in _SHAPES:
        return errors.UnknownSchema(
            f'schema version {schema}', f'use one of {SCHEMAS}'
        )
    shape = _SHAPES[schema].get(kind)
    if shape is None:
        return errors.UnknownKind(
            f'kind {kind!r}', f'use one of {", ".join(KINDS)}'
        )
    unknown = _unknown_fields(envelope['body'], shape.fields)
    if unknown:
        return errors.InvalidField(
            f'unknown field {unknown[0]!r} in the body of a {kind} record',
            f'remove it or use a schema version other than {schema}',
        )
    try:
        fields = msgspec.convert(envelope['body'], shape.fields)
    except msgspec.ValidationError as error:
        return errors.InvalidField(
            f'{kind} {envelope["name"]!r}: {error}',
            'correct the field that the path names',
        )
    body = shape.build(fields)
    refusal = check_body(body)
    if refusal is not None:
        return refusal
    rest = {key: value for key, value in envelope.items() if key != 'body'}
    record = bodies.Record(body=body, **rest)  # type: ignore[arg-type]
    return _check_versions(record)


def _unknown_fields(body: Fields, fields: typing.Any) -> list[str]:
    # msgspec ignores unknown keys of a TypedDict, so a misspelt option would
    # silently keep its default.
    return sorted(set(body) - set(typing.get_type_hints(fields)))


def _check_versions(record: bodies.Record) -> bodies.Record | errors.Refusal:
    if record.version > record.replaces:
        return record
    return errors.InvalidField(
        f'version {record.version} replaces {record.replaces}',
        'set version to a number above replaces',
    )


@functools.singledispatch
def check_body(body: object) -> errors.Refusal | None:
    """Return why the values of a body contradict each other, or None."""
    return None


@check_body.register
def _check_service(body: bodies.Service) -> errors.Refusal | None:
    if body.slices & (body.slices - 1) or body.slices > bodies.MAX_SLICES:
        return errors.InvalidField(
            f'slices is {body.slices}',
            f'use a power of two up to {bodies.MAX_SLICES}',
        )
    if body.limits.cold_slots > body.limits.slots:
        return errors.InvalidField(
            f'cold_slots {body.limits.cold_slots} is above slots',
            f'use at most {body.limits.slots}',
        )
    return None


@check_body.register
def _check_plan(body: bodies.Plan) -> errors.Refusal | None:
    known = len(body.upstreams)
    lists = [*body.slices, *body.hot_keys.values()]
    if any(not indices or max(indices) >= known for indices in lists):
        return errors.InvalidField(
            f'an index is missing or not below {known}',
            'list at least one upstream of the plan per slice',
        )
    if len(body.hot_keys) > bodies.MAX_HOT_KEYS:
        return errors.InvalidField(
            f'{len(body.hot_keys)} hot keys',
            f'assign at most {bodies.MAX_HOT_KEYS} keys on their own',
        )
    return None


@check_body.register
def _check_electors(body: bodies.Electors) -> errors.Refusal | None:
    names = [instance.name for instance in body.instances]
    if names and len(set(names)) == len(names):
        return None
    return errors.InvalidField(
        'the set of electors is empty or names an instance twice',
        'name each elector once',
    )


@check_body.register
def _check_checkpoint(body: bodies.Checkpoint) -> errors.Refusal | None:
    if body.chunk < body.chunks:
        return None
    return errors.InvalidField(
        f'chunk {body.chunk} of {body.chunks}', 'number chunks from 0'
    )


@functools.singledispatch
def body_fields(body: typing.Any, schema: int) -> dict[str, typing.Any]:
    """Return the JSON fields of a body in a schema version."""
    return dict(body._asdict())


@body_fields.register
def _service_fields(
    body: bodies.Service, schema: int
) -> dict[str, typing.Any]:
    fields = dict(body._asdict())
    limits = fields.pop('limits')
    if schema == 1:
        return {
            **fields,
            'slots': limits.slots,
            'connections': limits.connections,
        }
    return {**fields, 'limits': limits._asdict()}


@body_fields.register
def _upstream_fields(
    body: bodies.Upstream, schema: int
) -> dict[str, typing.Any]:
    fields = dict(body._asdict())
    limits = fields.pop('limits')
    return {**fields, 'limits': limits._asdict()} if limits else fields


@body_fields.register
def _plan_fields(body: bodies.Plan, schema: int) -> dict[str, typing.Any]:
    origins = [
        (number, *origin) for number, origin in sorted(body.origins.items())
    ]
    fields = dict(body._asdict(), origins=origins)
    if not origins:
        del fields['origins']
    return fields


def encode(record: bodies.Record) -> bytes:
    """Encode a record as JSON in the schema version that it names."""
    fields = dict(record._asdict())
    fields['body'] = body_fields(record.body, record.schema)
    return msgspec.json.encode(fields)
