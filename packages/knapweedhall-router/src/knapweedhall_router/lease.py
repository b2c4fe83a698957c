"""How long a coordinator's tenure lasts."""

from __future__ import annotations

from knapweedhall_router import clock
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings

# Time without an answer of the store after which no move begins: its keys have
# no owner until the store takes the new one. Joins and reads come each 0.3 s.
STORE_UNRESPONSIVE_S = 0.45


class Lease:
    """The membership in the store's group that a tenure rests on.

    Attributes
    ----------
    until : float
        Its end, on `clock.now`; moved by the membership task.
    """

    def __init__(self, state: state_module.State, until: float) -> None:
        self.state = state
        self.expires_at = until

    def is_expired(self) -> bool:
        """Return whether another coordinator may have taken over."""
        return clock.now() >= self.expires_at

    def must_stop_renewals(self) -> bool:
        """Return whether nothing may be renewed any more."""
        return clock.now() >= self.expires_at + holdings.MAX_OFFLINE_RENEWAL_S

    def is_store_unresponsive(self) -> bool:
        """Return whether an outage of the store may have begun."""
        age_s = clock.now() - self.state.store_answered_at
        return age_s > STORE_UNRESPONSIVE_S
