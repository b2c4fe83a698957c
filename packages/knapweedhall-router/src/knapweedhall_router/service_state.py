"""What a coordinator keeps of one divided service."""

from __future__ import annotations

import typing

from knapweedhall_router import messages
from knapweedhall_routing import holdings
from knapweedhall_routing import rates

# The first assignment of a service waits until no upstream was listed for
# this time, or it would give all keys to the first few.
FIRST_PLAN_CALM_S = 1.2


class ServiceState:
    """Assignment and load of one service.

    Attributes
    ----------
    ranges : holdings.Holdings
        Who may hold which keys.
    rates : rates.KeyRates
        Measured requests by key.
    number : int
        Counts the changes that instances were told.
    listed : int
        Upstreams that were listed when `calm_at` was set.
    calm_at : float
        When keys may be assigned for the first time, seconds.
    """

    def __init__(self, name: str) -> None:
        self.ranges = holdings.Holdings(name)
        self.rates = rates.KeyRates()
        self.number = 0
        self.listed = 0
        self.calm_at = 0.0

    def is_settled(self, listed: int, now: float) -> bool:
        """Return whether keys can be assigned for the first time."""
        if any(one.upstream for one in self.ranges.items):
            return True
        if listed != self.listed:
            self.listed = listed
            self.calm_at = now + FIRST_PLAN_CALM_S
        return listed > 0 and now >= self.calm_at

    def table(self, epoch: int) -> messages.Table:
        """Return all owners, as instances are told when they connect."""
        rows = [messages.to_wire(row) for row in self.ranges.owned_ranges()]
        return messages.Table(self.ranges.service, epoch, self.number, rows)

    def change(
        self, epoch: int, changed: typing.Iterable[holdings.Holding]
    ) -> messages.TableChange:
        """Return what instances are told of ranges that changed."""
        self.number += 1
        rows = [messages.to_wire(one.to_owned_range()) for one in changed]
        return messages.TableChange(
            self.ranges.service, epoch, self.number, rows
        )
