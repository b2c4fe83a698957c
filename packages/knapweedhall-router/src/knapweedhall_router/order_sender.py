"""Sends grants and releases for a coordinator and books their outcomes."""

from __future__ import annotations

import asyncio
import functools
import typing

from knapweedhall_adapter import orders
from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_routing import holdings
from knapweedhall_routing import model

# A grant is answered at once; a renewal that takes longer is repeated before
# the hold ends.
GRANT_TIMEOUT_S = 0.6
# A release is answered when running work has ended, which takes up to the
# longest work (1.2 s on the sites).
RELEASE_TIMEOUT_S = 1.5
RETRY_S = 0.3
# Grants are not repeated beyond this time without an answer: each may still
# arrive, and puts off the moment at which the keys can be given on.
GIVE_UP_S = 1.0
# Time for which an upstream that left a grant unanswered is given no keys;
# doubled each time, up to the maximum.
SILENCE_S = 2.0
MAX_SILENCE_S = 30.0


class Silence(typing.NamedTuple):
    """An upstream that leaves grants unanswered.

    Attributes
    ----------
    since, until : float
        First unanswered grant; until when it is given no keys, seconds.
    length_s : float
        Time from the first to the second, for the next silence.
    """

    since: float
    until: float
    length_s: float


class _Sent(typing.NamedTuple):
    ranges: holdings.Holdings
    upstream: str
    address: model.Address
    order: holdings.SentGrant


class OrderSender:
    """Orders of one tenure.

    Attributes
    ----------
    fenced : bool
        Whether an upstream has seen a token of a later tenure.
    """

    def __init__(
        self, client: orders.OrderClient, fences: holdings.FencingTokens
    ) -> None:
        self.client = client
        self.fences = fences
        self.fenced = False
        self.silences: dict[str, Silence] = {}

    def is_silent(self, upstream: str, now: float) -> bool:
        """Return whether an upstream leaves grants unanswered."""
        found = self.silences.get(upstream)
        return found is not None and found.until > now

    def is_given_up(self, upstream: str, now: float) -> bool:
        """Return whether its grants are no longer renewed."""
        found = self.silences.get(upstream)
        return found is not None and now > found.since + GIVE_UP_S

    async def prove(
        self, target: model.Upstream, keys: model.KeyRange
    ) -> bool:
        """Return whether an upstream takes orders again after a silence.

        Keys that it does not hold are released there, which has no effect.
        Given keys at once, a dead upstream would keep them until the end of
        the grant.
        """
        if target.name not in self.silences:
            return True
        deadline = asyncio.get_running_loop().time() + GRANT_TIMEOUT_S
        outcome = await self.client.release(
            target.address, target.name, keys, self.fences.next(), deadline
        )
        if isinstance(outcome, outcomes.Released):
            self.silences.pop(target.name, None)
            return True
        self._unanswered(target.name, clock.now())
        return False

    def _unanswered(self, upstream: str, now: float) -> None:
        found = self.silences.get(upstream)
        if found is None:
            found = Silence(now, now + SILENCE_S, SILENCE_S)
        elif found.until <= now:
            length = min(2 * found.length_s, MAX_SILENCE_S)
            found = Silence(now, now + length, length)
        self.silences[upstream] = found

    async def grant(
        self, ranges: holdings.Holdings, one: holdings.Holding
    ) -> bool:
        """Send a grant or its renewal; return whether it was accepted."""
        if not one.fence:
            one.fence = self.fences.next()
        order = ranges.record_sent(one, clock.now())
        deadline = asyncio.get_running_loop().time() + GRANT_TIMEOUT_S
        outcome = await self.client.grant(
            one.address,
            one.upstream,
            model.KeyRange(order.first, order.last),
            order.fence,
            holdings.GRANT_DURATION_S,
            one.handover,
            deadline,
        )
        self._book(outcome, _Sent(ranges, one.upstream, one.address, order))
        return isinstance(outcome, outcomes.Granted)

    @functools.singledispatchmethod
    def _book(self, outcome: outcomes.GrantOutcome, sent: _Sent) -> None:
        """Take note of the outcome of a grant."""
        raise TypeError(outcome)

    @_book.register
    def _(self, outcome: outcomes.Granted, sent: _Sent) -> None:
        sent.ranges.record_accepted(sent.order)
        self.silences.pop(sent.upstream, None)

    @_book.register
    def _(self, outcome: outcomes.Fenced, sent: _Sent) -> None:
        sent.ranges.record_failure(sent.order, True, clock.now() + RETRY_S)
        self.fenced = True
        logs.warning(
            'grant_fenced', upstream=sent.upstream, first=sent.order.first
        )

    @_book.register
    def _(self, outcome: outcomes.UpstreamGone, sent: _Sent) -> None:
        sent.ranges.record_holder_gone(sent.order, sent.upstream, sent.address)
        _log_gone(sent.upstream, sent.order)

    @_book.register
    def _(self, outcome: outcomes.Unconfirmed, sent: _Sent) -> None:
        now = clock.now()
        in_doubt = outcome.in_doubt
        sent.ranges.record_failure(sent.order, in_doubt, now + RETRY_S)
        self._unanswered(sent.upstream, now)
        logs.info(
            'grant_unanswered',
            upstream=sent.upstream,
            first=sent.order.first,
            last=sent.order.last,
            reason=outcome.reason,
        )

    async def release(self, one: holdings.Holding) -> outcomes.ReleaseOutcome:
        """Take a range back from its holder."""
        # A token above that of the grant: a repeat of the grant which is
        # still on its way is refused by an upstream that saw the release.
        fence = self.fences.next()
        deadline = asyncio.get_running_loop().time() + RELEASE_TIMEOUT_S
        outcome = await self.client.release(
            one.address,
            one.upstream,
            model.KeyRange(one.first, one.last),
            fence,
            deadline,
        )
        if isinstance(outcome, outcomes.UpstreamGone):
            _log_gone(one.upstream, one)
        elif isinstance(outcome, outcomes.Unconfirmed):
            logs.info(
                'release_unanswered',
                upstream=one.upstream,
                first=one.first,
                last=one.last,
                reason=outcome.reason,
            )
        return outcome


def _log_gone(
    upstream: str, keys: holdings.SentGrant | holdings.Holding
) -> None:
    logs.info(
        'holder_gone', upstream=upstream, first=keys.first, last=keys.last
    )
