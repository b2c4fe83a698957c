"""Send permits on the side of the instance that uses them."""

from __future__ import annotations

import typing

from knapweedhall_ownership import messages
from knapweedhall_records import ids


class Route(typing.NamedTuple):
    """Where a request goes.

    Attributes
    ----------
    slice : int
        Slice number.
    upstream : str
        Owner of the slice.
    token : ids.Token
        Token of the activation.
    deadline : float
        End of the permit on this instance's clock in seconds.
    """

    slice: int
    upstream: str
    token: ids.Token
    deadline: float


class NoRoute(typing.NamedTuple):
    """Why a request cannot be sent: 'no-permit' or 'no-owner'."""

    reason: str


class PermitTable:
    """Send permit of one group.

    Parameters
    ----------
    group : str
        Lease group.
    """

    def __init__(self, group: str) -> None:
        self.group = group

    def set_service(
        self, service_name: str, slices: int, checks_tokens: bool
    ) -> None:
        """Take the number of slices and the kind of a service."""
        raise NotImplementedError

    def request(
        self,
        now: float,
        demand: dict[str, float],
        hottest: dict[str, list[tuple[str, float]]],
    ) -> messages.PermitRequest:
        """Return the next numbered request, which is sent at `now`."""
        raise NotImplementedError

    def take(self, now: float, offer: messages.PermitOffer) -> bool:
        """Take an offer; return whether the next request is due at once.

        That is when the table has changed, as a move waits for the
        acknowledgement.
        """
        raise NotImplementedError

    def route(
        self, now: float, service_name: str, key: str
    ) -> Route | NoRoute:
        """Return the owner of a key."""
        raise NotImplementedError

    def still_valid(self, now: float, service_name: str, route: Route) -> bool:
        """Return whether a route may be used, checked before the write."""
        raise NotImplementedError

    def begin(self, service_name: str, route: Route, deadline: float) -> None:
        """Note a request that is about to be written.

        `deadline` is the one that it carries; the upstream refuses to start
        the work after it.
        """
        raise NotImplementedError

    def finish(self, service_name: str, route: Route, deadline: float) -> None:
        """Note that a request was answered completely."""
        raise NotImplementedError

    def share(self, now: float, upstream: str) -> messages.Share:
        """Return this instance's share of an upstream, zero without one."""
        raise NotImplementedError
