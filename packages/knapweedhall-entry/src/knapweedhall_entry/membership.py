"""Which peers live, by heartbeats; the list only names addresses."""

from __future__ import annotations

import time
import typing

from knapweedhall_entry import mailboxes
from knapweedhall_entry import messages
from knapweedhall_events import trace
from knapweedhall_peering import envelope
from knapweedhall_peering import transport
from knapweedhall_platform import outcomes
from knapweedhall_records import ids

HEARTBEAT_PERIOD_S = 0.25
# Four heartbeats; shorter than a lease, so that a lost elector is known
# before the next vote.
PEER_TIMEOUT_S = 1.0
# A peer that is neither listed nor heard is forgotten after this time.
FORGET_S = 60.0


class PeerState(typing.NamedTuple):
    """What is known of one peer.

    Attributes
    ----------
    last_heard : float
        Time of the last heartbeat, in seconds of `time.monotonic`.
    deadline : float
        The peer counts as down from this time on.
    """

    instance: ids.InstanceId
    heartbeat: messages.Heartbeat
    last_heard: float
    deadline: float


class Membership:
    """Sends heartbeats and keeps the state of all peers.

    The attribute `revision` grows whenever a peer comes up, goes down,
    becomes ready or begins to leave.

    Parameters
    ----------
    name : str
        Name of this instance.
    failure_domain : str
        Failure domain of this instance.
    peering : transport.Transport
        Sends the heartbeats.
    own_heartbeat : callable
        Returns the heartbeat to send.
    events : trace.TraceWriter
        Receives `peer_up` and `peer_down`.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        peering: transport.Transport,
        own_heartbeat: typing.Callable[[], messages.Heartbeat],
        events: trace.TraceWriter,
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.peering = peering
        self.own_heartbeat = own_heartbeat
        self.events = events
        self.states: dict[str, PeerState] = {}
        self.up: set[str] = set()
        self.listed: dict[str, outcomes.ListedInstance] = {}
        self.forget_at: dict[str, float] = {}
        self.revision = 0

    def note_list(self, rows: outcomes.ListedInstances) -> None:
        """Take the addresses of the entry instances in the list."""
        self.listed = {
            row.name: row
            for row in rows
            if row.kind == 'entry' and row.name != self.name
        }
        for name in self.listed:
            self.update_address(name)

    def note_heartbeat(self, message: envelope.Received, now: float) -> None:
        """Take note of a sign of life."""
        name = message.sender.name
        if name == self.name:
            return
        known = self.states.get(name)
        if known and message.sender.incarnation != known.instance.incarnation:
            # Heartbeats of an earlier run may still be on their way; its
            # incarnation is only replaced when it was not heard for a while.
            if now < known.last_heard + 2 * HEARTBEAT_PERIOD_S:
                return
            self.mark_down(name)
        body = message.body
        if known and (known.heartbeat.ready, known.heartbeat.leaving) != (
            body.ready,
            body.leaving,
        ):
            self.revision += 1
        self.states[name] = PeerState(
            message.sender, message.body, now, now + PEER_TIMEOUT_S
        )
        self.update_address(name)
        if name not in self.up:
            self.up.add(name)
            self.revision += 1
            self.events.emit(
                'peer_up',
                peer=name,
                failure_domain=message.body.failure_domain,
            )

    def update_address(self, name: str) -> None:
        """Tell the transport where to send to a peer."""
        address = self.peer_address(name)
        if address:
            self.peering.set_peer(name, address)

    def peer_address(self, name: str) -> str:
        """Return the peer's address for messages, '' if unknown."""
        heartbeat = self.trusted_heartbeat(name)
        if heartbeat is not None:
            return heartbeat.peer_address
        row = self.listed.get(name)
        return row.peer_address if row else ''

    def forward_address(self, name: str) -> str:
        """Return the peer's address for forwarded requests, '' if unknown."""
        heartbeat = self.trusted_heartbeat(name)
        if heartbeat is not None:
            return heartbeat.forward_address
        row = self.listed.get(name)
        return row.forward_address if row else ''

    def trusted_heartbeat(self, name: str) -> messages.Heartbeat | None:
        """Return the heartbeat if the addresses in it are the ones to use.

        Between failure domains the platform may name other addresses than
        those that a process listens on, so there the list takes precedence.
        """
        state = self.states.get(name)
        if state is None:
            return None
        same = state.heartbeat.failure_domain == self.failure_domain
        return state.heartbeat if same or name not in self.listed else None

    def tick(self, now: float) -> None:
        """Send heartbeats and note which peers fell silent."""
        for name in [n for n in self.up if now >= self.states[n].deadline]:
            self.mark_down(name)
        self.forget_old(now)
        heartbeat = self.own_heartbeat()
        for name in list(self.peering.peers):
            self.peering.send(name, heartbeat)

    def mark_down(self, name: str) -> None:
        """Note that a peer is not heard any more."""
        if name not in self.up:
            return
        self.up.discard(name)
        self.revision += 1
        domain = self.states[name].heartbeat.failure_domain
        self.events.emit('peer_down', peer=name, failure_domain=domain)

    def forget_old(self, now: float) -> None:
        """Close connections to peers that are neither listed nor heard."""
        for name in list(self.peering.peers):
            if name in self.listed or name in self.up:
                self.forget_at.pop(name, None)
            elif now >= self.forget_at.setdefault(name, now + FORGET_S):
                del self.forget_at[name]
                self.states.pop(name, None)
                self.peering.forget_peer(name)

    def live(self) -> dict[str, PeerState]:
        """Return the peers that are up, by name."""
        return {name: self.states[name] for name in sorted(self.up)}

    async def run(self, boxes: mailboxes.Mailboxes) -> None:
        """Take heartbeats and send them until cancelled."""
        queue = boxes.subscribe(messages.Heartbeat)
        next_tick = time.monotonic()
        while True:
            message = await mailboxes.receive(queue, next_tick)
            if message is None:
                self.tick(time.monotonic())
                next_tick = time.monotonic() + HEARTBEAT_PERIOD_S
            else:
                self.note_heartbeat(message, time.monotonic())
