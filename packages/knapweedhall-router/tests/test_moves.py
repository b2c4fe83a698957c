"""Tests of moves of ranges."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router.control import lease
from knapweedhall_router.control import moves
from knapweedhall_router.control import order_sender
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from tests import fleet


class _Upstreams:
    """Test double of the order client whose upstreams accept all orders."""

    def __init__(self) -> None:
        self.released = 0

    async def release(self, *order: typing.Any) -> outcomes.Released:
        """Count and confirm a release."""
        self.released += 1
        return outcomes.Released('')


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Moves that begin during an outage of the store."""

    def lease(self) -> lease.Lease:
        """Return a valid lease while the store does not answer."""
        state = state_module.State(fleet.Fleet().new_settings())
        state.store_answered_at = (
            clock.now() - 2 * lease.MAX_STORE_ANSWER_AGE_S
        )
        return lease.Lease(state, clock.now() + 60.0)

    async def test_unresponsive_store_ends_a_move_before_the_release(
        self,
    ) -> None:
        """Guards against keys without an owner during a whole outage.

        The new owner must be stored before it gets a grant. In an incident
        at the second site, moves that began within 1.1 s after the store
        failed left one request in twelve without an owner for 8 s.
        """
        upstreams = _Upstreams()
        mover = moves.Mover(
            typing.cast(typing.Any, None),
            order_sender.OrderSender(
                typing.cast(typing.Any, upstreams), holdings.FencingTokens(0)
            ),
            typing.cast(typing.Any, None),
            self.lease(),
        )
        service_holdings = holdings.Holdings('s')
        holding = service_holdings.items[0]
        holding.upstream, holding.confirmed, holding.moving = 'u', True, True
        holding.held_until = float('inf')
        target = model.Upstream(
            'v', model.Address('h', 1), 's', 'a', 4, False, 0.0, 1
        )
        announced: list[holdings.Holding] = []
        await mover.move(service_holdings, holding, target, announced.extend)
        self.assertEqual(0, upstreams.released)
        self.assertEqual([holding], announced)
        self.assertEqual('u', holding.to_owned_range().upstream)


class FailedMoveTest(unittest.IsolatedAsyncioTestCase):
    """Moves that end with an error nobody expected."""

    async def test_range_is_not_marked_as_moving(self) -> None:
        """Guards against keys without an owner for the rest of the term.

        A range that is marked as moving is neither renewed nor planned.
        """

        async def fail(*order: typing.Any) -> outcomes.Released:
            raise OverflowError('port must be 0-65535')

        upstreams = _Upstreams()
        upstreams.release = fail  # type: ignore[method-assign]
        state = state_module.State(fleet.Fleet().new_settings())
        state.store_answered_at = clock.now() + 60.0
        mover = moves.Mover(
            typing.cast(typing.Any, None),
            order_sender.OrderSender(
                typing.cast(typing.Any, upstreams), holdings.FencingTokens(0)
            ),
            state,
            lease.Lease(state, clock.now() + 60.0),
        )
        service_holdings = holdings.Holdings('s')
        holding = service_holdings.items[0]
        holding.upstream, holding.confirmed, holding.moving = 'u', True, True
        holding.held_until = float('inf')
        target = model.Upstream(
            'v', model.Address('h', 1), 's', 'a', 4, False, 0.0, 1
        )
        with self.assertRaises(OverflowError):
            await mover.move(
                service_holdings, holding, target, lambda changed: None
            )
        self.assertFalse(holding.moving)


class UnansweredCheckTest(unittest.IsolatedAsyncioTestCase):
    """An upstream whose check is executed, but not answered."""

    async def test_grant_after_the_check(self) -> None:
        """Guards against a renewal that its holder rejects as too old.

        The keys had expired at their holder, which was to get them again. It
        had seen the check's token; its rejection ended the term.
        """
        tokens: list[int] = []

        async def execute(
            address: model.Address,
            upstream: str,
            keys: model.KeyRange,
            token: int,
            *others: object,
        ) -> outcomes.Unconfirmed:
            tokens.append(token)
            return outcomes.Unconfirmed('answer lost')

        sender = order_sender.OrderSender(
            mock.Mock(release=execute, grant=execute),
            holdings.FencingTokens(0),
        )
        state = state_module.State(fleet.Fleet().new_settings())
        state.store_answered_at = clock.now() + 60.0
        mover = moves.Mover(
            mock.AsyncMock(),
            sender,
            state,
            lease.Lease(state, clock.now() + 60.0),
        )
        service_holdings = holdings.Holdings('s')
        holding = service_holdings.items[0]
        holding.upstream = 'u'
        await sender.grant(service_holdings, holding)
        holding.held_until = holding.unanswered_until = 0.0
        service_holdings.record_accepted(
            service_holdings.record_sent(holding, sender.fences, -9.0)
        )
        target = model.Upstream(
            'u', model.Address('h', 1), 's', 'a', 4, False, 0.0, 1
        )
        holding.moving = True
        await mover.move(
            service_holdings, holding, target, lambda changed: None
        )
        await sender.grant(service_holdings, holding)
        self.assertEqual(3, len(tokens))
        self.assertEqual(sorted(set(tokens)), tokens)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """A coordinator whose lease ends while it checks an upstream."""

    async def test_no_release_after_the_lease(self) -> None:
        """Guards against an order that takes keys from the next owner.

        Upstreams obey releases of any coordinator. The successor may have
        granted the keys again to their holder.
        """
        upstreams = _Upstreams()
        sender = order_sender.OrderSender(
            typing.cast(typing.Any, upstreams), holdings.FencingTokens(0)
        )
        state = state_module.State(fleet.Fleet().new_settings())
        state.store_answered_at = clock.now() + 60.0
        term_lease = lease.Lease(state, clock.now() + 60.0)

        async def check_and_expire(*arguments: typing.Any) -> bool:
            term_lease.expires_at = clock.now()
            return True

        sender.has_recovered = (  # type: ignore[method-assign]
            check_and_expire
        )
        mover = moves.Mover(
            typing.cast(typing.Any, None), sender, state, term_lease
        )
        service_holdings = holdings.Holdings('s')
        holding = service_holdings.items[0]
        holding.upstream, holding.confirmed, holding.moving = 'u', True, True
        holding.held_until = float('inf')
        target = model.Upstream(
            'v', model.Address('h', 1), 's', 'a', 4, False, 0.0, 1
        )
        await mover.move(
            service_holdings, holding, target, lambda changed: None
        )
        self.assertEqual(0, upstreams.released)
        self.assertEqual('u', holding.to_owned_range().upstream)
