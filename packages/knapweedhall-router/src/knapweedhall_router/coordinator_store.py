"""The tenure and the assignments of keys, as they stand in the store."""

from __future__ import annotations

import asyncio

import msgspec

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_router import appender
from knapweedhall_router import logs
from knapweedhall_router import settings as settings_module
from knapweedhall_router import takeover
from knapweedhall_routing import holdings

TOPIC = 'keyed.knapweedhall'
TERM_KEY = 'tenure'
TABLE_PREFIX = 'table/'
STORE_RETRY_S = 0.1


class DeposedError(Exception):
    """Another coordinator has taken over."""


class CoordinatorStore:
    """Writes records at the end that is known, so that one writer wins.

    Attributes
    ----------
    epoch : int
        Offset of the tenure's record; -1 before.
    appender : appender.Appender
        Writes where the partition ends if no other coordinator wrote.
    fleet : list of str
        Recorded instances; renewals without the store need their majority.
    predecessors : list of takeover.Predecessor
        Coordinators that may still renew grants.
    """

    def __init__(
        self, client: store.StoreClient, settings: settings_module.Settings
    ) -> None:
        self.client = client
        self.name = settings.name
        self.address = f'{settings.address}:{settings.peer_port}'
        self.epoch = -1
        self.appender = appender.Appender(client, TOPIC, 0)
        self.fleet: list[str] = []
        self.next_fleet: list[str] = []
        self.predecessors: list[takeover.Predecessor] = []
        self.lock = asyncio.Lock()
        # Changes that were asked to be written, and those that were.
        self.wanted: dict[str, int] = {}
        self.written: dict[str, int] = {}

    async def begin(self) -> dict[str, list[holdings.StoredRange]]:
        """Begin a tenure; return the assignments by service."""
        while True:
            page = await self.client.read_newest(TOPIC, self._deadline())
            if isinstance(page, outcomes.Page):
                self.predecessors = self._find_predecessors(page)
                self.appender.next_offset = page.next_offset
                # An append without an answer is not looked for: what stands
                # there is read as the tenure of a predecessor.
                outcome = await self.client.append(
                    TOPIC, self._tenure(), page.next_offset, self._deadline()
                )
                if isinstance(outcome, outcomes.Appended):
                    break
            await asyncio.sleep(STORE_RETRY_S)
        self.epoch = outcome.offset
        self.appender.next_offset = outcome.offset + 1
        return self._tables(page)

    async def predecessors_ended(self) -> None:
        """Tell the next coordinator that it need not ask them again."""
        if not self.predecessors:
            return
        self.predecessors = []
        async with self.lock:
            await self._write(self._tenure())

    def fleets(self) -> list[list[str]]:
        """Return the fleets that may stand in the store now."""
        return [self.fleet, self.next_fleet]

    async def record_fleet(self, instances: list[str]) -> None:
        """Write which instances are connected.

        Raises
        ------
        DeposedError
            If another coordinator wrote first.
        """
        async with self.lock:
            self.next_fleet = instances
            await self._write(self._tenure())
            self.fleet = instances

    async def write(self, ranges: holdings.Holdings) -> None:
        """Write the assignment of a service.

        Writers that wait for the same lock share one record.

        Raises
        ------
        DeposedError
            If another coordinator wrote first.
        """
        name = ranges.service
        wanted = self.wanted[name] = self.wanted.get(name, 0) + 1
        async with self.lock:
            if self.written.get(name, 0) >= wanted:
                return
            covered = self.wanted[name]
            await self._write(
                store.encode_record(
                    TABLE_PREFIX + name,
                    msgspec.json.encode(ranges.to_stored()),
                )
            )
            self.written[name] = covered

    def _tenure(self) -> bytes:
        tenure = takeover.TermRecord(
            self.name, self.address, self.next_fleet, self.predecessors
        )
        return store.encode_record(TERM_KEY, msgspec.json.encode(tenure))

    def _find_predecessors(
        self, page: outcomes.Page
    ) -> list[takeover.Predecessor]:
        for found in page.records:
            if found.key != TERM_KEY:
                continue
            try:
                last = msgspec.json.decode(
                    found.value, type=takeover.TermRecord
                )
            except msgspec.MsgspecError as error:
                logs.warning('tenure_unreadable', reason=str(error))
                continue
            return takeover.predecessors(last, self.address)
        return []

    def _tables(
        self, page: outcomes.Page
    ) -> dict[str, list[holdings.StoredRange]]:
        tables = {}
        for found in page.records:
            if not found.key.startswith(TABLE_PREFIX) or not found.value:
                continue
            try:
                tables[found.key.removeprefix(TABLE_PREFIX)] = (
                    msgspec.json.decode(
                        found.value, type=list[holdings.StoredRange]
                    )
                )
            except msgspec.MsgspecError as error:
                logs.warning(
                    'table_unreadable', key=found.key, reason=str(error)
                )
        return tables

    async def _write(self, record: bytes) -> None:
        while True:
            outcome = await self.appender.append(record)
            if isinstance(outcome, appender.Written):
                return
            if isinstance(outcome, appender.Overtaken):
                raise DeposedError
            logs.info('table_not_written', reason=outcome.reason)
            await asyncio.sleep(STORE_RETRY_S)

    def _deadline(self) -> float:
        return asyncio.get_running_loop().time() + appender.CALL_TIMEOUT_S
