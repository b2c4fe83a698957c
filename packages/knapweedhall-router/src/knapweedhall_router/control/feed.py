"""Change feed of the store's records that the coordinator relays.

Calls to the store are limited and charged over all instances together, so the
coordinator reads for all and relays the records. An instance reads the store
itself if the coordinator is silent or has not read for some time.
"""

from __future__ import annotations

import typing

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import positions

# Maximum age of the coordinator's last read for which an instance relies on
# the relayed records. An instance must learn within 2 s of the store's
# acknowledgement that an upstream leaves; the remaining time covers a read of
# its own and the transfer of a request.
MAX_COORDINATOR_READ_AGE_S = 1.2
# Maximum age of an instance's own last read of a topic; if it is older, the
# instance requests all records when it connects to the coordinator. Longer
# than any pause between two reads.
MAX_OWN_READ_AGE_S = 3.0
# Time after which the operator and the upstreams have written again what the
# store lost when it came back from a copy. Upstreams write every 0.87 s, and
# an entry of one that has ended expires after three times of that.
REWRITTEN_S = 3.0
NEVER = float('-inf')

Records = typing.Sequence[outcomes.Record]
Handler = typing.Callable[[Records, bool], None]
Relay = typing.Callable[[str, Records], None]


class Feed:
    """Cached records of the followed topics, and who read them when.

    Times are in seconds of `clock.now` of this instance.

    Attributes
    ----------
    handlers : dict of str to callable
        By topic, the function that processes relayed records.
    newest : dict of str to dict of str to outcomes.Record
        By topic, the last record of each key; lacks topics that were never
        listed.
    read_offsets : dict of str to int
        By topic, the offset up to which this instance has read; older records
        are covered by its reads.
    read_at : dict of str to float
        When this instance itself last read a topic.
    coordinator_read_at : dict of str to float
        When the coordinator last read a topic.
    connected_at : float
        When the instance connected to the coordinator.
    min_offsets : dict of str to int or None
        By topic, the offset up to which the coordinator had read when this
        instance connected; None before its first heartbeat. Earlier changes
        are not relayed to this instance.
    listed : set of str
        Topics of which the coordinator sent all records over the current
        connection.
    coordinator_outage_at : float
        When the store last failed to answer the coordinator.
    receiving : bool
        Whether relayed records are being processed.
    heartbeat_at : float
        When the last heartbeat of the coordinator was received.
    relay : callable or None
        Sends records to the other instances; None unless this instance is the
        coordinator.
    restored_until : dict of str to float
        By topic, until when its records may be older than what was known, as
        the store came back from a copy; its writers write them again.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.newest: dict[str, dict[str, outcomes.Record]] = {}
        self.read_offsets: dict[str, int] = {}
        self.read_at: dict[str, float] = {}
        self.coordinator_read_at: dict[str, float] = {}
        self.connected_at = float('inf')
        self.min_offsets: dict[str, int] | None = None
        self.listed: set[str] = set()
        self.coordinator_outage_at = NEVER
        self.receiving = False
        self.heartbeat_at = NEVER
        self.relay: Relay | None = None
        self.restored_until: dict[str, float] = {}

    def record_end(self, topic: str, position: int, now: float) -> None:
        """Record up to where a topic is known, before its records are cached.

        Parameters
        ----------
        topic : str
            The topic.
        position : int
            Position of its end or of its newest record, which this instance
            or the coordinator has read.
        now : float
            Current time, seconds.
        """
        known = max(
            (record.offset for record in self.newest.get(topic, {}).values()),
            default=position,
        )
        if positions.era(position) > positions.era(known):
            self.restored_until[topic] = now + REWRITTEN_S

    def is_restored(self, topic: str, now: float) -> bool:
        """Return whether a topic may lack what its writers wrote before."""
        return now < self.restored_until.get(topic, NEVER)

    def take_rewritten(self, topic: str, now: float) -> bool:
        """Return once whether a restored topic is complete again."""
        if now < self.restored_until.get(topic, float('inf')):
            return False
        del self.restored_until[topic]
        return True

    def relay_valid_until(self, topic: str) -> float:
        """Return until when the relayed records of a topic are relied on.

        The coordinator relays only changes after the instance connected. What
        was before, it sent as a listing, or the instance must have read the
        topic itself after connecting, and up to where the coordinator had
        read it: the store may return an outdated state.
        """
        if self.relay is not None or topic not in self.newest:
            return NEVER
        if topic not in self.listed and not self._has_read(topic):
            return NEVER
        return (
            self.coordinator_read_at.get(topic, NEVER)
            + MAX_COORDINATOR_READ_AGE_S
        )

    def _has_read(self, topic: str) -> bool:
        """Return whether own reads cover all that is not relayed."""
        if self.min_offsets is None:
            return False
        if self.read_at.get(topic, NEVER) < self.connected_at:
            return False
        known = self.read_offsets.get(topic, 0)
        return known >= self.min_offsets.get(topic, 0)

    def outdated_topics(self, now: float) -> list[str]:
        """Return the topics whose last own read is too old."""
        return [
            topic
            for topic in self.handlers
            if now - self.read_at.get(topic, NEVER) > MAX_OWN_READ_AGE_S
        ]

    def list_records(self, topic: str) -> list[tuple[int, str, bytes]]:
        """Return offset, key and value of all cached records of a topic."""
        return [
            (record.offset, record.key, record.value)
            for record in self.newest[topic].values()
        ]

    def is_stale(self, topic: str, next_offset: int) -> bool:
        """Return whether a listing is older than what is known.

        That is a previous read, or where the coordinator had read.
        """
        known = self.read_offsets.get(topic, 0)
        if self.min_offsets is not None:
            known = max(known, self.min_offsets.get(topic, 0))
        return next_offset < known

    def last_read_at(self, topic: str) -> float:
        """Return when the state of a topic was last known, seconds."""
        return max(
            self.read_at.get(topic, NEVER),
            self.coordinator_read_at.get(topic, NEVER),
        )

    def record_connected(self, now: float) -> None:
        """Record that this instance connected to a coordinator."""
        self.connected_at = now
        self.min_offsets = None
        self.listed.clear()

    def newer_records(
        self, topic: str, records: Records
    ) -> list[outcomes.Record]:
        """Return the records that are not older than the cached ones."""
        known = self.newest.get(topic, {})
        return [
            record
            for record in records
            if record.key not in known
            or record.offset >= known[record.key].offset
        ]

    def infer_removals(
        self, topic: str, records: Records, next_offset: int
    ) -> list[outcomes.Record]:
        """Return removals of the cached keys that a listing lacks."""
        listed = {record.key for record in records}
        return [
            outcomes.Record(next_offset, key, b'')
            for key, record in self.newest.get(topic, {}).items()
            if record.value and key not in listed
        ]

    def cache_records(
        self, topic: str, records: Records, listing: bool
    ) -> None:
        """Cache the newest record of each key, including removals."""
        if listing:
            self.newest.setdefault(topic, {})
        known = self.newest.get(topic)
        if known is not None:
            known.update((record.key, record) for record in records)

    def record_read(self, topic: str, next_offset: int, now: float) -> None:
        """Record that this instance read a topic up to an offset."""
        self.read_at[topic] = now
        self.read_offsets[topic] = next_offset

    def relay_changes(self, topic: str, records: Records) -> None:
        """Relay changes if this instance is the coordinator."""
        if self.relay is not None and records:
            self.relay(topic, records)

    def receive(
        self,
        topic: str,
        relayed: typing.Iterable[tuple[int, str, bytes]],
        listing: bool,
    ) -> None:
        """Process records that the coordinator relayed.

        Parameters
        ----------
        topic : str
            Topic of the records.
        relayed : iterable of tuple of int, str and bytes
            Offsets, keys and values.
        listing : bool
            Whether these are all records of the topic.
        """
        handler = self.handlers.get(topic)
        if handler is None or self.relay is not None:
            return
        if listing and topic not in self.outdated_topics(self.heartbeat_at):
            # This instance has read the topic itself in the meantime.
            return
        # Relayed records may arrive after an own read that covers them.
        min_offset = 0 if listing else self.read_offsets.get(topic, 0)
        records = [
            outcomes.Record(*fields)
            for fields in relayed
            if fields[0] >= min_offset
        ]
        if records or listing:
            self.receiving = True
            try:
                handler(records, listing)
            finally:
                self.receiving = False
        if listing:
            self.listed.add(topic)

    def read_ages(self, now: float) -> dict[str, float]:
        """Return the age of the last own read of each topic, seconds."""
        return {topic: now - at for topic, at in self.read_at.items()}

    def record_heartbeat(
        self,
        ages: typing.Mapping[str, float],
        offsets: typing.Mapping[str, int],
        now: float,
    ) -> None:
        """Record when, and up to where, the coordinator read each topic."""
        if self.min_offsets is None:
            self.min_offsets = dict(offsets)
        self.heartbeat_at = now
        self.coordinator_read_at = {
            topic: now - age for topic, age in ages.items()
        }
