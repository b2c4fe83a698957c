"""What the data path reports to the control side."""

from __future__ import annotations

from knapweedhall_entry import fleet
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry import permit_task
from knapweedhall_ownership import permits


class PermitObserver(interfaces.NullObserver):
    """Notes requests in progress in the permit tables.

    A table that takes an upstream away is acknowledged only when no request
    that was sent under an earlier table can still run there.

    Parameters
    ----------
    view : fleet.Fleet
        Groups of the upstreams.
    held : permit_task.PermitTask
        Permit tables.
    """

    def __init__(
        self, view: fleet.Fleet, held: permit_task.PermitTask
    ) -> None:
        self.view = view
        self.held = held

    def table(self, upstream: str) -> permits.PermitTable | None:
        """Return the table whose permit covers an upstream."""
        known = self.view.upstreams.get(upstream)
        return self.held.table(known.group) if known else None

    def request_sent(
        self, service: str, route: interfaces.Route, end: float
    ) -> None:
        """Note a request that is about to be written."""
        table = self.table(route.upstream)
        if table is not None:
            table.begin(service, permits.Route(*route), end)

    def request_answered(
        self, service: str, route: interfaces.Route, end: float
    ) -> None:
        """Note a complete answer."""
        table = self.table(route.upstream)
        if table is not None:
            table.finish(service, permits.Route(*route), end)
