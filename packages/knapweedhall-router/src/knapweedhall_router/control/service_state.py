"""State of one divided service in the coordinator."""

from __future__ import annotations

import typing

from knapweedhall_router.links import messages
from knapweedhall_routing import holdings

# Time for which the number of usable upstreams must be unchanged before the
# first assignment of a service; otherwise the first few would get all keys.
FIRST_PLAN_DELAY_S = 1.2


class ServiceState:
    """Assignment of one service.

    Attributes
    ----------
    holdings : holdings.Holdings
        Ranges of keys with their possible holders.
    number : int
        Number of changes sent to the instances.
    upstream_count : int
        Number of usable upstreams when `assignable_at` was set.
    assignable_at : float
        When keys may be assigned for the first time, seconds.
    """

    def __init__(self, name: str) -> None:
        self.holdings = holdings.Holdings(name)
        self.number = 0
        self.upstream_count = 0
        self.assignable_at = 0.0

    def is_assignable(self, upstream_count: int, now: float) -> bool:
        """Return whether keys may be assigned or were assigned before."""
        if any(holding.upstream for holding in self.holdings.items):
            return True
        if upstream_count != self.upstream_count:
            self.upstream_count = upstream_count
            self.assignable_at = now + FIRST_PLAN_DELAY_S
        return upstream_count > 0 and now >= self.assignable_at

    def table(self, epoch: int) -> messages.Table:
        """Return the message with all owners, for instances that connect."""
        owned_ranges = [
            messages.to_wire(owned_range)
            for owned_range in self.holdings.owned_ranges()
        ]
        return messages.Table(
            self.holdings.service, epoch, self.number, owned_ranges
        )

    def new_table(self, epoch: int) -> messages.Table:
        """Count a change of all ranges and return the message about it."""
        self.number += 1
        return self.table(epoch)

    def change(
        self, epoch: int, changed: typing.Iterable[holdings.Holding]
    ) -> messages.TableChange:
        """Count a change and return the message about the changed ranges."""
        self.number += 1
        owned_ranges = [
            messages.to_wire(holding.to_owned_range()) for holding in changed
        ]
        return messages.TableChange(
            self.holdings.service, epoch, self.number, owned_ranges
        )
