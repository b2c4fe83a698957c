"""Memory for the heads of requests, and the number of callers' connections."""

from __future__ import annotations

# Memory that a byte of a head takes: the parser keeps each field as it was
# received and decoded. Measured: 400 heads of 60,000 bytes took 54 MB.
MEMORY_PER_BYTE = 2.25
# Memory that a connection without a request is assumed to take: its parser,
# task and transport.
CONNECTION_BYTES = 16384
# Share of the process's memory for connections besides what they hold.
CONNECTION_MEMORY_SHARE = 0.1


class HeadBudget:
    """Decides which connection is closed when heads take too much memory.

    It answers callers that send heads without end, or large ones and then
    nothing, on many connections at once. A connection holds the bytes that it
    has received and that no finished request accounts for: incomplete heads,
    empty lines and trailers, heads of requests that wait or run, and the head
    of the last request, which the server keeps. The one that holds most is
    closed, among those of about the same size (less than twice) the oldest. An
    ordinary head has a few hundred bytes and is among the last.

    Each operation takes constant time, as a flood causes many of them.

    Attributes
    ----------
    held : dict of int to int
        Bytes held by each connection, by its number.
    total : int
        Their sum.
    sizes : dict of int to dict of int to None
        Connections by the number of binary digits of what they hold; the
        oldest is first.
    """

    def __init__(self) -> None:
        self.held: dict[int, int] = {}
        self.total = 0
        self.sizes: dict[int, dict[int, None]] = {}

    def hold(self, connection: int, size: int) -> None:
        """Record how many bytes a connection holds."""
        before = self.held.get(connection, 0)
        self.total += size - before
        if size:
            self.held[connection] = size
        else:
            self.held.pop(connection, None)
        if size.bit_length() == before.bit_length():
            return
        if before:
            self._drop(connection, before.bit_length())
        if size:
            self.sizes.setdefault(size.bit_length(), {})[connection] = None

    def _drop(self, connection: int, digits: int) -> None:
        del self.sizes[digits][connection]
        if not self.sizes[digits]:
            del self.sizes[digits]

    def find_excess(self, memory_bytes: float) -> int | None:
        """Return the connection to close, or None if there is enough memory.

        Parameters
        ----------
        memory_bytes : float
            Memory that heads may take, bytes.
        """
        if self.total * MEMORY_PER_BYTE <= memory_bytes or not self.sizes:
            return None
        return next(iter(self.sizes[max(self.sizes)]))


class ConnectionLimit:
    """Decides which connection is closed when too many are open.

    It answers callers that open connections and send nothing, or never
    complete a request: without a limit, none would be left for upstreams and
    the store. The connection that has been without a whole request for longest
    is closed. A new one whose caller sends at once is among the last.

    Attributes
    ----------
    open : set of int
        Numbers of the open connections.
    waiting : dict of int to None
        Those that have no whole request; the one that has been so for longest
        is first.
    """

    def __init__(self) -> None:
        self.open: set[int] = set()
        self.waiting: dict[int, None] = {}

    def add(self, connection: int) -> None:
        """Record a new connection."""
        self.open.add(connection)
        self.waiting[connection] = None

    def begin_request(self, connection: int) -> None:
        """Record that a connection has a whole request."""
        self.waiting.pop(connection, None)

    def end_request(self, connection: int) -> None:
        """Record that a connection has a request no longer."""
        if connection in self.open:
            self.waiting.pop(connection, None)
            self.waiting[connection] = None

    def remove(self, connection: int) -> None:
        """Record that a connection is closed."""
        self.open.discard(connection)
        self.waiting.pop(connection, None)

    def find_excess(self, max_connections: float) -> int | None:
        """Return the connection to close, or None if there are few enough."""
        if len(self.open) <= max_connections or not self.waiting:
            return None
        return next(iter(self.waiting))


def max_connections(
    descriptors: int, share: float, memory_bytes: float
) -> int:
    """Return how many connections callers may have.

    Parameters
    ----------
    descriptors : int
        Descriptors that the process may have open.
    share : float
        Share of them for callers.
    memory_bytes : float
        Memory of the process, bytes.
    """
    by_memory = memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES
    return max(1, int(min(descriptors * share, by_memory)))
