"""Tests of how a coordinator records the outcomes of orders."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router.control import moves
from knapweedhall_router.control import order_sender
from knapweedhall_routing import holdings
from knapweedhall_routing import model


class _OrderClient:
    """Test double of the order client with a fixed outcome."""

    def __init__(self, outcome: outcomes.GrantOutcome) -> None:
        self.outcome = outcome

    async def grant(self, *order: typing.Any) -> outcomes.GrantOutcome:
        """Return the outcome."""
        return self.outcome

    async def release(self, *order: typing.Any) -> outcomes.GrantOutcome:
        """Return the outcome."""
        return self.outcome


class _Recorder:
    """Test double of the order client that records the tokens of orders.

    Attributes
    ----------
    outcome : outcomes.GrantOutcome
        Outcome of all orders.
    tokens : list of int
        Tokens in the order in which they were sent.
    """

    def __init__(self) -> None:
        self.outcome: outcomes.GrantOutcome = outcomes.Granted()
        self.tokens: list[int] = []

    async def grant(
        self,
        address: model.Address,
        upstream: str,
        keys: model.KeyRange,
        token: int,
        *others: object,
    ) -> outcomes.GrantOutcome:
        """Record the token of a grant."""
        self.tokens.append(token)
        return self.outcome

    release = grant


class MergedRangeTest(unittest.IsolatedAsyncioTestCase):
    """Neighboring ranges of one upstream, granted one after the other."""

    def setUp(self) -> None:
        """Create two ranges whose holder has accepted no grant yet."""
        self.client = _Recorder()
        self.sender = order_sender.OrderSender(
            typing.cast(typing.Any, self.client), holdings.FencingTokens(0)
        )
        self.holdings = holdings.Holdings('s')
        self.holdings.items[0].upstream = 'u'
        self.left = self.holdings.split(0, 99)
        self.right = self.holdings.items[1]

    async def _renew(self) -> None:
        self.holdings.merge(clock.now())
        for holding in self.holdings.items:
            await self.sender.grant(self.holdings, holding)

    async def test_range_whose_renewal_failed(self) -> None:
        """Guards against a merged range under its neighbor's older token.

        Another upstream had the range in between, under a token that lies
        between the two (review/7).
        """
        await self.sender.grant(self.holdings, self.right)
        between = self.sender.fences.next()
        await self.sender.grant(self.holdings, self.left)
        self.client.outcome = outcomes.Unconfirmed('refused', in_doubt=False)
        await self.sender.grant(self.holdings, self.left)
        self.client.outcome = outcomes.Granted()
        await self._renew()
        self.assertEqual(1, len(self.holdings.items))
        self.assertGreater(self.client.tokens[-1], between)

    async def test_merged_range_has_a_token_of_its_own(self) -> None:
        """Guards against one token for different ranges.

        A holder that started again under its ID would accept it for keys that
        its earlier life had under the same token.
        """
        await self.sender.grant(self.holdings, self.left)
        await self.sender.grant(self.holdings, self.right)
        earlier = max(self.client.tokens)
        await self._renew()
        self.assertEqual(1, len(self.holdings.items))
        self.assertGreater(self.client.tokens[-1], earlier)
        await self._renew()
        self.assertEqual(self.client.tokens[-2], self.client.tokens[-1])


class GrantTest(unittest.IsolatedAsyncioTestCase):
    """Renewals of a grant that expires soon."""

    async def _renew(self, outcome: outcomes.GrantOutcome) -> float:
        """Return for how long the range may be held after a renewal."""
        service_holdings = holdings.Holdings('s')
        holding = service_holdings.items[0]
        holding.upstream = 'u'
        holding.address = model.Address('127.0.0.1', 9)
        holding.held_until = clock.now() + 0.1
        client = typing.cast(typing.Any, _OrderClient(outcome))
        self.sender = order_sender.OrderSender(
            client, holdings.FencingTokens(0)
        )
        await self.sender.grant(service_holdings, holding)
        return max(holding.held_until, holding.unanswered_until) - clock.now()

    async def test_renewal_that_was_not_sent_extends_nothing(self) -> None:
        """Guards against keys that wait for a grant that was never sent."""
        unsent = outcomes.Unconfirmed('not connected', in_doubt=False)
        self.assertLess(await self._renew(unsent), 0.2)

    async def test_holder_that_is_gone_holds_nothing(self) -> None:
        """Guards against keys that stay assigned to an ended process."""
        self.assertLess(await self._renew(outcomes.UpstreamGone()), 0.0)

    async def test_release_by_another_process_frees_the_keys(self) -> None:
        """Guards against keys that wait for the grant of an ended process."""
        holding = holdings.Holding(0, 9, 'u', held_until=clock.now() + 3.0)
        holding.unanswered_until = holding.held_until
        client = typing.cast(typing.Any, _OrderClient(outcomes.UpstreamGone()))
        mover = moves.Mover(
            typing.cast(typing.Any, None),
            order_sender.OrderSender(client, holdings.FencingTokens(0)),
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
        )
        started_at = clock.now()
        self.assertEqual('', await mover._release(holding))
        self.assertLess(clock.now() - started_at, 0.2)

    async def test_higher_token_fences_the_term(self) -> None:
        """Guards against a coordinator that continues beside its successor."""
        await self._renew(outcomes.Fenced())
        self.assertTrue(self.sender.fenced)

    async def test_renewal_in_doubt_extends_the_holding(self) -> None:
        """Guards against two owners after a grant without an answer."""
        lost = outcomes.Unconfirmed('TimeoutError')
        self.assertGreater(await self._renew(lost), holdings.GRANT_DURATION_S)
