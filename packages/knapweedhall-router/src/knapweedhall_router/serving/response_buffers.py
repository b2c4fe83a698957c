"""Accounts for the memory of responses and ends those that use too much."""

from __future__ import annotations

from knapweedhall_router import logs
from knapweedhall_router.serving import connections
from knapweedhall_routing import buffer_budget


class ResponseBuffers:
    """Memory of the responses that this process holds.

    Attributes
    ----------
    budget : buffer_budget.BufferBudget
        Decides which response is given up.
    receiving : dict of int to connections.Connection
        Connections over which responses are being received, by number of the
        call.
    """

    def __init__(self, budget: buffer_budget.BufferBudget) -> None:
        self.budget = budget
        self.receiving: dict[int, connections.Connection] = {}

    def begin(self, call: int, connection: connections.Connection) -> None:
        """Record that the response to a call is being received."""
        self.receiving[call] = connection
        self.budget.begin(call)

    def add(self, call: int, size: int) -> None:
        """Count received bytes; end an exchange if they are too many.

        Raises
        ------
        connections.ResponseLimitError
            If it is the exchange of this call.
        """
        victim = self.budget.add(call, size)
        if victim is None:
            return
        logs.warning(
            'response_given_up',
            call=victim,
            held_bytes=self.budget.held.get(victim, 0),
            total_bytes=self.budget.total,
        )
        connection = self.receiving.pop(victim)
        self.budget.remove(victim)
        connection.fail('response-too-large')
        if victim == call:
            raise connections.ResponseLimitError('response-too-large')

    def finish(self, call: int) -> None:
        """Record that a response is complete; its bytes are still held."""
        self.receiving.pop(call, None)
        self.budget.finish(call)

    def remove(self, call: int) -> None:
        """Record that the bytes of a call are no longer held."""
        self.receiving.pop(call, None)
        self.budget.remove(call)
