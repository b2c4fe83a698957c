"""Lease of a coordinator on its term."""

from __future__ import annotations

from knapweedhall_router import clock
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings

# Time without an answer from the store after which no move begins: the moved
# keys have no owner until the store has recorded the new one. The store is
# called every 0.3 s (joins, reads).
MAX_STORE_ANSWER_AGE_S = 0.45


class Lease:
    """Lease of a coordinator: its membership in the store's group.

    Attributes
    ----------
    state : state.State
        State of the instance; has the time of the store's last answer.
    expires_at : float
        When the membership ends, seconds of `clock.now`; extended by
        `membership.Membership`.
    """

    def __init__(self, state: state_module.State, expires_at: float) -> None:
        self.state = state
        self.expires_at = expires_at

    def is_expired(self) -> bool:
        """Return whether another coordinator may have taken over."""
        return clock.now() >= self.expires_at

    def must_stop_renewals(self) -> bool:
        """Return whether the last time for offline renewals has passed."""
        return clock.now() >= self.expires_at + holdings.MAX_OFFLINE_RENEWAL_S

    def is_store_unresponsive(self) -> bool:
        """Return whether an outage of the store may have begun."""
        age_s = clock.now() - self.state.store_answered_at
        return age_s > MAX_STORE_ANSWER_AGE_S
