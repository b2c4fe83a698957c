"""Moves a range of keys from one upstream to another."""

from __future__ import annotations

import asyncio
import typing

from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router import coordinator_store
from knapweedhall_router import lease as lease_module
from knapweedhall_router import logs
from knapweedhall_router import order_sender
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings
from knapweedhall_routing import model

# Pause before a release without an answer is tried again. With its time-out it
# lasts as long as a hold: a silent upstream is asked once or twice per range.
RELEASE_RETRY_S = 1.5

Announce = typing.Callable[[typing.Iterable[holdings.Holding]], None]


class Mover:
    """Carries out the moves of one tenure.

    Parameters
    ----------
    ledger, orders, state, lease
        Assignments in the store, orders to upstreams, what the instance
        knows, how long the tenure lasts.
    """

    def __init__(
        self,
        store: coordinator_store.CoordinatorStore,
        orders: order_sender.OrderSender,
        state: state_module.State,
        lease: lease_module.Lease,
    ) -> None:
        self.store = store
        self.orders = orders
        self.state = state
        self.lease = lease
        self.release_after: dict[str, float] = {}

    def may_release(self, upstream: str, now: float) -> bool:
        """Return whether a release may be tried at an upstream again."""
        return self.release_after.get(upstream, 0.0) <= now

    async def move(
        self,
        ranges: holdings.Holdings,
        one: holdings.Holding,
        target: model.Upstream,
        announce: Announce,
    ) -> None:
        """Give a range to another upstream once its holder has lost it.

        Parameters
        ----------
        ranges : holdings.Holdings
            All ranges of the service.
        one : holdings.Holding
            The range, marked as moving.
        target : model.Upstream
            Who gets it.
        announce : callable
            Tells the instances about ranges.
        """
        source = one.upstream
        keys = model.KeyRange(one.first, one.last)
        proved = await self.orders.prove(target, keys)
        if not proved or self.lease.is_store_unresponsive():
            one.moving, one.target = False, ''
            announce([one])
            return
        handover = await self._free(one)
        if handover is None or self.lease.is_expired():
            self._keep(one)
            return
        self._assign(ranges.service, one, target, handover)
        await self.store.write(ranges)
        if self.lease.is_expired():
            self._keep(one)
            return
        accepted = await self.orders.grant(ranges, one)
        one.moving, one.target = False, ''
        if accepted:
            announce([one])
        logs.info(
            'keys_moved',
            service=ranges.service,
            first=one.first,
            last=one.last,
            source=source,
            target=target.name,
            fence=one.fence,
            accepted=accepted,
        )

    async def _free(self, one: holdings.Holding) -> str | None:
        """Wait until nobody holds a range.

        Returns
        -------
        str or None
            Proof of the holder's release, '' if there is none to be had;
            None if the holder did not answer.
        """
        if one.is_free(clock.now()):
            return ''
        released = await self.orders.release(one)
        if isinstance(released, outcomes.UpstreamGone):
            return ''
        if isinstance(released, outcomes.Unconfirmed):
            self.release_after[one.upstream] = clock.now() + RELEASE_RETRY_S
            return None
        # Grants that were never answered may still be carried out.
        pause = one.unanswered_until - clock.now()
        if pause > 0:
            await asyncio.sleep(pause)
        return released.handover

    def _assign(
        self,
        service: str,
        one: holdings.Holding,
        target: model.Upstream,
        handover: str,
    ) -> None:
        one.upstream, one.address = target.name, target.address
        one.born_ms = target.born_ms
        one.confirmed = one.inherited = False
        one.handover = handover
        one.fence = self.orders.fences.next()
        one.held_until = one.unanswered_until = 0.0
        rules = self.state.movement(service)
        one.cooldown_until = clock.now() + rules.cooldown_s

    def _keep(self, one: holdings.Holding) -> None:
        """Leave a range to its holder, which may or may not hold it."""
        one.moving, one.target = False, ''
        one.confirmed = one.inherited = False
        one.fence = 0
        one.renew_at = 0.0
