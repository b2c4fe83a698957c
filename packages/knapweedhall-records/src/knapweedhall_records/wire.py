"""JSON fields of the records in each schema version."""

from __future__ import annotations

import typing

import msgspec

Name = typing.Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=200, pattern=r'^[\w.:/@-]+\Z'),
]
# Instances report the sum of all versions in 64 bits.
Positive = typing.Annotated[int, msgspec.Meta(ge=1, le=2**53)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0)]
# Callers send it in a header, in which spaces separate it from the scheme.
CallerKey = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=4096, pattern=r'^[!-~]+\Z')
]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]

# Fields of earlier releases that no longer have an effect. Records that have
# them stay valid, so that those in force need not be published again.
RETIRED: dict[str, frozenset[str]] = {
    'service': frozenset(
        (
            'slots',
            'slices',
            'partition_mode',
            'checks_tokens',
            'max_work_ms',
            'hedging',
            'customer_header',
            'kind_header',
            'kind_weights',
        )
    ),
    'limits': frozenset(
        ('slots', 'cold_slots', 'connect_cost_ms', 'probe_cost_ms')
    ),
    'mark': frozenset(('out_wait_ms',)),
}


class Envelope(typing.TypedDict):
    """Fields of every record; those of `body` depend on the kind."""

    kind: str
    schema: int
    name: Name
    version: Positive
    replaces: Count
    writer: Name
    incarnation: Count
    number: Count
    body: dict[str, typing.Any]


class LimitsFields(typing.TypedDict):
    """Limits of an upstream."""

    connections: Positive
    cold_per_s: typing.NotRequired[Rate]


class ServiceFields(typing.TypedDict):
    """Fields of a service that are common to both schema versions."""

    mode: typing.Literal['divided', 'choice']
    hosts: typing.NotRequired[list[Name]]
    idempotent_methods: typing.NotRequired[list[str]]
    default_timeout_ms: typing.NotRequired[Positive]
    objective_ms: typing.NotRequired[Positive]
    max_attempts: typing.NotRequired[Positive]
    priority: typing.NotRequired[Count]
    public: typing.NotRequired[bool]


class ServiceFieldsV1(ServiceFields):
    """Service in schema version 1, with the limits among the fields."""

    connections: Positive


class ServiceFieldsV2(ServiceFields):
    """Service in schema version 2, with the limits nested."""

    limits: LimitsFields


class MovementFields(typing.TypedDict, total=False):
    """Rules for moving the keys of a service."""

    hot_key_share: Share
    min_gain: Share
    cooldown_ms: Count
    max_moves: Count


class MarkFields(typing.TypedDict):
    """Mark of a failure domain or instance as in or out of service."""

    state: typing.Literal['in', 'out']


class WorkspaceFields(typing.TypedDict, total=False):
    """Keys and quota of a workspace."""

    keys: list[CallerKey]
    priority: Count | None
    rate_per_s: Rate
    burst: Rate
