"""Appends records to a keyed topic with optimistic concurrency.

The expected offset is sent along, so that one writer wins at each offset.
"""

from __future__ import annotations

import asyncio
import dataclasses

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store

CALL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Written:
    """The record was appended.

    Attributes
    ----------
    offset : int
        Its offset in the topic.
    """

    offset: int


@dataclasses.dataclass(frozen=True)
class Overtaken:
    """Another writer appended at the expected offset first."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The store did not confirm the append.

    Attributes
    ----------
    reason : str
        Why there is no confirmation.
    in_doubt : bool
        Whether the record may have been appended or may still be.
    """

    reason: str
    in_doubt: bool


Outcome = Written | Overtaken | Unknown


class Appender:
    """Appends records at a known end of a topic.

    Attributes
    ----------
    next_offset : int
        Offset of the next record unless another writer appends.
    """

    def __init__(
        self, client: store.StoreClient, topic: str, next_offset: int
    ) -> None:
        self.client = client
        self.topic = topic
        self.next_offset = next_offset

    async def append(self, record: bytes) -> Outcome:
        """Append an encoded record once.

        After `Unknown`, another call with the same record does not append
        it twice: it finds the record of the earlier call.
        """
        outcome = await self.client.append(
            self.topic, record, self.next_offset, self._deadline()
        )
        if isinstance(outcome, outcomes.Appended):
            self.next_offset = outcome.offset + 1
            return Written(outcome.offset)
        if isinstance(outcome, outcomes.Unavailable) and not outcome.in_doubt:
            return Unknown(outcome.reason, False)
        return await self._read_back(record, outcome)

    async def _read_back(
        self, record: bytes, outcome: outcomes.Conflict | outcomes.Unavailable
    ) -> Outcome:
        """Read the expected offset to find out whose record is there."""
        page = await self.client.read(
            self.topic, self.next_offset, 0, self._deadline()
        )
        if isinstance(page, outcomes.Unavailable):
            return Unknown(page.reason, True)
        if isinstance(page, outcomes.Page) and page.records:
            existing = page.records[0]
            if store.encode_record(existing.key, existing.value) == record:
                self.next_offset += 1
                return Written(self.next_offset - 1)
            return Overtaken()
        if isinstance(outcome, outcomes.Conflict):
            return Overtaken()
        return Unknown(outcome.reason, True)

    def _deadline(self) -> float:
        return asyncio.get_running_loop().time() + CALL_TIMEOUT_S
