"""Sockets between instances: one Pull socket, one Push socket per peer."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import time
import typing

import pynng

from knapweedhall_events import trace
from knapweedhall_peering import envelope
from knapweedhall_peering import errors
from knapweedhall_peering import sequences
from knapweedhall_records import ids

# Messages that wait for a peer that does not read. Votes and permits are
# stale after a second, so a longer queue would only carry old news.
SEND_QUEUE_MESSAGES = 64
RECEIVE_QUEUE_MESSAGES = 512
# Messages taken before other tasks run, so that a flood does not stop them.
MAX_BATCH = 32
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 250
# Keeps a peer with a wrong key from filling the log.
DROP_LOG_INTERVAL_S = 1.0


class Peer:
    """Push socket to one peer.

    Parameters
    ----------
    address : str
        IP number and port of the peer's Pull socket.
    source : str
        IP number that the connection is bound to; failure domains are told
        apart by source address.
    """

    def __init__(self, address: str, source: str) -> None:
        self.address = address
        self.sequence = 0
        self.socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self.socket.dial(f'tcp://{source};{address}', block=False)

    def send(self, message: bytes) -> bool:
        """Queue a message; return whether there was room. Never blocks."""
        try:
            self.socket.send(message, block=False)
        except pynng.NNGException:
            return False
        return True

    def close(self) -> None:
        """Close the socket; queued messages are lost."""
        self.socket.close()


class Transport:
    """Sends to and receives from the peers of one instance.

    Parameters
    ----------
    me : ids.InstanceId
        Identity of this process.
    address : str
        IP number and port to listen on; also the source of connections.
    codec : envelope.Codec
        Encodes and authenticates.
    events : trace.TraceWriter
        Receives `message_dropped`.
    """

    def __init__(
        self,
        me: ids.InstanceId,
        address: str,
        codec: envelope.Codec,
        events: trace.TraceWriter,
    ) -> None:
        self.me = me
        self.address = address
        self.source = address.rpartition(':')[0]
        self.codec = codec
        self.events = events
        self.filter = sequences.SequenceFilter(me.name)
        self.peers: dict[str, Peer] = {}
        self.sequences: collections.Counter[str] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.next_drop_log: dict[str, float] = {}
        self.pull: pynng.Pull0 | None = None

    def listen(self) -> None:
        """Open the Pull socket.

        Raises
        ------
        pynng.AddressInUse
            If another process listens on the address.
        """
        self.pull = pynng.Pull0(
            recv_max_size=envelope.MAX_MESSAGE_BYTES,
            recv_buffer_size=RECEIVE_QUEUE_MESSAGES,
        )
        self.pull.listen(f'tcp://{self.address}')

    def set_peer(self, name: str, address: str) -> None:
        """Send messages for `name` to `address` from now on."""
        known = self.peers.get(name)
        if known is not None and known.address == address:
            return
        if known is not None:
            known.close()
        self.peers[name] = Peer(address, self.source)

    def forget_peer(self, name: str) -> None:
        """Close the connection to a peer that left."""
        peer = self.peers.pop(name, None)
        if peer is not None:
            peer.close()

    def send(self, receiver: str, body: typing.Any) -> bool:
        """Send a message if that is possible without waiting.

        Returns
        -------
        bool
            Whether the message was handed to the transport. It may still be
            lost.
        """
        peer = self.peers.get(receiver)
        if peer is None:
            self.count_drop(receiver, errors.UnknownPeer(receiver))
            return False
        # Kept per name, not per socket: a peer whose address changes still
        # expects growing numbers.
        self.sequences[receiver] += 1
        message = self.codec.encode(
            self.me, receiver, self.sequences[receiver], body
        )
        if isinstance(message, errors.Dropped):
            self.count_drop(receiver, message)
            return False
        if not peer.send(message):
            self.count_drop(receiver, errors.QueueFull('sending'))
            return False
        self.sent += 1
        self.sent_bytes += len(message)
        return True

    def count_drop(self, sender: str, reason: errors.Dropped) -> None:
        """Count a dropped message and log it at a bounded rate."""
        self.dropped[reason.tag] += 1
        now = time.monotonic()
        if now < self.next_drop_log.get(reason.tag, 0.0):
            return
        self.next_drop_log[reason.tag] = now + DROP_LOG_INTERVAL_S
        self.events.emit('message_dropped', sender=sender, reason=str(reason))

    def accept(self, message: bytes) -> envelope.Received | None:
        """Return the decoded message, or None after counting the drop."""
        decoded = self.codec.decode(message)
        if isinstance(decoded, errors.Dropped):
            self.count_drop('', decoded)
            return None
        reason = self.filter.check(decoded)
        if reason is not None:
            self.count_drop(decoded.sender.name, reason)
            return None
        self.received += 1
        self.received_bytes += len(message)
        return decoded

    async def run(
        self, deliver: typing.Callable[[envelope.Received], None]
    ) -> None:
        """Receive until cancelled; `deliver` gets each accepted message."""
        assert self.pull is not None, 'call listen() first'
        while True:
            # Receiving gives way to other tasks only if no message waits.
            for _ in range(MAX_BATCH):
                decoded = self.accept(await self.pull.arecv())
                if decoded is not None:
                    deliver(decoded)
            await asyncio.sleep(0)

    def close(self) -> None:
        """Close all sockets."""
        for peer in self.peers.values():
            peer.close()
        self.peers.clear()
        if self.pull is not None:
            with contextlib.suppress(pynng.NNGException):
                self.pull.close()
