"""Decisions of a lease group's coordinator within one term."""

from __future__ import annotations

import typing

from knapweedhall_ownership import messages
from knapweedhall_records import bodies
from knapweedhall_records import ids

PROBE_S = 0.25
LOST_S = 0.5


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
    """Event: slices are taken out of the table; `reason` says why."""

    service: str
    slices: tuple[int, ...]
    upstream: str
    reason: str


class GroupRelease(typing.NamedTuple):
    """A release record to append: the slices left this group."""

    service: str
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
        To send; answer with `granted` or `grant_failed`.
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


class Coordinator:
    """One term of one group.

    Parameters
    ----------
    group : str
        Lease group.
    term : int
        Encoded term of the lease.
    started : float
        Time at which the lease was won, on the clock of this process.
    """

    def __init__(self, group: str, term: int, started: float) -> None:
        self.group = group
        self.term = term
        self.started = started

    def set_service(self, name: str, service: bodies.Service) -> None:
        """Take the record of a service that has upstreams in the group."""
        raise NotImplementedError

    def set_upstreams(
        self, now: float, upstreams: typing.Sequence[UpstreamView]
    ) -> None:
        """Take all upstreams of the group; those not named are gone."""
        raise NotImplementedError

    def set_instances(
        self, by_domain: typing.Mapping[str, typing.Sequence[ids.InstanceId]]
    ) -> None:
        """Take the live instances per failure domain, for the shares."""
        raise NotImplementedError

    def set_plan(
        self,
        now: float,
        service: str,
        first_slice: int,
        version: int,
        plan: bodies.Plan,
        elsewhere: typing.Mapping[int, str],
    ) -> None:
        """Take a plan, or one chunk of it, that is in force.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        service : str
            Service.
        first_slice : int
            First slice of the chunk.
        version : int
            Version of the record; older ones are ignored.
        plan : bodies.Plan
            The chunk.
        elsewhere : mapping of int to str
            Slices of this group that another group has yet to release.
        """
        raise NotImplementedError

    def release_read(
        self, service: str, group: str, slices: typing.Iterable[int]
    ) -> None:
        """Note a release record, of this or another group."""
        raise NotImplementedError

    def group_out(self, group: str) -> None:
        """Note that a group is marked out and `out_wait_ms` has passed."""
        raise NotImplementedError

    def clock_read(
        self, now: float, upstream: str, incarnation: int, clock_ms: int
    ) -> None:
        """Take the clock of an upstream from the response to a probe."""
        raise NotImplementedError

    def granted(
        self,
        now: float,
        upstream: str,
        number: int,
        answer: messages.GrantAnswer,
    ) -> None:
        """Take the answer to a grant."""
        raise NotImplementedError

    def grant_failed(self, now: float, upstream: str, number: int) -> None:
        """Note that a grant got no answer; it may still take effect."""
        raise NotImplementedError

    def grant_rejected(
        self, now: float, upstream: str, number: int, highest_term: int
    ) -> None:
        """Note that an upstream has seen a later term (409)."""
        raise NotImplementedError

    def released(self, now: float, upstream: str, number: int) -> None:
        """Note that an upstream runs no more work of the released slices."""
        raise NotImplementedError

    def release_failed(self, now: float, upstream: str, number: int) -> None:
        """Note that a release got no answer; it is repeated."""
        raise NotImplementedError

    def permit_request(
        self,
        now: float,
        lease_deadline: float,
        sender: ids.InstanceId,
        request: messages.PermitRequest,
    ) -> messages.PermitOffer | None:
        """Return the offer for a request, None without a lease."""
        raise NotImplementedError

    def step(self, now: float, lease_deadline: float) -> Orders:
        """Return what is due; nothing is given beyond `lease_deadline`."""
        raise NotImplementedError

    def close(self, now: float, deadline: float) -> None:
        """Bound all further permits and grants for a planned release."""
        raise NotImplementedError

    def quiet_at(self) -> float:
        """Return when all permits and grants given so far have ended."""
        raise NotImplementedError
