"""Budgets that are sums over all instances, divided among them."""

from __future__ import annotations

import hashlib
import typing

# Part of the allowed repeats that instances use together; the rest covers
# requests that are counted in another window than their repeats.
RETRY_USE = 0.6
# Part of the fixed allowance that is used; instances that come and go hold
# more than their part for a moment.
EXTRA_USE = 0.5


class RetryBudget:
    """Repeats that one instance may send to one service.

    Attributes
    ----------
    ratio : float
        Repeats per request.
    window_s : float
        Window in which the repeats are counted.
    tokens : float
        Repeats that may be sent now.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio * RETRY_USE
        self.extra = extra * EXTRA_USE
        self.window_s = window_s
        self.instances = 1
        self.tokens = 0.0
        self.filled_at = float('-inf')
        self.requests = 0.0

    def _share(self) -> float:
        return self.extra / max(1, self.instances)

    def _fill(self, now: float) -> None:
        share = self._share()
        # The burst is what the window allows for the present rate; a bucket
        # that fills without limit would permit a burst after a quiet time.
        most = share / 2 + self.requests * self.ratio / 2
        if self.filled_at == float('-inf'):
            self.tokens = share / 2
        else:
            passed = max(0.0, now - self.filled_at)
            self.tokens += passed / self.window_s * share / 2
            self.requests *= max(0.0, 1 - passed / self.window_s)
        self.tokens = min(self.tokens, max(most, 1.0))
        self.filled_at = now

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._fill(now)
        self.requests += 1
        self.tokens += self.ratio

    def spend(self, now: float) -> bool:
        """Take a repeat from the budget, or return False."""
        self._fill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class ColdBudget:
    """Requests that one instance may send to one cold upstream."""

    def __init__(self) -> None:
        self.next_at = float('-inf')

    def admit(self, now: float, per_s: float) -> bool:
        """Take a request from the budget, or return False."""
        if per_s <= 0 or now < self.next_at:
            return False
        self.next_at = now + 1 / per_s
        return True


def cold_share(
    upstream: str, own: str, instances: typing.Collection[str], per_s: float
) -> float:
    """Return the requests per second that one instance may send.

    Rendezvous hashing names the instances that divide the budget, so that
    all agree without messages while they know the same instances. Each has a
    share of one request per second or more: smaller ones would still add up
    to a request of each instance in the same second.
    """
    ranked = sorted(
        set(instances) | {own},
        key=lambda name: hashlib.blake2b(
            f'{upstream}/{name}'.encode(), digest_size=8
        ).digest(),
    )
    senders = ranked[: max(1, int(per_s))]
    return per_s / len(senders) if own in senders else 0.0
