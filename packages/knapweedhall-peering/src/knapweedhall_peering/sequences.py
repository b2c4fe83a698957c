"""Last sequence number of each sender."""

from __future__ import annotations

import collections

from knapweedhall_peering import envelope
from knapweedhall_peering import errors
from knapweedhall_records import ids

# Bounds memory; a fleet of 450 instances that all restart twice fits.
MAX_SENDERS = 2048


class SequenceFilter:
    """Rejects messages that were seen before or are out of order."""

    def __init__(self, receiver: str, max_senders: int = MAX_SENDERS) -> None:
        self.receiver = receiver
        self.max_senders = max_senders
        self.last: collections.OrderedDict[ids.InstanceId, int] = (
            collections.OrderedDict()
        )

    def check(self, message: envelope.Received) -> errors.Dropped | None:
        """Return why the message is dropped; note its number if it is not."""
        if message.receiver != self.receiver:
            return errors.WrongReceiver(repr(message.receiver))
        last = self.last.get(message.sender, 0)
        if message.sequence <= last:
            return errors.OldSequence(f'{message.sequence} after {last}')
        self.last[message.sender] = message.sequence
        self.last.move_to_end(message.sender)
        if len(self.last) > self.max_senders:
            self.last.popitem(last=False)
        return None
