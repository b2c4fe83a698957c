"""Records of the store that the coordinator passes on to all instances.

The calls of the store are limited and priced over all instances, so that one
instance reads for all. An instance reads by itself when the coordinator is
silent, or has not been able to read for some time.
"""

from __future__ import annotations

import typing

from knapweedhall_adapter import outcomes

# Age of the coordinator's last read up to which an instance relies on it. An
# upstream that leaves must be known within 2 s of the store's
# acknowledgement; one read of its own and a request's way fit in besides.
MAX_COORDINATOR_READ_AGE_S = 1.2
# Age of the own last read after which an instance that connects asks the
# coordinator for all records: longer than any pause between two reads.
MAX_OWN_READ_AGE_S = 3.0
NEVER = float('-inf')

Records = typing.Sequence[outcomes.Record]
Handler = typing.Callable[[Records, bool], None]
Relay = typing.Callable[[str, Records], None]


class Feed:
    """What an instance knows of the followed topics, and from whom.

    Attributes
    ----------
    handlers : dict of str to callable
        Takes the records of a topic that the coordinator passed on.
    newest : dict of str to dict of str to outcomes.Record
        By topic, the last record of each key; without topics never listed.
    read_offsets : dict of str to int
        Offsets before which a listing covers everything, by topic.
    read_at : dict of str to float
        When the instance itself read a topic last, seconds.
    coordinator_read_at : dict of str to float
        When the coordinator read a topic last, seconds of the own clock.
    connected_at : float
        When the instance connected to the coordinator, seconds.
    heartbeat_at : float
        When the coordinator was heard last, seconds.
    relay : callable or None
        Passes records on; None unless this instance coordinates.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.newest: dict[str, dict[str, outcomes.Record]] = {}
        self.read_offsets: dict[str, int] = {}
        self.read_at: dict[str, float] = {}
        self.coordinator_read_at: dict[str, float] = {}
        self.connected_at = float('inf')
        self.heartbeat_at = NEVER
        self.relay: Relay | None = None

    def relay_valid_until(self, topic: str) -> float:
        """Return until when the coordinator's reads are relied on.

        The coordinator passes on what changes after the instance connected,
        so one own read must come later than that.
        """
        if self.relay is not None or topic not in self.newest:
            return NEVER
        if self.read_at.get(topic, NEVER) < self.connected_at:
            return NEVER
        return (
            self.coordinator_read_at.get(topic, NEVER)
            + MAX_COORDINATOR_READ_AGE_S
        )

    def outdated_topics(self, now: float) -> list[str]:
        """Return the topics that the instance can't read by itself."""
        return [
            topic
            for topic in self.handlers
            if now - self.read_at.get(topic, NEVER) > MAX_OWN_READ_AGE_S
        ]

    def list_records(self, topic: str) -> list[tuple[int, str, bytes]]:
        """Return all known records of a topic."""
        return [
            (one.offset, one.key, one.value)
            for one in self.newest[topic].values()
        ]

    def is_stale(self, topic: str, end: int) -> bool:
        """Return whether a listing is behind what was read before."""
        return end < self.read_offsets.get(topic, 0)

    def newer_records(
        self, topic: str, records: Records
    ) -> list[outcomes.Record]:
        """Return the records that are not older than what is known."""
        known = self.newest.get(topic, {})
        return [
            one
            for one in records
            if one.key not in known or one.offset >= known[one.key].offset
        ]

    def infer_removals(
        self, topic: str, records: Records, end: int
    ) -> list[outcomes.Record]:
        """Return the drops of the keys that a listing does not name."""
        named = {one.key for one in records}
        return [
            outcomes.Record(end, key, b'')
            for key, one in self.newest.get(topic, {}).items()
            if one.value and key not in named
        ]

    def cache_records(
        self, topic: str, records: Records, listing: bool
    ) -> None:
        """Keep the newest record of each key, also of dropped ones."""
        if listing:
            self.newest.setdefault(topic, {})
        known = self.newest.get(topic)
        if known is not None:
            known.update((record.key, record) for record in records)

    def record_read(self, topic: str, end: int, now: float) -> None:
        """Take note that this instance read a topic up to an offset."""
        self.read_at[topic] = now
        self.read_offsets[topic] = end

    def relay_changes(self, topic: str, records: Records) -> None:
        """Send changes to the other instances, if this one coordinates."""
        if self.relay is not None and records:
            self.relay(topic, records)

    def receive(
        self,
        topic: str,
        found: typing.Iterable[tuple[int, str, bytes]],
        listing: bool,
    ) -> None:
        """Take over records that the coordinator passed on."""
        handler = self.handlers.get(topic)
        if handler is None or self.relay is not None:
            return
        if listing and topic not in self.outdated_topics(self.heartbeat_at):
            # The own reads have caught up meanwhile.
            return
        # Records may arrive after a read of one's own that covers them.
        floor = 0 if listing else self.read_offsets.get(topic, 0)
        records = [outcomes.Record(*one) for one in found if one[0] >= floor]
        if records or listing:
            handler(records, listing)

    def read_ages(self, now: float) -> dict[str, float]:
        """Return the age of the own last read of each topic, seconds."""
        return {topic: now - at for topic, at in self.read_at.items()}

    def record_heartbeat(
        self, ages: typing.Mapping[str, float], now: float
    ) -> None:
        """Take note of when the coordinator read last."""
        self.heartbeat_at = now
        self.coordinator_read_at = {
            topic: now - age for topic, age in ages.items()
        }
