"""Appends to a keyed topic of which one writer wins at each offset."""

from __future__ import annotations

import asyncio
import dataclasses

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store

CALL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Written:
    """The record stands in the store, at an offset."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Overtaken:
    """Another writer appended first."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The store did not answer.

    Attributes
    ----------
    reason : str
        What happened.
    in_doubt : bool
        Whether the record may stand in the store, or may do so later.
    """

    reason: str
    in_doubt: bool


Outcome = Written | Overtaken | Unknown


class Appender:
    """Writes at the end of a topic that is known.

    Attributes
    ----------
    end : int
        Offset at which the topic ends if no other writer appended.
    """

    def __init__(
        self, client: store.StoreClient, topic: str, end: int
    ) -> None:
        self.client = client
        self.topic = topic
        self.next_offset = end

    async def append(self, record: bytes) -> Outcome:
        """Append a framed record once.

        Called again with the same record after `Unknown`, it finds out
        whether the earlier call took effect.
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
        """Tell an append of ours whose answer was lost from another one."""
        page = await self.client.read(
            self.topic, self.next_offset, 0, self._deadline()
        )
        if isinstance(page, outcomes.Unavailable):
            return Unknown(page.reason, True)
        if isinstance(page, outcomes.Page) and page.records:
            first = page.records[0]
            if store.encode_record(first.key, first.value) == record:
                self.next_offset += 1
                return Written(self.next_offset - 1)
            return Overtaken()
        if isinstance(outcome, outcomes.Conflict):
            return Overtaken()
        return Unknown(outcome.reason, True)

    def _deadline(self) -> float:
        return asyncio.get_running_loop().time() + CALL_TIMEOUT_S
