"""Tests of moves of ranges."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router import lease
from knapweedhall_router import moves
from knapweedhall_router import order_sender
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from tests import fleet


class _Upstreams:
    """Take all orders."""

    def __init__(self) -> None:
        self.released = 0

    async def release(self, *order: typing.Any) -> outcomes.Released:
        """Release the keys."""
        self.released += 1
        return outcomes.Released('')


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Moves that would meet an outage of the store."""

    def lease(self) -> lease.Lease:
        """Return the lease of a tenure that no call confirms any more."""
        state = state_module.State(fleet.Fleet().new_settings())
        state.store_answered_at = clock.now() - 2 * lease.STORE_UNRESPONSIVE_S
        return lease.Lease(state, clock.now() + 60.0)

    async def test_quiet_store_ends_a_move_before_the_release(self) -> None:
        """Guards against keys without an owner for a whole outage.

        The new owner has to stand in the store before the grant. Seen on an
        incident of the second site: moves that began in the 1.1 s after the
        store had gone left one request in twelve without an owner for 8 s.
        """
        upstreams = _Upstreams()
        found = moves.Mover(
            typing.cast(typing.Any, None),
            order_sender.OrderSender(
                typing.cast(typing.Any, upstreams), holdings.FencingTokens(0)
            ),
            typing.cast(typing.Any, None),
            self.lease(),
        )
        ranges = holdings.Holdings('s')
        one = ranges.items[0]
        one.upstream, one.confirmed, one.moving = 'u', True, True
        one.held_until = float('inf')
        target = model.Upstream(
            'v', model.Address('h', 1), 's', 'a', 4, False, 0.0, 1
        )
        told: list[holdings.Holding] = []
        await found.move(ranges, one, target, told.extend)
        self.assertEqual(0, upstreams.released)
        self.assertEqual([one], told)
        self.assertEqual('u', one.to_owned_range().upstream)
