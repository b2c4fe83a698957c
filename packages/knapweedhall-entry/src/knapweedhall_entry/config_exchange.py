"""Transfers records in force between peers when the log cannot provide them.

A new instance whose records have expired takes the whole state from a peer.
Every instance asks a peer whose configuration differs for longer than the log
normally needs to deliver a record.
"""

from __future__ import annotations

import time
import typing

from knapweedhall_entry import log_follower
from knapweedhall_entry import mailboxes
from knapweedhall_entry import membership
from knapweedhall_entry import messages
from knapweedhall_entry import messenger
from knapweedhall_ownership import checkpoints
from knapweedhall_ownership import configuration
from knapweedhall_peering import envelope
from knapweedhall_records import bodies

CHECK_INTERVAL_S = 0.25
# Records are in force everywhere within 6 s; a reader of the log needs well
# below 1 s, so a longer difference means that this instance's log is stuck.
DIFFERENCE_S = 1.0
REQUEST_INTERVAL_S = 0.5
# Keeps the request below the size limit of a message; without the versions
# the peer sends everything.
MAX_VERSIONS = 1000
CHUNK_SCHEMA = 2


class ConfigExchange:
    """Asks peers for records and answers their requests.

    Parameters
    ----------
    follower : log_follower.LogFollower
        Owner of the store.
    members : membership.Membership
        Live peers and their digests.
    sender : messenger.Messenger
        Sends messages.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        members: membership.Membership,
        sender: messenger.Messenger,
    ) -> None:
        self.follower = follower
        self.members = members
        self.sender = sender
        self.assembler = checkpoints.Assembler()
        self.differs_since: float | None = None
        self.next_request = 0.0
        self.number = 0
        self.asked = 0
        self.answered_at: dict[str, float] = {}

    def incomplete(self) -> bool:
        """Return whether this instance needs a whole state."""
        follower = self.follower
        return not follower.restored or follower.missing_first is not None

    def pick_peer(self) -> str | None:
        """Return a peer to ask, None if all have the same configuration.

        Peers are asked in turn, as one may lack the same records.
        """
        digest = self.follower.store.digest()
        names = [
            name
            for name, state in self.members.live().items()
            if state.heartbeat.restored
            and (self.incomplete() or state.heartbeat.digest != digest)
        ]
        return names[self.asked % len(names)] if names else None

    def tick(self, now: float) -> None:
        """Ask a peer if the configuration has differed for too long."""
        name = self.pick_peer()
        if name is None:
            self.differs_since = None
            return
        if self.differs_since is None:
            self.differs_since = now
        waited = now - self.differs_since >= DIFFERENCE_S
        # While the log answers the first reading, it is faster than peers.
        missing = self.follower.missing_first is not None
        if not (waited or missing) or now < self.next_request:
            return
        self.next_request = now + REQUEST_INTERVAL_S
        self.asked += 1
        self.number += 1
        self.sender.send(name, self.request())

    def request(self) -> messages.ConfigRequest:
        """Return the next request."""
        versions = self.follower.store.versions()
        whole = self.incomplete()
        if whole or len(versions) > MAX_VERSIONS:
            return messages.ConfigRequest({}, whole, self.number)
        named = {f'{kind}/{name}': v for (kind, name), v in versions.items()}
        return messages.ConfigRequest(named, whole, self.number)

    def answer(self, message: envelope.Received, now: float) -> None:
        """Send the records that a peer lacks."""
        request: messages.ConfigRequest = message.body
        name = message.sender.name
        if not self.follower.restored:
            return
        if now < self.answered_at.get(name, 0.0) + REQUEST_INTERVAL_S / 2:
            return
        self.answered_at[name] = now
        snapshot = self.follower.store.snapshot()
        if not request.whole:
            held = {
                split_key(text): version
                for text, version in request.versions.items()
            }
            newer = self.follower.store.newer_than(held)
            if not newer:
                return
            snapshot = configuration.Snapshot(0, tuple(newer))
        for chunk in checkpoints.divide(snapshot):
            self.sender.send(
                name, messages.ConfigRecords(request.number, *chunk)
            )

    def take(self, message: envelope.Received) -> None:
        """Take one chunk of a peer's answer."""
        answer: messages.ConfigRecords = message.body
        if answer.number > self.number:
            return
        record = bodies.Record(
            'checkpoint',
            CHUNK_SCHEMA,
            str(answer.chunk),
            1,
            0,
            *message.sender,
            answer.number,
            bodies.Checkpoint(*answer[1:]),
        )
        snapshot = self.assembler.add(record)
        if snapshot is None:
            return
        name = message.sender.name
        if not snapshot.next_offset:
            self.follower.load_partial(snapshot, name)
        elif self.covers_gap(snapshot):
            self.follower.load(snapshot, name)

    def covers_gap(self, snapshot: configuration.Snapshot) -> bool:
        """Return whether the tail of the log continues the state."""
        first = self.follower.missing_first
        return first is None or snapshot.next_offset >= first

    async def run(self, boxes: mailboxes.Mailboxes) -> None:
        """Ask and answer until cancelled."""
        queue = boxes.subscribe(messages.ConfigRequest, messages.ConfigRecords)
        next_tick = time.monotonic()
        while True:
            message = await mailboxes.receive(queue, next_tick)
            if message is None:
                self.tick(time.monotonic())
                next_tick = time.monotonic() + CHECK_INTERVAL_S
            elif isinstance(message.body, messages.ConfigRequest):
                self.answer(message, time.monotonic())
            else:
                self.take(message)


def split_key(text: str) -> typing.Any:
    """Return the (kind, name) that were joined by a slash."""
    kind, _, name = text.partition('/')
    return kind, name
