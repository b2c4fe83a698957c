"""Delivers messages from peers to the queues of the tasks."""

from __future__ import annotations

import asyncio
import collections
import typing

from knapweedhall_peering import envelope

# A task that falls behind by more is stuck; newer messages replace these.
QUEUE_MESSAGES = 1024


class Mailboxes:
    """One queue per subscription; a kind may have several.

    Attributes
    ----------
    overflows : collections.Counter
        Messages that were dropped because a queue was full, by kind.
    """

    def __init__(self) -> None:
        self.queues: dict[str, list[asyncio.Queue[envelope.Received]]] = {}
        self.overflows: collections.Counter[str] = collections.Counter()

    def subscribe(
        self, *kinds: type[typing.Any]
    ) -> asyncio.Queue[envelope.Received]:
        """Return a queue that gets all messages of these kinds."""
        queue: asyncio.Queue[envelope.Received] = asyncio.Queue(QUEUE_MESSAGES)
        for kind in kinds:
            self.queues.setdefault(kind.__name__, []).append(queue)
        return queue

    def deliver(self, message: envelope.Received) -> None:
        """Put a message into the queues of its kind; never waits."""
        for queue in self.queues.get(message.kind, ()):
            try:
                queue.put_nowait(message)
            except asyncio.QueueFull:
                self.overflows[message.kind] += 1
