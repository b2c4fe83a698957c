"""Budget that keeps retries a small part of all requests."""

from __future__ import annotations


class RetryBudget:
    """Allows a share of the requests received as retries.

    Retries bound by a share can't multiply the load of a failing service,
    as a fixed number of retries per request does.

    Parameters
    ----------
    share : float
        Retries earned by each request.
    burst : int
        Most retries that can be saved up.
    """

    def __init__(self, share: float, burst: int) -> None:
        self.share = share
        self.burst = burst
        self.balance = float(burst)

    def earn(self) -> None:
        """Count one request received."""
        if self.balance < self.burst:
            self.balance = min(self.burst, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry, or return False if none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
