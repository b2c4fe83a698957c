"""Start-time fair queuing of waiting requests.

Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
"""

from __future__ import annotations

import bisect
import typing

_Item = typing.TypeVar('_Item')

# Customers idle for long need no finish tag: their next start tag is the
# virtual time anyway. The map is cleaned when it has this many entries.
MAX_IDLE_CUSTOMERS = 4096


# A request that had a slot and was not sent, as no connection was made.
# It is served before the others and does not count towards the length:
# it was accepted already, and there are no more of them than slots.
RETURNED = -1
FIRST = 0
# Retries wait behind first attempts.
RETRY = 1


class Waiting(typing.NamedTuple):
    """One waiting request; compared by rank, start tag and arrival.

    Attributes
    ----------
    rank : int
        `RETURNED`, `FIRST` or `RETRY`.
    start : float
        Start tag: virtual time at which the customer's turn comes.
    arrival : int
        Number of the arrival; keeps first-in first-out order among equals.
    deadline : float
        When the request is no longer worth sending, in seconds.
    """

    rank: int
    start: float
    arrival: int
    deadline: float


class FairQueue(typing.Generic[_Item]):
    """Bounded queue that serves customers in proportion to their cost.

    Parameters
    ----------
    length : int
        Most entries that may wait.
    """

    def __init__(self, length: int) -> None:
        self.length = length
        self.order: list[Waiting] = []
        self.items: dict[int, _Item] = {}
        self.finish: dict[str, float] = {}
        self.virtual = 0.0
        self.arrivals = 0

    def __len__(self) -> int:
        return len(self.order)

    def charge(self, customer: str, cost: float) -> float:
        """Count a request's cost; return its start tag.

        Requests that are sent without waiting are charged, too, so that a
        customer who filled the slots does not queue as if it had none.
        """
        start = max(self.virtual, self.finish.get(customer, 0.0))
        if len(self.finish) >= MAX_IDLE_CUSTOMERS:
            self._forget_idle()
        self.finish[customer] = start + max(cost, 0.0)
        if not self.order:
            self.virtual = max(self.virtual, start)
        return start

    def _forget_idle(self) -> None:
        self.finish = {
            customer: finish
            for customer, finish in self.finish.items()
            if finish > self.virtual
        }
        if len(self.finish) < MAX_IDLE_CUSTOMERS // 2:
            return
        # Callers choose the names, so that there may be any number; all are
        # forgiven at once instead of scanning the map for each request.
        self.virtual = max(self.finish.values())
        self.finish.clear()

    def push(
        self,
        item: _Item,
        customer: str,
        cost: float,
        deadline: float,
        rank: int = FIRST,
    ) -> tuple[Waiting, _Item | None]:
        """Add a request.

        Returns
        -------
        tuple
            The entry, and the item refused to keep the length, which may be
            the new one. Refused is the entry that would be served last: a
            retry before first attempts, then the customer that is furthest
            ahead of its fair share.
        """
        self.arrivals += 1
        start = self.charge(customer, cost)
        entry = Waiting(rank, start, self.arrivals, deadline)
        bisect.insort(self.order, entry)
        self.items[entry.arrival] = item
        if rank == RETURNED or len(self.order) <= self.length:
            return entry, None
        return entry, self.items.pop(self.order.pop().arrival)

    def remove(self, entry: Waiting) -> None:
        """Remove an entry whose request ended while it waited, if present."""
        if self.items.pop(entry.arrival, None) is None:
            return
        del self.order[bisect.bisect_left(self.order, entry)]

    def pop(self, now: float) -> tuple[list[_Item], _Item | None]:
        """Take the next request.

        Returns
        -------
        tuple
            Items that waited beyond their deadline, and the next item or
            None.
        """
        late: list[_Item] = []
        while self.order:
            entry = self.order.pop(0)
            item = self.items.pop(entry.arrival)
            if entry.deadline > now:
                self.virtual = max(self.virtual, entry.start)
                return late, item
            late.append(item)
        return late, None


def cost_of(kind: str, weights: typing.Mapping[str, float]) -> float:
    """Return the cost of a request by its kind; kinds not named cost 1."""
    return weights.get(kind, 1.0)
