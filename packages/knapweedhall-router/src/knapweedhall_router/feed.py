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
RELY_S = 1.2
NEVER = float('-inf')

Records = typing.Sequence[outcomes.Record]
Handler = typing.Callable[[Records, bool], None]
Relay = typing.Callable[[str, Records, bool], None]


class Feed:
    """What an instance knows of the followed topics, and from whom.

    Attributes
    ----------
    handlers : dict of str to callable
        Takes the records of a topic that the coordinator passed on.
    newest : dict of str to dict of str to bytes
        By topic, the last value of each key; without topics never listed.
    read_at : dict of str to float
        When the instance itself read a topic last, seconds.
    told_at : dict of str to float
        When the coordinator read a topic last, seconds of the own clock.
    heard_at : float
        When the coordinator was heard last, seconds.
    relay : callable or None
        Passes records on; None unless this instance coordinates.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.newest: dict[str, dict[str, bytes]] = {}
        self.read_at: dict[str, float] = {}
        self.told_at: dict[str, float] = {}
        self.heard_at = NEVER
        self.relay: Relay | None = None

    def fed_until(self, topic: str) -> float:
        """Return until when the coordinator's reads are relied on."""
        if self.relay is not None or topic not in self.newest:
            return NEVER
        return self.told_at.get(topic, NEVER) + RELY_S

    def took(self, topic: str, records: Records, listing: bool) -> None:
        """Keep the newest values for instances that connect later."""
        known = self.newest.get(topic)
        if known is None and not listing:
            return
        if known is None or listing:
            known = self.newest[topic] = {}
        for record in records:
            if record.value:
                known[record.key] = record.value
            else:
                known.pop(record.key, None)

    def was_read(self, topic: str, now: float) -> None:
        """Take note that the store answered this instance."""
        self.read_at[topic] = now

    def pass_on(self, topic: str, records: Records, listing: bool) -> None:
        """Send changes to the other instances, if this one coordinates."""
        if self.relay is not None and (records or listing):
            self.relay(topic, records, listing)

    def deliver(
        self,
        topic: str,
        found: typing.Iterable[tuple[str, bytes]],
        listing: bool,
    ) -> None:
        """Take over records that the coordinator passed on."""
        handler = self.handlers.get(topic)
        if handler is not None and self.relay is None:
            handler([outcomes.Record(-1, *pair) for pair in found], listing)

    def ages(self, now: float) -> dict[str, float]:
        """Return the age of the own last read of each topic, seconds."""
        return {topic: now - at for topic, at in self.read_at.items()}

    def told(self, ages: typing.Mapping[str, float], now: float) -> None:
        """Take note of when the coordinator read last."""
        self.heard_at = now
        self.told_at = {topic: now - age for topic, age in ages.items()}
