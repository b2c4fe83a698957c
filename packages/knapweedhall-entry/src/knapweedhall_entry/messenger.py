"""Sends messages to peers and to this instance itself."""

from __future__ import annotations

import typing

from knapweedhall_entry import mailboxes
from knapweedhall_peering import envelope
from knapweedhall_peering import transport
from knapweedhall_records import ids


class Messenger:
    """Sends by name; messages to this instance skip the network.

    Parameters
    ----------
    me : ids.InstanceId
        This instance.
    peering : transport.Transport
        Sends to peers.
    boxes : mailboxes.Mailboxes
        Gets the messages to this instance.
    """

    def __init__(
        self,
        me: ids.InstanceId,
        peering: transport.Transport,
        boxes: mailboxes.Mailboxes,
    ) -> None:
        self.me = me
        self.peering = peering
        self.boxes = boxes

    def send(self, name: str, body: typing.Any) -> bool:
        """Send a message; return whether it was handed over."""
        if name != self.me.name:
            return self.peering.send(name, body)
        kind = type(body).__name__
        self.boxes.deliver(envelope.Received(self.me, name, kind, 0, body))
        return True
