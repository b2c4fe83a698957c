"""JSON shapes of the records, per schema version."""

from __future__ import annotations

import typing

import msgspec

Name = typing.Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=200, pattern=r'^[\w.:/@-]+$'),
]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Work = typing.Annotated[int, msgspec.Meta(ge=0, le=500)]
Cost = typing.Annotated[float, msgspec.Meta(ge=0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class Envelope(typing.TypedDict):
    """Fields that every record has; the kind decides about `body`."""

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

    slots: Positive
    connections: Positive
    cold_slots: typing.NotRequired[Positive]
    connect_cost_ms: typing.NotRequired[Cost]
    probe_cost_ms: typing.NotRequired[Cost]


class ServiceFields(typing.TypedDict):
    """Fields of a service that both schema versions share."""

    mode: typing.Literal['divided', 'choice']
    slices: typing.NotRequired[Positive]
    partition_mode: typing.NotRequired[typing.Literal['stay', 'handover']]
    checks_tokens: typing.NotRequired[bool]
    max_work_ms: typing.NotRequired[Work]
    default_timeout_ms: typing.NotRequired[Positive]
    idempotent_methods: typing.NotRequired[list[str]]
    hedging: typing.NotRequired[bool]
    customer_header: typing.NotRequired[str]
    kind_header: typing.NotRequired[str]
    kind_weights: typing.NotRequired[dict[str, Cost]]


class ServiceFieldsV1(ServiceFields):
    """Service in schema version 1: limits stand beside the other fields."""

    slots: Positive
    connections: Positive


class ServiceFieldsV2(ServiceFields):
    """Service in schema version 2: limits are nested."""

    limits: LimitsFields


class MovementFields(typing.TypedDict, total=False):
    """Rules for moving hot keys."""

    hot_key_share: Share
    min_gain: Share
    cooldown_ms: Count
    max_moves: Count


class UpstreamFields(typing.TypedDict):
    """What operators say of one upstream."""

    service: Name
    failure_domain: Name
    address: Name
    limits: typing.NotRequired[LimitsFields]


class MarkFields(typing.TypedDict):
    """Mark of a failure domain or instance."""

    state: typing.Literal['in', 'out']
    out_wait_ms: typing.NotRequired[Count]


class ElectorsFields(typing.TypedDict):
    """Electors of a group as (name, incarnation) pairs."""

    instances: list[tuple[Name, Count]]


class PlanFields(typing.TypedDict):
    """Assignment of a divided service."""

    upstreams: list[Name]
    slices: list[list[Count]]
    hot_keys: typing.NotRequired[dict[str, list[Count]]]
    origins: typing.NotRequired[list[tuple[Count, Name, Positive]]]


class ReleaseFields(typing.TypedDict):
    """Slices given up for another group."""

    service: Name
    plan_version: Positive
    group: Name
    slices: list[Count]


class CheckpointFields(typing.TypedDict):
    """One chunk of a checkpoint."""

    offset: Count
    chunk: Count
    chunks: Positive
    records: list[str]
