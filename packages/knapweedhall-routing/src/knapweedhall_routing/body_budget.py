"""Memory for the bodies of requests that an instance holds."""

from __future__ import annotations

# Share of the process's memory that bodies may use. Responses may use 0.2; the
# process itself needs about 50 MB of at least 200 MB.
MEMORY_SHARE = 0.3
# Bytes of a body that are written to a connection at once. They are held two
# more times while they are sent: joined with the head, and in the buffer of
# the connection if the upstream does not read.
WRITE_BYTES = 65536


def held_bytes(body_bytes: int) -> int:
    """Return the memory that a body of a given size takes, in bytes."""
    return body_bytes + 2 * min(body_bytes, WRITE_BYTES)


class BodyBudget:
    """Decides which bodies are accepted.

    It answers uploads beside upstreams that do not read: each body is held
    until its call has ended, and others arrive meanwhile. A body whose size is
    stated is refused before it is read if it does not fit.

    Attributes
    ----------
    total : int
        Memory that is reserved for bodies, bytes.
    """

    def __init__(self) -> None:
        self.total = 0

    def reserve(self, size: int, memory_bytes: float) -> bool:
        """Reserve memory; return False if there is too little.

        Parameters
        ----------
        size : int
            Bytes to reserve.
        memory_bytes : float
            Memory of the process, bytes.
        """
        if self.total + size > memory_bytes * MEMORY_SHARE:
            return False
        self.total += size
        return True


class Reservation:
    """Memory that is reserved for one body.

    Attributes
    ----------
    size : int
        Reserved bytes.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.size = 0

    def cover(self, body_bytes: int, memory_bytes: float) -> bool:
        """Reserve what a body needs; return False if it does not fit.

        Parameters
        ----------
        body_bytes : int
            Size of the body, or of its part that has arrived.
        memory_bytes : float
            Memory of the process, bytes.
        """
        missing = held_bytes(body_bytes) - self.size
        if missing <= 0:
            return True
        if not self.budget.reserve(missing, memory_bytes):
            return False
        self.size += missing
        return True

    def release(self) -> None:
        """Give back the memory, once the body is no longer held."""
        self.budget.total -= self.size
        self.size = 0
