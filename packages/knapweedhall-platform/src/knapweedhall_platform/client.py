"""HTTP clients of the platform's log and instance list.

Every call takes a deadline on the event loop's clock, in seconds, and returns
a tagged outcome; none raises for a failure of the platform.
"""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import msgspec

from knapweedhall_platform import outcomes

MAX_ANSWER_BYTES = 16 * 1024 * 1024
_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


class _PageFields(typing.TypedDict):
    first: int
    next: int
    records: list[dict[str, typing.Any]]


class _AppendedFields(typing.TypedDict):
    offset: int


class _ExpiredFields(typing.TypedDict):
    first: int


class _ListFields(typing.TypedDict):
    instances: list[dict[str, typing.Any]]


def open_session(source_ip: str | None = None) -> aiohttp.ClientSession:
    """Return a session whose connections leave from one address.

    Parameters
    ----------
    source_ip : str or None
        Local IP number; the platform tells failure domains apart by it.
    """
    local = (source_ip, 0) if source_ip else None
    connector = aiohttp.TCPConnector(local_addr=local)
    return aiohttp.ClientSession(connector=connector)


class LogClient:
    """Appends to and reads from one stream of the log.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to use; the caller closes it.
    address : str
        IP number and port of the platform.
    stream : str
        Name of the stream.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, stream: str
    ) -> None:
        self.session = session
        self.url = f'http://{address}/streams/{stream}/records'

    async def append(
        self, record: bytes, deadline: float
    ) -> outcomes.AppendOutcome:
        """Append one encoded record.

        POST is never repeated by the HTTP library, so the record is sent at
        most once per call.
        """
        try:
            async with asyncio.timeout_at(deadline):
                async with self.session.post(self.url, data=record) as answer:
                    raw = await answer.read()
        except _FAILURES as error:
            return outcomes.AppendUnknown(_describe(error))
        if answer.status >= 500:
            return outcomes.AppendUnknown(f'status {answer.status}')
        if answer.status != 201:
            return outcomes.AppendRefused(f'status {answer.status}: {raw!r}')
        try:
            fields = msgspec.json.decode(raw, type=_AppendedFields)
        except msgspec.DecodeError as error:
            return outcomes.AppendUnknown(f'malformed answer: {error}')
        return outcomes.Appended(fields['offset'])

    async def read(
        self, start: int, deadline: float, limit: int = 500, wait_ms: int = 0
    ) -> outcomes.ReadOutcome:
        """Read entries from an offset.

        Parameters
        ----------
        start : int
            First offset wanted.
        deadline : float
            When to give up, in seconds of the event loop's clock.
        limit : int
            Highest number of entries.
        wait_ms : int
            How long the log may wait for the first entry, in ms.
        """
        query = {'from': start, 'limit': limit, 'wait_ms': wait_ms}
        answer = await _get(self.session, self.url, query, deadline)
        if isinstance(answer, outcomes.Unreachable):
            return answer
        status, raw = answer
        try:
            if status == 410:
                gone = msgspec.json.decode(raw, type=_ExpiredFields)
                return outcomes.Expired(gone['first'])
            if status != 200:
                return outcomes.Unreachable(f'status {status}')
            page = msgspec.json.decode(raw, type=_PageFields)
            records = msgspec.convert(
                [_row(fields) for fields in page['records']],
                tuple[outcomes.StoredRecord, ...],
            )
        except (msgspec.DecodeError, msgspec.ValidationError, KeyError) as bad:
            return outcomes.Unreachable(f'malformed answer: {bad}')
        return outcomes.LogPage(page['first'], page['next'], records)


class ListClient:
    """Reads the platform's lagging list of instances and upstreams."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.url = f'http://{address}/instances'

    async def read(self, deadline: float) -> outcomes.ListOutcome:
        """Return the rows of the list, or why there are none."""
        answer = await _get(self.session, self.url, {}, deadline)
        if isinstance(answer, outcomes.Unreachable):
            return answer
        status, raw = answer
        if status != 200:
            return outcomes.Unreachable(f'status {status}')
        try:
            fields = msgspec.json.decode(raw, type=_ListFields)
            rows = [_listed(row) for row in fields['instances']]
            return msgspec.convert(rows, outcomes.ListedInstances)
        except (msgspec.DecodeError, msgspec.ValidationError, KeyError) as bad:
            return outcomes.Unreachable(f'malformed answer: {bad}')


def _row(fields: dict[str, typing.Any]) -> tuple[typing.Any, ...]:
    return fields['offset'], fields['appended_ms'], fields['body']


def _listed(fields: dict[str, typing.Any]) -> tuple[typing.Any, ...]:
    defaults = outcomes.ListedInstance._field_defaults
    return tuple(
        fields.get(name, defaults[name]) if name in defaults else fields[name]
        for name in outcomes.ListedInstance._fields
    )


async def _get(
    session: aiohttp.ClientSession,
    url: str,
    query: dict[str, int],
    deadline: float,
) -> tuple[int, bytes] | outcomes.Unreachable:
    try:
        async with asyncio.timeout_at(deadline):
            async with session.get(url, params=query) as answer:
                return answer.status, await _read_bounded(answer)
    except _FAILURES as error:
        return outcomes.Unreachable(_describe(error))


async def _read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    chunks = []
    size = 0
    async for chunk in answer.content.iter_chunked(65536):
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(
                f'the answer is longer than {MAX_ANSWER_BYTES} bytes'
            )
        chunks.append(chunk)
    return b''.join(chunks)


def _describe(error: BaseException) -> str:
    return f'{type(error).__name__}: {error}'
