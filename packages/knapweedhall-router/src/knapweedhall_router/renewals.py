"""Renews the grants of one tenure."""

from __future__ import annotations

import typing

from knapweedhall_router import lease as lease_module
from knapweedhall_router import order_sender
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings

Announce = typing.Callable[[typing.Iterable[holdings.Holding]], None]


class Renewer:
    """Sends grants again before they end.

    Parameters
    ----------
    orders, state, lease
        Orders to upstreams, what the instance knows, how long the tenure
        lasts.
    may_renew : callable
        Tells whether grants that exist may still be renewed.
    """

    def __init__(
        self,
        orders: order_sender.OrderSender,
        state: state_module.State,
        lease: lease_module.Lease,
        may_renew: typing.Callable[[], bool],
    ) -> None:
        self.orders = orders
        self.state = state
        self.lease = lease
        self.may_renew = may_renew

    def due(
        self, ranges: holdings.Holdings, now: float
    ) -> list[list[holdings.Holding]]:
        """Return the ranges to renew now, for one upstream each."""
        ranges.merge(now)
        found: dict[str, list[holdings.Holding]] = {}
        for one in ranges.items:
            if one.upstream and not one.moving and not one.in_flight:
                if one.renew_at <= now and self._may_hold(one, now):
                    found.setdefault(one.upstream, []).append(one)
        return list(found.values())

    def _may_hold(self, one: holdings.Holding, now: float) -> bool:
        """Return whether a grant may be sent to the range's holder."""
        if not one.confirmed and self.lease.is_expired():
            # A new token would be a new grant.
            return False
        if self.orders.is_given_up(one.upstream, now):
            return False
        entry = self.state.directory.entries.get(one.upstream)
        return entry is not None and (
            not one.born_ms or entry.born_ms == one.born_ms
        )

    async def renew(
        self,
        ranges: holdings.Holdings,
        due: list[holdings.Holding],
        announce: Announce,
    ) -> None:
        """Renew the ranges of one upstream, one after the other."""
        for one in due:
            # The check and the write that follows it belong together, as the
            # process may have been paused before.
            if not self.may_renew() or one.moving:
                return
            if one not in ranges.items or one.in_flight:
                continue
            fresh = not one.confirmed and not one.inherited
            accepted = await self.orders.grant(ranges, one)
            if accepted and fresh:
                announce([one])
            if not accepted:
                # The others would wait for the same upstream.
                for other in due:
                    other.renew_at = max(other.renew_at, one.renew_at)
                return
