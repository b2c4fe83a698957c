"""Budgets for the sum over all instances, divided among the instances."""

from __future__ import annotations

import hashlib
import math
import typing

# Share of the allowed retries per request that the instances use together;
# the rest allows for requests that are counted in a different window than
# their retries.
RETRY_USE_SHARE = 0.6
# Share of the fixed allowance that the instances use together; for a short
# time after instances start or stop, some use more than their share.
EXTRA_USE_SHARE = 0.5
# Share of refused first attempts from which no retries are sent: such a
# service is full, and a retry takes the place of a first attempt. In a burst
# of 1.7 times the capacity, 0.41 of them are refused.
FULL_REFUSED_SHARE = 0.3
# Time constant of that share: bursts last 3 s to 8 s.
REFUSED_DECAY_S = 1.0
# First attempts that are assumed to be accepted besides those counted, so that
# a few refusals at an idle service leave most of the budget.
ASSUMED_ACCEPTED = 3.0


class RetryBudget:
    """Token bucket of the retries that one instance may send to one service.

    It shrinks with the share of first attempts that are refused.

    Attributes
    ----------
    ratio : float
        Retries per request.
    extra : float
        Retries that all instances may send in each window in addition to
        `ratio`, whatever the number of requests.
    window_s : float
        Window in which the retries are counted.
    instances : int
        Number of instances that divide `extra` among them.
    tokens : float
        Retries that may be sent now.
    filled_at : float
        When the bucket was last refilled, seconds.
    requests : float
        Estimated number of requests in the last window.
    firsts, refused : float
        Decaying numbers of recent first attempts, and of the refused ones.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio * RETRY_USE_SHARE
        self.extra = extra * EXTRA_USE_SHARE
        self.window_s = window_s
        self.instances = 1
        self.tokens = 0.0
        self.filled_at = float('-inf')
        self.requests = 0.0
        self.firsts = 0.0
        self.refused = 0.0

    def _extra_share(self) -> float:
        return self.extra / max(1, self.instances)

    def _refill(self, now: float) -> None:
        extra = self._extra_share()
        # The bucket holds what the window allows at the current request rate;
        # an unbounded bucket would permit a burst after an idle period.
        max_tokens = extra / 2 + self.requests * self.ratio / 2
        if self.filled_at == float('-inf'):
            self.tokens = extra / 2
        else:
            elapsed_s = max(0.0, now - self.filled_at)
            self.tokens += elapsed_s / self.window_s * extra / 2
            self.requests *= max(0.0, 1 - elapsed_s / self.window_s)
            factor = math.exp(-elapsed_s / REFUSED_DECAY_S)
            self.firsts *= factor
            self.refused *= factor
        self.tokens = min(self.tokens, max(max_tokens, 1.0))
        share_left = self._share_left()
        if share_left < 1:
            # A single retry is allowed until the service is full.
            max_tokens = max(max_tokens * share_left, 1.0)
            self.tokens = min(self.tokens, max_tokens if share_left else 0.0)
        self.filled_at = now

    def _share_left(self) -> float:
        """Return the part of the budget that refusals leave, 0 to 1."""
        share = self.refused / (self.firsts + ASSUMED_ACCEPTED)
        return max(0.0, 1 - share / FULL_REFUSED_SHARE)

    def earn(self, now: float) -> None:
        """Add the tokens that the first attempt of a request earns."""
        self._refill(now)
        self.requests += 1
        self.firsts += 1
        self.tokens += self.ratio * self._share_left()

    def record_refused(self) -> None:
        """Record that a first attempt was refused as the service is full."""
        self.refused += 1

    def spend(self, now: float) -> bool:
        """Take the token for one retry; return False if there is none."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class ColdBudget:
    """Requests that one instance may send to one upstream in a cold start.

    Attributes
    ----------
    next_at : float
        When the next request may be sent, seconds.
    """

    def __init__(self) -> None:
        self.next_at = float('-inf')

    def admit(self, now: float, per_s: float) -> bool:
        """Take one request from the budget; return False if it is used up."""
        if per_s <= 0 or now < self.next_at:
            return False
        self.next_at = now + 1 / per_s
        return True


def cold_share(
    upstream: str,
    own_name: str,
    instances: typing.Collection[str],
    per_s: float,
) -> float:
    """Return the requests per second that one instance may send.

    Rendezvous hashing selects the instances that divide the budget, so that
    all instances that know the same instances agree without messages. Each
    selected instance gets at least one request per second; with smaller
    shares, all instances could still send one request within the same second.

    Parameters
    ----------
    upstream : str
        Name of the upstream that is in its cold start.
    own_name : str
        Name of this instance.
    instances : collection of str
        Names of all instances.
    per_s : float
        Requests per second that the upstream can serve.
    """
    ranked = sorted(
        set(instances) | {own_name},
        key=lambda name: hashlib.blake2b(
            f'{upstream}/{name}'.encode(), digest_size=8
        ).digest(),
    )
    senders = ranked[: max(1, int(per_s))]
    return per_s / len(senders) if own_name in senders else 0.0
