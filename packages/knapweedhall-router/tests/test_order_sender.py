"""Tests of what a coordinator books after an order."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router import moves
from knapweedhall_router import order_sender
from knapweedhall_routing import holdings
from knapweedhall_routing import model


class _Client:
    """Stands in for upstreams that all give one answer."""

    def __init__(self, outcome: outcomes.GrantOutcome) -> None:
        self.outcome = outcome

    async def grant(self, *order: typing.Any) -> outcomes.GrantOutcome:
        """Return the answer."""
        return self.outcome

    async def release(self, *order: typing.Any) -> outcomes.GrantOutcome:
        """Return the same answer."""
        return self.outcome


class GrantTest(unittest.IsolatedAsyncioTestCase):
    """Renewals of a grant that ends soon."""

    async def _renew(self, outcome: outcomes.GrantOutcome) -> float:
        """Return for how long the range is bound to its holder."""
        ranges = holdings.Holdings('s')
        one = ranges.items[0]
        one.upstream = 'u'
        one.address = model.Address('127.0.0.1', 9)
        one.held_until = clock.now() + 0.1
        client = typing.cast(typing.Any, _Client(outcome))
        self.orders = order_sender.OrderSender(
            client, holdings.FencingTokens(0)
        )
        await self.orders.grant(ranges, one)
        return max(one.held_until, one.unanswered_until) - clock.now()

    async def test_renewal_that_was_not_sent_binds_no_longer(self) -> None:
        """Guards against keys that wait for a grant which never left."""
        unsent = outcomes.Unconfirmed('not connected', in_doubt=False)
        self.assertLess(await self._renew(unsent), 0.2)

    async def test_holder_that_is_gone_binds_nothing(self) -> None:
        """Guards against keys that stay with a process which has ended."""
        self.assertLess(await self._renew(outcomes.UpstreamGone()), 0.0)

    async def test_release_by_another_process_frees_the_keys(self) -> None:
        """Guards against keys that wait for the hold of a dead process."""
        one = holdings.Holding(0, 9, 'u', held_until=clock.now() + 3.0)
        one.unanswered_until = one.held_until
        client = typing.cast(typing.Any, _Client(outcomes.UpstreamGone()))
        found = moves.Mover(
            typing.cast(typing.Any, None),
            order_sender.OrderSender(client, holdings.FencingTokens(0)),
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
        )
        begun = clock.now()
        self.assertEqual('', await found._free(one))
        self.assertLess(clock.now() - begun, 0.2)

    async def test_higher_token_ends_the_tenure(self) -> None:
        """Guards against a coordinator that goes on beside the next one."""
        await self._renew(outcomes.Fenced())
        self.assertTrue(self.orders.fenced)

    async def test_renewal_in_doubt_binds(self) -> None:
        """Guards against two owners after a grant without an answer."""
        lost = outcomes.Unconfirmed('TimeoutError')
        self.assertGreater(await self._renew(lost), holdings.GRANT_DURATION_S)
