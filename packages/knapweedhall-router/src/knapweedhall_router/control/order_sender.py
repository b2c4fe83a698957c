"""Sends grants and releases for a coordinator and records the outcomes."""

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

# Upstreams answer a grant at once. A renewal that takes longer is sent again
# before the previous grant expires.
GRANT_TIMEOUT_S = 0.6
# An upstream confirms a release when its running requests have ended; the
# longest take 1.2 s.
RELEASE_TIMEOUT_S = 1.5
GRANT_RETRY_S = 0.3
# Time without an answer after which grants are not sent again: each may still
# arrive, which delays the time at which the keys can be reassigned.
GIVE_UP_S = 1.0
# Time for which an upstream that did not answer a grant is assigned no keys;
# doubled each time, up to the maximum.
MIN_BACKOFF_S = 2.0
MAX_BACKOFF_S = 30.0


class Backoff(typing.NamedTuple):
    """Time for which an unresponsive upstream is assigned no keys.

    Attributes
    ----------
    since : float
        When the unanswered grant that began it was recorded, seconds.
    until : float
        When the upstream may be assigned keys again, seconds.
    length_s : float
        Time from `since` to `until`; doubled for the next backoff.
    """

    since: float
    until: float
    length_s: float


class _GrantContext(typing.NamedTuple):
    service_holdings: holdings.Holdings
    upstream: str
    address: model.Address
    grant: holdings.SentGrant


class OrderSender:
    """Sends the orders of one term to upstreams.

    Attributes
    ----------
    fenced : bool
        Whether an upstream rejected a token, having seen one of a later term.
    fences : holdings.FencingTokens
        Fencing tokens of the term.
    backoffs : dict of str to Backoff
        Unresponsive upstreams, by name.
    """

    def __init__(
        self, client: orders.OrderClient, fences: holdings.FencingTokens
    ) -> None:
        self.client = client
        self.fences = fences
        self.fenced = False
        self.backoffs: dict[str, Backoff] = {}

    def is_backing_off(self, upstream: str, now: float) -> bool:
        """Return whether an upstream is assigned no keys for now."""
        backoff = self.backoffs.get(upstream)
        return backoff is not None and backoff.until > now

    def is_given_up(self, upstream: str, now: float) -> bool:
        """Return whether the grants of an upstream are no longer renewed."""
        backoff = self.backoffs.get(upstream)
        return backoff is not None and now > backoff.since + GIVE_UP_S

    async def has_recovered(
        self, target: model.Upstream, holding: holdings.Holding
    ) -> bool:
        """Return whether an upstream in `backoffs` answers again; else True.

        The check is a release of the range, which has no effect, as the
        upstream does not hold it. A grant to an upstream that is down would
        leave its keys without an owner until the grant expires.
        """
        if target.name not in self.backoffs:
            return True
        deadline = asyncio.get_running_loop().time() + GRANT_TIMEOUT_S
        outcome = await self.client.release(
            target.address,
            target.name,
            model.KeyRange(holding.first, holding.last),
            self._next_release_token(holding),
            deadline,
        )
        if isinstance(outcome, outcomes.Released):
            self.backoffs.pop(target.name, None)
            return True
        self._record_unanswered(target.name, clock.now())
        return False

    def _next_release_token(self, holding: holdings.Holding) -> int:
        """Return the token of a release.

        It is higher than that of the grant, so that an upstream that has seen
        the release rejects grants that arrive late. It would also reject a
        renewal under the earlier token.
        """
        holding.needs_token = True
        return self.fences.next()

    def _record_unanswered(self, upstream: str, now: float) -> None:
        backoff = self.backoffs.get(upstream)
        if backoff is None:
            backoff = Backoff(now, now + MIN_BACKOFF_S, MIN_BACKOFF_S)
        elif backoff.until <= now:
            length_s = min(2 * backoff.length_s, MAX_BACKOFF_S)
            backoff = Backoff(now, now + length_s, length_s)
        self.backoffs[upstream] = backoff

    async def grant(
        self, service_holdings: holdings.Holdings, holding: holdings.Holding
    ) -> bool:
        """Send a grant or its renewal; return whether it was accepted."""
        grant = service_holdings.record_sent(holding, self.fences, clock.now())
        deadline = asyncio.get_running_loop().time() + GRANT_TIMEOUT_S
        outcome = await self.client.grant(
            holding.address,
            holding.upstream,
            model.KeyRange(grant.first, grant.last),
            grant.fence,
            holdings.GRANT_DURATION_S,
            holding.handover,
            deadline,
        )
        self._record_outcome(
            outcome,
            _GrantContext(
                service_holdings, holding.upstream, holding.address, grant
            ),
        )
        return isinstance(outcome, outcomes.Granted)

    @functools.singledispatchmethod
    def _record_outcome(
        self, outcome: outcomes.GrantOutcome, context: _GrantContext
    ) -> None:
        """Record the outcome of a grant."""
        raise TypeError(outcome)

    @_record_outcome.register
    def _(self, outcome: outcomes.Granted, context: _GrantContext) -> None:
        context.service_holdings.record_accepted(context.grant)
        self.backoffs.pop(context.upstream, None)

    @_record_outcome.register
    def _(self, outcome: outcomes.Fenced, context: _GrantContext) -> None:
        context.service_holdings.record_failure(
            context.grant, True, clock.now() + GRANT_RETRY_S
        )
        self.fenced = True
        logs.warning(
            'grant_fenced',
            upstream=context.upstream,
            first=context.grant.first,
        )

    @_record_outcome.register
    def _(
        self, outcome: outcomes.UpstreamGone, context: _GrantContext
    ) -> None:
        context.service_holdings.record_holder_gone(
            context.grant, context.upstream, context.address
        )
        _log_gone(context.upstream, context.grant)

    @_record_outcome.register
    def _(self, outcome: outcomes.Unconfirmed, context: _GrantContext) -> None:
        now = clock.now()
        in_doubt = outcome.in_doubt
        context.service_holdings.record_failure(
            context.grant, in_doubt, now + GRANT_RETRY_S
        )
        self._record_unanswered(context.upstream, now)
        logs.info(
            'grant_unanswered',
            upstream=context.upstream,
            first=context.grant.first,
            last=context.grant.last,
            reason=outcome.reason,
        )

    async def release(
        self, holding: holdings.Holding
    ) -> outcomes.ReleaseOutcome:
        """Release a range at its holder."""
        fence = self._next_release_token(holding)
        deadline = asyncio.get_running_loop().time() + RELEASE_TIMEOUT_S
        outcome = await self.client.release(
            holding.address,
            holding.upstream,
            model.KeyRange(holding.first, holding.last),
            fence,
            deadline,
        )
        if isinstance(outcome, outcomes.UpstreamGone):
            _log_gone(holding.upstream, holding)
        elif isinstance(outcome, outcomes.Unconfirmed):
            logs.info(
                'release_unanswered',
                upstream=holding.upstream,
                first=holding.first,
                last=holding.last,
                reason=outcome.reason,
            )
        return outcome


def _log_gone(
    upstream: str, keys: holdings.SentGrant | holdings.Holding
) -> None:
    logs.info(
        'holder_gone', upstream=upstream, first=keys.first, last=keys.last
    )
