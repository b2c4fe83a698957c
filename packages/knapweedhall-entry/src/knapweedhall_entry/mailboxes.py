"""Delivers messages from peers to the queues of the tasks."""

from __future__ import annotations

import asyncio
import collections
import time
import typing

from knapweedhall_entry import validity
from knapweedhall_events import trace
from knapweedhall_peering import envelope

# A task that falls behind by more is stuck; newer messages replace these.
QUEUE_MESSAGES = 1024


Queue = asyncio.Queue[envelope.Received]


async def receive(queue: Queue, deadline: float) -> envelope.Received | None:
    """Return the next message, None from the deadline on.

    A queue that is never empty must not keep its task from its periodic work,
    so nothing is taken once the deadline has passed.
    """
    if time.monotonic() >= deadline:
        return None
    try:
        async with asyncio.timeout_at(deadline):
            return await queue.get()
    except TimeoutError:
        return None


class Mailboxes:
    """One queue per subscription; a kind may have several.

    Parameters
    ----------
    events : trace.TraceWriter
        Receives `message_dropped`.

    Attributes
    ----------
    invalid : collections.Counter
        Messages whose values are out of range, by kind.
    overflows : collections.Counter
        Messages that were dropped because a queue was full, by kind.
    """

    def __init__(self, events: trace.TraceWriter) -> None:
        self.events = events
        self.queues: dict[str, list[Queue]] = {}
        self.overflows: collections.Counter[str] = collections.Counter()
        self.invalid: collections.Counter[str] = collections.Counter()

    def subscribe(self, *kinds: type[typing.Any]) -> Queue:
        """Return a queue that gets all messages of these kinds."""
        queue: Queue = asyncio.Queue(QUEUE_MESSAGES)
        for kind in kinds:
            self.queues.setdefault(kind.__name__, []).append(queue)
        return queue

    def deliver(self, message: envelope.Received) -> None:
        """Put a message into the queues of its kind; never waits."""
        reason = validity.fault(message.body)
        if reason:
            self.invalid[message.kind] += 1
            self.events.emit(
                'message_dropped',
                sender=message.sender.name,
                reason=f'{message.kind}: {reason}',
            )
            return
        for queue in self.queues.get(message.kind, ()):
            try:
                queue.put_nowait(message)
            except asyncio.QueueFull:
                self.overflows[message.kind] += 1
