"""Budgets for the sum over all instances, divided among the instances."""

from __future__ import annotations

import hashlib
import typing

# Share of the allowed retries per request that the instances use together;
# the rest allows for requests that are counted in a different window than
# their retries.
RETRY_USE_SHARE = 0.6
# Share of the fixed allowance that the instances use together; for a short
# time after instances start or stop, some use more than their share.
EXTRA_USE_SHARE = 0.5


class RetryBudget:
    """Token bucket of the retries that one instance may send to one service.

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
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio * RETRY_USE_SHARE
        self.extra = extra * EXTRA_USE_SHARE
        self.window_s = window_s
        self.instances = 1
        self.tokens = 0.0
        self.filled_at = float('-inf')
        self.requests = 0.0

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
        self.tokens = min(self.tokens, max(max_tokens, 1.0))
        self.filled_at = now

    def earn(self, now: float) -> None:
        """Add the tokens that the first attempt of a request earns."""
        self._refill(now)
        self.requests += 1
        self.tokens += self.ratio

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
