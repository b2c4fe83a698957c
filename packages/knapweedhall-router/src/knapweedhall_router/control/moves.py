"""Moves ranges of keys from one upstream to another."""

from __future__ import annotations

import asyncio
import typing

from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.control import lease as lease_module
from knapweedhall_router.control import order_sender
from knapweedhall_router import logs
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings
from knapweedhall_routing import model

# Pause before a release that was not confirmed is sent again. With the time
# limit of a release it is as long as a grant lasts, so that a silent upstream
# gets one or two releases per range.
RELEASE_RETRY_S = 1.5

Announce = typing.Callable[[typing.Iterable[holdings.Holding]], None]


class Mover:
    """Executes the moves of one term.

    Parameters
    ----------
    store : coordinator_store.CoordinatorStore
        Stores the assignments.
    sender : order_sender.OrderSender
        Sends grants and releases.
    state : state.State
        State of the instance.
    lease : lease.Lease
        Lease of the coordinator.

    Attributes
    ----------
    release_after : dict of str to float
        By upstream, when the next release may be sent after one that was not
        confirmed, seconds.
    """

    def __init__(
        self,
        store: coordinator_store.CoordinatorStore,
        sender: order_sender.OrderSender,
        state: state_module.State,
        lease: lease_module.Lease,
    ) -> None:
        self.store = store
        self.sender = sender
        self.state = state
        self.lease = lease
        self.release_after: dict[str, float] = {}

    def may_release(self, upstream: str, now: float) -> bool:
        """Return whether a release may be sent to an upstream."""
        return self.release_after.get(upstream, 0.0) <= now

    async def move(
        self,
        service_holdings: holdings.Holdings,
        holding: holdings.Holding,
        target: model.Upstream,
        announce: Announce,
    ) -> None:
        """Release a range, store its new owner and send the owner a grant.

        Parameters
        ----------
        service_holdings : holdings.Holdings
            All ranges of the service.
        holding : holdings.Holding
            The range, marked as moving.
        target : model.Upstream
            The new owner.
        announce : callable
            Sends changed ranges to the instances.
        """
        try:
            await self._move(service_holdings, holding, target, announce)
        except Exception:
            # A range that stays marked as moving would be neither renewed
            # nor planned for the rest of the term.
            self._abort(holding)
            raise

    async def _move(
        self,
        service_holdings: holdings.Holdings,
        holding: holdings.Holding,
        target: model.Upstream,
        announce: Announce,
    ) -> None:
        source = holding.upstream
        has_recovered = await self.sender.has_recovered(target, holding)
        # Checked directly before the release: upstreams obey releases of any
        # coordinator, so one that was replaced in the meantime would take
        # keys from an upstream to which its successor has granted them.
        if (
            not has_recovered
            or self.lease.is_expired()
            or self.lease.is_store_unresponsive()
        ):
            holding.moving, holding.target = False, ''
            announce([holding])
            return
        handover = await self._release(holding)
        if handover is None or self.lease.is_expired():
            self._abort(holding)
            return
        self._assign(service_holdings.service, holding, target, handover)
        await self.store.write_assignment(service_holdings)
        if self.lease.is_expired():
            self._abort(holding)
            return
        accepted = await self.sender.grant(service_holdings, holding)
        holding.moving, holding.target = False, ''
        if accepted:
            announce([holding])
        logs.info(
            'keys_moved',
            service=service_holdings.service,
            first=holding.first,
            last=holding.last,
            source=source,
            target=target.name,
            fence=holding.fence,
            accepted=accepted,
        )

    async def _release(self, holding: holdings.Holding) -> str | None:
        """Wait until nobody holds a range.

        Returns
        -------
        str or None
            Handover token of the holder's release; '' if there is none, as
            nobody held the range or its holder's process has ended; None if
            the holder did not confirm.
        """
        if holding.is_free(clock.now()):
            return ''
        outcome = await self.sender.release(holding)
        if isinstance(outcome, outcomes.UpstreamGone):
            return ''
        if isinstance(outcome, outcomes.Unconfirmed):
            self.release_after[holding.upstream] = (
                clock.now() + RELEASE_RETRY_S
            )
            return None
        # Grants that were never answered may still be executed.
        pause_s = holding.unanswered_until - clock.now()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        return outcome.handover

    def _assign(
        self,
        service: str,
        holding: holdings.Holding,
        target: model.Upstream,
        handover: str,
    ) -> None:
        holding.upstream, holding.address = target.name, target.address
        holding.born_ms = target.born_ms
        holding.confirmed = holding.inherited = False
        holding.handover = handover
        holding.needs_token = True
        holding.held_until = holding.unanswered_until = 0.0
        rules = self.state.movement_rules_for(service)
        holding.cooldown_until = clock.now() + rules.cooldown_s

    def _abort(self, holding: holdings.Holding) -> None:
        """Abort a move; the recorded holder may or may not hold the range."""
        holding.moving, holding.target = False, ''
        holding.confirmed = holding.inherited = False
        holding.needs_token = True
        holding.renew_at = 0.0
