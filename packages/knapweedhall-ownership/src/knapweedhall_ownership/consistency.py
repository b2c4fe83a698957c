"""Refuses records that contradict records in force of another kind.

The number of slices gives every slice number its meaning, so a service keeps
it for life, and a plan for another number is refused. Otherwise two instances
could use the same slice number for different ranges of keys.
"""

from __future__ import annotations

import functools
import typing

from knapweedhall_ownership import placement
from knapweedhall_records import bodies
from knapweedhall_records import errors

Get = typing.Callable[[str, str], bodies.Record | None]


def check(record: bodies.Record, get: Get) -> errors.Refusal | None:
    """Return why a record cannot come into force, None if it can.

    Parameters
    ----------
    record : bodies.Record
        Record whose predecessor is in force.
    get : callable
        Returns the record in force of a kind and name, or None.
    """
    return check_body(record.body, record, get)


@functools.singledispatch
def check_body(
    body: object, record: bodies.Record, get: Get
) -> errors.Refusal | None:
    """Return why a body contradicts what is in force, or None."""
    return None


@check_body.register
def _check_service(
    body: bodies.Service, record: bodies.Record, get: Get
) -> errors.Refusal | None:
    current = get('service', record.name)
    if current is None or not isinstance(current.body, bodies.Service):
        return None
    before = current.body
    if (body.mode, body.slices) == (before.mode, before.slices):
        return None
    return errors.InvalidField(
        f'service {record.name!r} has mode {body.mode} and {body.slices} '
        f'slices; {before.mode} and {before.slices} are in force',
        'publish a service with another name and move the callers',
    )


@check_body.register
def _check_plan(
    body: bodies.Plan, record: bodies.Record, get: Get
) -> errors.Refusal | None:
    name, _, first = record.name.rpartition('/')
    if not (name and first.isdecimal()):
        name, first = record.name, '0'
    service = get('service', name)
    if service is None or not isinstance(service.body, bodies.Service):
        return errors.InvalidField(
            f'plan {record.name!r} names no service in force',
            'publish the service first',
        )
    wanted = min(placement.PLAN_CHUNK, service.body.slices - int(first))
    if len(body.slices) == wanted:
        return None
    return errors.InvalidField(
        f'plan {record.name!r} has {len(body.slices)} slices; '
        f'the service needs {wanted} from there',
        f'list {wanted} slices',
    )
