"""Memory for responses that an instance receives from upstreams."""

from __future__ import annotations

# Share of the process's memory that responses may use. Requests may use 0.3;
# the process itself needs about 50 MB of at least 200 MB.
MEMORY_SHARE = 0.2
# Share of that memory that a single response may use, so that one upstream
# can't make others' responses fail.
RESPONSE_SHARE = 0.5


class BufferBudget:
    """Decides which response is given up if memory runs short.

    It answers upstreams that send without end beside ordinary ones: the
    largest unfinished response is given up first, so that ordinary responses
    are not affected.

    Attributes
    ----------
    max_bytes : int
        Maximum size of all responses together.
    max_response_bytes : int
        Maximum size of one response.
    held : dict of int to int
        Bytes held for each call, by its number.
    unfinished : set of int
        Calls whose response is still being received.
    total : int
        Sum of `held`, bytes.
    """

    def __init__(self, memory_bytes: float, largest_bytes: int) -> None:
        self.max_bytes = int(memory_bytes * MEMORY_SHARE)
        self.max_response_bytes = min(
            largest_bytes, int(self.max_bytes * RESPONSE_SHARE)
        )
        self.held: dict[int, int] = {}
        self.unfinished: set[int] = set()
        self.total = 0

    def begin(self, call: int) -> None:
        """Record that the response to a call is being received."""
        self.unfinished.add(call)

    def add(self, call: int, size: int) -> int | None:
        """Count received bytes.

        Parameters
        ----------
        call : int
            Number of the call, after `begin`.
        size : int
            Number of bytes received.

        Returns
        -------
        int or None
            Number of the call whose response is to be given up; None if
            there is enough memory.
        """
        self.held[call] = self.held.get(call, 0) + size
        self.total += size
        if self.held[call] > self.max_response_bytes:
            return call
        if self.total > self.max_bytes:
            return max(
                self.unfinished, key=lambda number: self.held.get(number, 0)
            )
        return None

    def finish(self, call: int) -> None:
        """Record that a response is complete; its bytes are still held."""
        self.unfinished.discard(call)

    def remove(self, call: int) -> None:
        """Record that the bytes of a call are no longer held."""
        self.unfinished.discard(call)
        self.total -= self.held.pop(call, 0)
