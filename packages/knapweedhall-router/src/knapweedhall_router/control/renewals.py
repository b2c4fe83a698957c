"""Renews the grants of one term."""

from __future__ import annotations

import typing

from knapweedhall_router.control import lease as lease_module
from knapweedhall_router.control import order_sender
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings

Announce = typing.Callable[[typing.Iterable[holdings.Holding]], None]


class Renewer:
    """Renews grants before they expire.

    Parameters
    ----------
    sender : order_sender.OrderSender
        Sends the grants.
    state : state.State
        State of the instance.
    lease : lease.Lease
        Lease of the coordinator.
    may_renew : callable
        Returns whether existing grants may be renewed now.
    """

    def __init__(
        self,
        sender: order_sender.OrderSender,
        state: state_module.State,
        lease: lease_module.Lease,
        may_renew: typing.Callable[[], bool],
    ) -> None:
        self.sender = sender
        self.state = state
        self.lease = lease
        self.may_renew = may_renew

    def due(
        self, service_holdings: holdings.Holdings, now: float
    ) -> list[list[holdings.Holding]]:
        """Return the ranges to renew now, in one list per upstream."""
        service_holdings.merge(now)
        due_by_upstream: dict[str, list[holdings.Holding]] = {}
        for holding in service_holdings.items:
            if (
                holding.upstream
                and not holding.moving
                and not holding.in_flight
            ):
                if holding.renew_at <= now and self.is_renewable(holding, now):
                    due_by_upstream.setdefault(holding.upstream, []).append(
                        holding
                    )
        return list(due_by_upstream.values())

    def is_renewable(self, holding: holdings.Holding, now: float) -> bool:
        """Return whether a grant may be sent to the holder of a range."""
        if not holding.upstream:
            return False
        if not holding.confirmed and self.lease.is_expired():
            # It needs a new token, so it would be a new grant, not a renewal.
            return False
        if self.sender.is_given_up(holding.upstream, now):
            return False
        entry = self.state.directory.entries.get(holding.upstream)
        return entry is not None and (
            not holding.born_ms or entry.born_ms == holding.born_ms
        )

    async def renew(
        self,
        service_holdings: holdings.Holdings,
        due: list[holdings.Holding],
        announce: Announce,
    ) -> None:
        """Renew the ranges of one upstream, one after the other.

        Parameters
        ----------
        service_holdings : holdings.Holdings
            All ranges of the service.
        due : list of holdings.Holding
            The ranges to renew.
        announce : callable
            Sends changed ranges to the instances.
        """
        for holding in due:
            # Checked directly before each grant is sent, as the process may
            # have been paused.
            if not self.may_renew() or holding.moving:
                return
            if holding not in service_holdings.items or holding.in_flight:
                continue
            is_new = not holding.confirmed and not holding.inherited
            accepted = await self.sender.grant(service_holdings, holding)
            if accepted and is_new:
                announce([holding])
            if not accepted:
                # The other grants would only wait for the same upstream.
                for other in due:
                    other.renew_at = max(other.renew_at, holding.renew_at)
                return
