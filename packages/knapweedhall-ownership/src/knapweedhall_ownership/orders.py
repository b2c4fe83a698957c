"""What a coordinator is told of upstreams and what it gives out."""

from __future__ import annotations

import typing

from knapweedhall_ownership import messages
from knapweedhall_records import bodies
from knapweedhall_records import ids


class UpstreamView(typing.NamedTuple):
    """An upstream as the list, the records and the marks describe it.

    `state` is 'live', 'leaving' or 'out' ('out' also for a failure domain
    that is marked out).
    """

    name: str
    service: str
    failure_domain: str
    state: str
    limits: bodies.Limits


class GrantOrder(typing.NamedTuple):
    """Grant to send; `number` identifies the answer."""

    upstream: str
    number: int
    body: messages.GrantBody


class ReleaseOrder(typing.NamedTuple):
    """Release to send; `number` identifies the answer."""

    upstream: str
    number: int
    body: messages.ReleaseBody


class Activation(typing.NamedTuple):
    """Event: an upstream becomes the owner of slices under a new token."""

    service: str
    slices: tuple[int, ...]
    upstream: str
    token: ids.Token


class Withdrawal(typing.NamedTuple):
    """Event: slices are taken out of the table.

    `reason` is lost, leaving, out, gone, plan, moved or hot-key.
    """

    service: str
    slices: tuple[int, ...]
    upstream: str
    reason: str


class GroupRelease(typing.NamedTuple):
    """A release record to append: the slices left this group.

    `plan` is the name of the plan record and `plan_version` its version; the
    release is named ``plan/plan_version/group``.
    """

    service: str
    plan: str
    plan_version: int
    slices: tuple[int, ...]


Event = Activation | Withdrawal


class Orders(typing.NamedTuple):
    """What has to be sent, appended and recorded after a step.

    Attributes
    ----------
    probes : list of str
        Upstreams whose clock is unknown: GET /knapweedhall/health, then
        `clock_read`.
    grants : list of GrantOrder
        To send; answer with `granted`, `grant_failed` or `grant_rejected`.
    releases : list of ReleaseOrder
        To send; answer with `released` or `release_failed`.
    offers : list of (ids.InstanceId, PermitOffer)
        To send to instances whose table has changed.
    group_releases : list of GroupRelease
        Records to append; repeated until the release is read.
    events : list of Event
        For the trace.
    """

    probes: list[str]
    grants: list[GrantOrder]
    releases: list[ReleaseOrder]
    offers: list[tuple[ids.InstanceId, messages.PermitOffer]]
    group_releases: list[GroupRelease]
    events: list[Event]
