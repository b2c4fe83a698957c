"""Decoding, validation and encoding of records."""

from __future__ import annotations

import functools
import typing

import msgspec

from knapweedhall_records import bodies
from knapweedhall_records import errors
from knapweedhall_records import wire

MAX_RECORD_BYTES = 65536
SCHEMAS = (1, 2)
# A mark's name states what it marks.
MARK_PREFIXES = ('domain/', 'instance/')

Fields = typing.Mapping[str, typing.Any]


def _service_v1(fields: Fields) -> bodies.Service:
    rest = dict(fields)
    return _service(rest, bodies.Limits(rest.pop('connections')))


def _service_v2(fields: Fields) -> bodies.Service:
    rest = dict(fields)
    return _service(rest, bodies.Limits(**rest.pop('limits')))


def _service(rest: Fields, limits: bodies.Limits) -> bodies.Service:
    values = dict(rest)
    for name in ('hosts', 'idempotent_methods'):
        if name in values:
            values[name] = tuple(values[name])
    service = bodies.Service(limits=limits, **values)
    if 'objective_ms' in values:
        return service
    objective_ms = min(service.objective_ms, service.default_timeout_ms)
    return service._replace(objective_ms=objective_ms)


def _workspace(fields: Fields) -> bodies.Workspace:
    rest = dict(fields)
    return bodies.Workspace(tuple(rest.pop('keys', ())), **rest)


class _BodyFormat(typing.NamedTuple):
    """JSON fields of a body, and the function that builds it from them."""

    fields: typing.Any
    build: typing.Callable[[Fields], bodies.Body]


_COMMON_FORMATS: dict[str, _BodyFormat] = {
    'movement': _BodyFormat(
        wire.MovementFields, lambda fields: bodies.Movement(**fields)
    ),
    'mark': _BodyFormat(wire.MarkFields, lambda fields: bodies.Mark(**fields)),
}
_FORMATS: dict[int, dict[str, _BodyFormat]] = {
    1: {
        **_COMMON_FORMATS,
        'service': _BodyFormat(wire.ServiceFieldsV1, _service_v1),
    },
    2: {
        **_COMMON_FORMATS,
        'service': _BodyFormat(wire.ServiceFieldsV2, _service_v2),
        'workspace': _BodyFormat(wire.WorkspaceFields, _workspace),
    },
}
KINDS = tuple(sorted(_FORMATS[2]))


def decode(data: bytes | str) -> bodies.Record | errors.Refusal:
    """Decode one record of either schema version.

    Parameters
    ----------
    data : bytes or str
        JSON text of the record.

    Returns
    -------
    bodies.Record or errors.Refusal
        The record, or why it is rejected. Invalid input never raises.
    """
    try:
        return _decode(data.encode() if isinstance(data, str) else data)
    except Exception as error:
        # Whoever writes a record chooses which library fails, and how.
        return errors.MalformedRecord(
            f'{type(error).__name__}: {error}',
            'see the record format in docs/records.md',
        )


def _decode(raw: bytes) -> bodies.Record | errors.Refusal:
    if len(raw) > MAX_RECORD_BYTES:
        return errors.OversizedRecord(
            f'the record has {len(raw)} bytes',
            f'use at most {MAX_RECORD_BYTES} bytes',
        )
    return _decode_body(msgspec.json.decode(raw, type=wire.Envelope))


def _decode_body(envelope: wire.Envelope) -> bodies.Record | errors.Refusal:
    schema, kind = envelope['schema'], envelope['kind']
    if schema not in _FORMATS:
        return errors.UnknownSchema(
            f'schema version {schema} is not supported',
            f'use one of {SCHEMAS}',
        )
    body_format = _FORMATS[schema].get(kind)
    if body_format is None:
        return errors.UnknownKind(
            f'kind {kind!r} is not known in schema version {schema}',
            f'use one of {", ".join(sorted(_FORMATS[schema]))}',
        )
    raw_body = remove_retired(kind, envelope['body'])
    unknown = _unknown_fields(raw_body, body_format.fields)
    if unknown:
        return errors.InvalidField(
            f'unknown field {unknown[0]!r} in the body of a {kind} record',
            f'remove it or use a schema version other than {schema}',
        )
    try:
        fields = msgspec.convert(raw_body, body_format.fields)
    except msgspec.ValidationError as error:
        return errors.InvalidField(
            f'{kind} {envelope["name"]!r}: {error}',
            'correct the field at the path in the reason',
        )
    body = body_format.build(fields)
    refusal = check_body(body, envelope['name'])
    if refusal is not None:
        return refusal
    rest = {key: value for key, value in envelope.items() if key != 'body'}
    record = bodies.Record(body=body, **rest)  # type: ignore[arg-type]
    return _check_versions(record)


def remove_retired(kind: str, body: Fields) -> dict[str, typing.Any]:
    """Return the fields of a body without the retired ones."""
    retired = wire.RETIRED.get(kind, frozenset())
    kept = {name: body[name] for name in body if name not in retired}
    limits = kept.get('limits')
    if kind == 'service' and isinstance(limits, dict):
        kept['limits'] = remove_retired('limits', limits)
    return kept


def retired_fields(kind: str, body: Fields) -> list[str]:
    """Return the names of the retired fields of a body."""
    names = sorted(set(body) & wire.RETIRED.get(kind, frozenset()))
    limits = body.get('limits')
    if kind == 'service' and isinstance(limits, dict):
        nested = set(limits) & wire.RETIRED['limits']
        names += sorted(f'limits.{name}' for name in nested)
    return names


def _unknown_fields(body: Fields, fields: typing.Any) -> list[str]:
    # msgspec ignores unknown keys of a TypedDict, so a misspelled field would
    # silently keep its default.
    unknown = set(body) - set(typing.get_type_hints(fields))
    limits = body.get('limits')
    if isinstance(limits, dict):
        unknown |= set(limits) - set(typing.get_type_hints(wire.LimitsFields))
    return sorted(unknown)


def _check_versions(record: bodies.Record) -> bodies.Record | errors.Refusal:
    if record.version > record.replaces:
        return record
    return errors.InvalidField(
        f'version {record.version} is not above replaces {record.replaces}',
        'set version to a number above replaces',
    )


@functools.singledispatch
def check_body(body: object, name: str) -> errors.Refusal | None:
    """Return why a body's values contradict each other or the record's name.

    None means that they don't.
    """
    return None


@check_body.register
def _check_service(body: bodies.Service, name: str) -> errors.Refusal | None:
    if body.objective_ms <= body.default_timeout_ms:
        return None
    return errors.InvalidField(
        f'objective_ms {body.objective_ms} is above default_timeout_ms',
        f'use at most {body.default_timeout_ms}',
    )


@check_body.register
def _check_mark(body: bodies.Mark, name: str) -> errors.Refusal | None:
    if name.startswith(MARK_PREFIXES):
        return None
    return errors.InvalidField(
        f'mark {name!r} names neither a failure domain nor an instance',
        'name it domain/NAME or instance/NAME',
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
    if not body.public:
        # Earlier releases reject a record with this field.
        del fields['public']
    if schema == 1:
        return {**fields, 'connections': limits.connections}
    return {**fields, 'limits': limits._asdict()}


def encode(record: bodies.Record) -> bytes:
    """Encode a record as JSON in its schema version."""
    fields = dict(record._asdict())
    fields['body'] = body_fields(record.body, record.schema)
    return msgspec.json.encode(fields)
