"""The coordinator's records in the store: its term and the assignments."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from knapweedhall_adapter import errors
from knapweedhall_adapter import outcomes
from knapweedhall_adapter import positions
from knapweedhall_adapter import store
from knapweedhall_router.control import appender
from knapweedhall_router.control import takeover
from knapweedhall_router import logs
from knapweedhall_router import settings as settings_module
from knapweedhall_routing import holdings
from knapweedhall_routing import model

TOPIC = 'keyed.knapweedhall'
TERM_KEY = 'tenure'
TABLE_PREFIX = 'table/'
STORE_RETRY_S = 0.1
# Messages between instances carry integers of up to 64 bits.
MAX_BORN_MS = 2**63 - 1


@errors.decoder('term')
def decode_term(raw: bytes) -> takeover.TermRecord:
    """Return a stored record of a term.

    Raises
    ------
    errors.DecodeError
        If it is malformed.
    """
    return msgspec.json.decode(raw, type=takeover.TermRecord)


@errors.decoder('assignment')
def decode_assignment(raw: bytes) -> list[holdings.StoredRange]:
    """Return a stored assignment of a service.

    Raises
    ------
    errors.DecodeError
        If it is malformed.
    """
    stored = msgspec.json.decode(raw, type=list[holdings.StoredRange])
    for item in stored:
        model.KeyRange(item.first, item.last).check()
        if item.upstream and item.host:
            model.parse_address(f'{item.host}:{item.port}')
        if not 0 <= item.born_ms <= MAX_BORN_MS:
            raise ValueError(f'start time {item.born_ms}')
    return stored


class DeposedError(Exception):
    """Another coordinator wrote to the topic, so this term is over."""


class RestoredError(DeposedError):
    """The store came back from a copy, which may lack what was written."""


class Checkpoint(typing.NamedTuple):
    """What a coordinator knows of its assignments without the store.

    Attributes
    ----------
    epoch : int
        Number of its term.
    era : int
        Era in which the store came back. In a later one, another coordinator
        may have changed owners.
    assignments : dict of str to list of holdings.StoredRange
        The assignments that the store had confirmed, by service.
    """

    epoch: int
    era: int
    assignments: dict[str, list[holdings.StoredRange]]


class CoordinatorStore:
    """Reads and writes the coordinator's records.

    Records are appended at the expected offset only, so that a coordinator
    notices when another one has written.

    Attributes
    ----------
    epoch : int
        Number of the term: the rank of its first record; -1 before. It is
        higher than those of all earlier terms, also after the store came back
        from a copy.
    next_epoch : int
        The same, also while the first record is being written.
    era : int
        Era of the store in which the term began; -1 before.
    tables_from : int
        Position from which on the stored assignments are true.
    stored : dict of str to list of holdings.StoredRange
        The assignments that the store has confirmed, by service.
    knows_predecessors : bool
        Whether all earlier coordinators that may still renew grants are among
        the predecessors.
    deposed : bool
        Whether another coordinator wrote in the era of this term.
    restored : bool
        Whether a record could not be written as the store was restored.
    appender : appender.Appender
        Appends at the end of the topic as this coordinator knows it.
    fleet : list of str
        Instances in the stored record of the term. Offline renewals need a
        majority of them.
    next_fleet : list of str
        Instances in the record that is being written, else `fleet`.
    lost, next_lost : list of str
        The same for instances that are not connected and may use their own
        shares of quotas. A term begins with all instances of the last record.
    predecessors : list of takeover.Predecessor
        Earlier coordinators that may still renew grants.
    outdated : set of str
        Services whose assignment the store has from an earlier era only.
    unreadable : set of str
        Services whose assignment, though of this era, cannot be decoded.
    lock : asyncio.Lock
        Held while a record is written.
    requested, written : dict of str to int
        By service, the number of the last requested and of the last stored
        version of its assignment.
    """

    def __init__(
        self, client: store.StoreClient, settings: settings_module.Settings
    ) -> None:
        self.client = client
        self.name = settings.name
        self.address = f'{settings.address}:{settings.peer_port}'
        self.epoch = -1
        self.next_epoch = -1
        self.era = -1
        self.tables_from = 0
        self.stored: dict[str, list[holdings.StoredRange]] = {}
        self.knows_predecessors = True
        self.deposed = False
        self.restored = False
        self.appender = appender.Appender(client, TOPIC, 0)
        self.fleet: list[str] = []
        self.next_fleet: list[str] = []
        self.lost: list[str] = []
        self.next_lost: list[str] = []
        self.predecessors: list[takeover.Predecessor] = []
        self.outdated: set[str] = set()
        self.unreadable: set[str] = set()
        self.lock = asyncio.Lock()
        self.requested: dict[str, int] = {}
        self.written: dict[str, int] = {}

    def checkpoint(self) -> Checkpoint:
        """Return the assignments that the store has confirmed."""
        return Checkpoint(self.epoch, self.client.era, dict(self.stored))

    async def begin(
        self, checkpoint: Checkpoint | None = None
    ) -> dict[str, list[holdings.StoredRange] | None]:
        """Begin a term and return the assignments by service.

        An assignment that is not known is None: it can't be read, or the
        store came back from a copy that may lack its last changes.

        Parameters
        ----------
        checkpoint : Checkpoint or None
            Assignments of the last term, which ended with the store's era, if
            nobody else can have changed them.
        """
        before: takeover.TermRecord | None = None
        sent: takeover.TermRecord | None = None
        while True:
            page = await self.client.read_newest(TOPIC, self._deadline())
            if isinstance(page, outcomes.Page):
                last = self._read_term(page)
                # If the answer to an append is lost, the next attempt reads
                # the appended record as that of a predecessor. It does not
                # show that another coordinator has changed assignments.
                if sent is None or last != sent:
                    before = last
                self._adopt_term(last, page.next_offset)
                self.appender.next_offset = page.next_offset
                sent = self._term()
                outcome = await self.client.append(
                    TOPIC,
                    self._encode_term(),
                    page.next_offset,
                    self._deadline(),
                )
                if isinstance(outcome, outcomes.Appended):
                    break
            await asyncio.sleep(STORE_RETRY_S)
        self.epoch = positions.rank(outcome.offset)
        self.lost = self.next_lost
        self.appender.next_offset = outcome.offset + 1
        if checkpoint is not None and self._is_newer(checkpoint, before):
            await self._write_checkpoint(checkpoint)
            return dict(self.stored)
        assignments = self._decode_assignments(page)
        self.stored = {
            service: stored
            for service, stored in assignments.items()
            if stored is not None
        }
        return assignments

    def _adopt_term(
        self, last: takeover.TermRecord | None, start: int
    ) -> None:
        """Take over what the record of the last term says.

        Parameters
        ----------
        last : takeover.TermRecord or None
            The record; None if there is none that can be read.
        start : int
            Position of this term's first record.
        """
        self.era = positions.era(start)
        self.next_epoch = positions.rank(start)
        self.predecessors = takeover.predecessors(last, self.address)
        if last is not None:
            self.next_lost = sorted({*last.fleet, *last.lost})
        if last is None:
            self.tables_from = 0
        elif last.era is None or last.era == self.era:
            self.tables_from = last.tables_from
        else:
            # All that is stored is of the copy.
            self.tables_from = start

    def _is_newer(
        self, checkpoint: Checkpoint, last: takeover.TermRecord | None
    ) -> bool:
        """Return whether a checkpoint is newer than what is stored."""
        if checkpoint.era != self.era:
            return False
        if last is None:
            return True
        if last.era is None or last.era == self.era:
            return False
        return last.epoch <= checkpoint.epoch

    async def _write_checkpoint(self, checkpoint: Checkpoint) -> None:
        for service, stored in checkpoint.assignments.items():
            await self._append(
                store.encode_record(
                    TABLE_PREFIX + service, msgspec.json.encode(stored)
                )
            )
            self.stored[service] = stored
        logs.info('assignments_restored', services=sorted(self.stored))

    async def adopt(
        self, service: str, stored: list[holdings.StoredRange]
    ) -> None:
        """Write the assignment that a coordinator of an earlier era had.

        It is in force only then: a coordinator that began later finds it, or
        this one finds that it was deposed.
        """
        record = store.encode_record(
            TABLE_PREFIX + service, msgspec.json.encode(stored)
        )
        async with self.lock:
            await self._append(record)
        self.stored[service] = stored

    async def clear_predecessors(self) -> None:
        """Remove the predecessors from the stored record of the term.

        The next coordinator then does not contact them again.
        """
        if not self.predecessors:
            return
        self.predecessors = []
        async with self.lock:
            await self._append(self._encode_term())

    def fleets(self) -> list[list[str]]:
        """Return the fleets that the stored record of the term may name."""
        return [self.fleet, self.next_fleet]

    async def write_fleet(self, instances: list[str], lost: list[str]) -> None:
        """Write the names of the connected and lost instances to the store.

        Raises
        ------
        DeposedError
            If another coordinator wrote first.
        """
        async with self.lock:
            self.next_fleet, self.next_lost = instances, lost
            await self._append(self._encode_term())
            self.fleet, self.lost = instances, lost

    async def write_assignment(
        self, service_holdings: holdings.Holdings
    ) -> None:
        """Write the assignment of a service.

        Calls that wait for the lock at the same time share one record.

        Raises
        ------
        DeposedError
            If another coordinator wrote first.
        """
        name = service_holdings.service
        version = self.requested[name] = self.requested.get(name, 0) + 1
        async with self.lock:
            if self.written.get(name, 0) >= version:
                return
            latest = self.requested[name]
            stored = service_holdings.to_stored()
            await self._append(
                store.encode_record(
                    TABLE_PREFIX + name, msgspec.json.encode(stored)
                )
            )
            self.written[name] = latest
            self.stored[name] = stored

    def _term(self) -> takeover.TermRecord:
        return takeover.TermRecord(
            self.name,
            self.address,
            self.next_fleet,
            self.predecessors,
            self.next_epoch,
            self.era,
            self.tables_from,
            self.next_lost,
        )

    def _encode_term(self) -> bytes:
        return store.encode_record(TERM_KEY, msgspec.json.encode(self._term()))

    def _read_term(self, page: outcomes.Page) -> takeover.TermRecord | None:
        """Return the record of the last term in a listing."""
        for record in page.records:
            if record.key != TERM_KEY:
                continue
            try:
                return decode_term(record.value)
            except errors.DecodeError as error:
                logs.warning('tenure_unreadable', reason=str(error))
        return None

    def _decode_assignments(
        self, page: outcomes.Page
    ) -> dict[str, list[holdings.StoredRange] | None]:
        assignments: dict[str, list[holdings.StoredRange] | None] = {}
        for record in page.records:
            if not record.key.startswith(TABLE_PREFIX) or not record.value:
                continue
            service = record.key.removeprefix(TABLE_PREFIX)
            assignments[service] = None
            if record.offset < self.tables_from:
                self.knows_predecessors = False
                self.outdated.add(service)
                logs.warning('table_outdated', key=record.key)
                continue
            try:
                assignments[service] = decode_assignment(record.value)
            except errors.DecodeError as error:
                self.unreadable.add(service)
                logs.warning(
                    'table_unreadable', key=record.key, reason=str(error)
                )
        return assignments

    async def _append(self, record: bytes) -> None:
        while True:
            outcome = await self.appender.append(record)
            if isinstance(outcome, appender.Written):
                return
            if self.client.era != self.era:
                self.restored = True
                raise RestoredError
            if isinstance(outcome, appender.Overtaken):
                self.deposed = True
                raise DeposedError
            logs.info('table_not_written', reason=outcome.reason)
            await asyncio.sleep(STORE_RETRY_S)

    def _deadline(self) -> float:
        return asyncio.get_running_loop().time() + appender.CALL_TIMEOUT_S
