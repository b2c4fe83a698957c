"""HTTP client of the upstreams' control interface (grants and releases)."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

import aiohttp
import msgspec

from knapweedhall_ownership import messages
from knapweedhall_records import ids

MAX_ANSWER_BYTES = 1024 * 1024
CLOCK_HEADER = 'Knapweedhall-Clock-Ms'
INCARNATION_HEADER = 'Knapweedhall-Incarnation'
_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


class GrantFields(typing.TypedDict):
    """JSON form of a grant."""

    service: str
    token: str
    slices: list[int]


class GrantAnswer(typing.TypedDict):
    """JSON answer to an accepted grant."""

    incarnation: int
    clock_ms: int
    cold: bool
    slots: int
    connections: int
    held: list[GrantFields]


class RefusalAnswer(typing.TypedDict):
    """JSON answer to a grant of an older term."""

    highest_term: int


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The upstream took the whole set of grants.

    Attributes
    ----------
    answer : messages.GrantAnswer
        What the upstream answered.
    received : float
        Receipt of the answer, in seconds of `time.monotonic`.
    """

    answer: messages.GrantAnswer
    received: float


@dataclasses.dataclass(frozen=True)
class Healthy:
    """The upstream answered the first contact, which reads its clock."""

    incarnation: int
    clock_ms: int
    received: float


@dataclasses.dataclass(frozen=True)
class Refused:
    """The upstream knows a newer term."""

    highest_term: int


@dataclasses.dataclass(frozen=True)
class Released:
    """No work of the slices runs any more."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """No usable answer; the call may or may not have taken effect."""

    reason: str


GrantOutcome = Accepted | Refused | Failed
HealthOutcome = Healthy | Failed
ReleaseOutcome = Released | Failed


def open_session(source_ip: str) -> aiohttp.ClientSession:
    """Return a session for all upstreams, bound to the instance's address."""
    connector = aiohttp.TCPConnector(
        local_addr=(source_ip, 0), limit=0, limit_per_host=2
    )
    return aiohttp.ClientSession(connector=connector)


class UpstreamClient:
    """Calls the control interface of upstreams.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to use; the caller closes it.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def health(self, address: str, deadline: float) -> HealthOutcome:
        """Read the upstream's clock.

        Parameters
        ----------
        address : str
            IP number and port.
        deadline : float
            When to give up, in seconds of `time.monotonic`.
        """
        answer = await self.call('GET', address, 'health', None, deadline)
        if isinstance(answer, Failed):
            return answer
        try:
            clock_ms = int(answer.headers[CLOCK_HEADER])
            incarnation = int(answer.headers[INCARNATION_HEADER])
        except (KeyError, ValueError) as error:
            return Failed(f'no clock or incarnation: {error}')
        # The status says nothing about the clock, and health reports may
        # mislead, so it is not looked at.
        return Healthy(incarnation, clock_ms, answer.received)

    async def grant(
        self, address: str, body: messages.GrantBody, deadline: float
    ) -> GrantOutcome:
        """Put the whole set of grants of one upstream."""
        fields = body._asdict()
        fields['grants'] = [each._asdict() for each in body.grants]
        answer = await self.call('PUT', address, 'grants', fields, deadline)
        if isinstance(answer, Failed):
            return answer
        try:
            if answer.status == 409:
                found = msgspec.json.decode(answer.raw, type=RefusalAnswer)
                return Refused(found['highest_term'])
            if answer.status != 200:
                return Failed(f'status {answer.status}')
            return read_accepted(answer)
        except (msgspec.DecodeError, ValueError) as error:
            return Failed(f'malformed answer: {error}')

    async def release(
        self, address: str, body: messages.ReleaseBody, deadline: float
    ) -> ReleaseOutcome:
        """Ask for slices back; answered when their work is done."""
        fields = body._asdict()
        answer = await self.call('POST', address, 'release', fields, deadline)
        if isinstance(answer, Failed):
            return answer
        if answer.status != 200:
            return Failed(f'status {answer.status}')
        return Released()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        fields: dict[str, typing.Any] | None,
        deadline: float,
    ) -> Answer | Failed:
        """Send one call and read its whole answer."""
        url = f'http://{address}/knapweedhall/{path}'
        try:
            async with asyncio.timeout_at(deadline):
                async with self.session.request(
                    method, url, json=fields
                ) as answer:
                    raw = await read_bounded(answer)
        except _FAILURES as error:
            return Failed(f'{type(error).__name__}: {error}')
        headers = dict(answer.headers)
        return Answer(answer.status, headers, raw, time.monotonic())


class Answer(typing.NamedTuple):
    """Raw answer and the time of its receipt."""

    status: int
    headers: dict[str, str]
    raw: bytes
    received: float


async def read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    """Read an answer of limited length.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the answer is longer than `MAX_ANSWER_BYTES`.
    """
    raw = b''
    async for chunk in answer.content.iter_any():
        raw += chunk
        if len(raw) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(
                f'the answer is longer than {MAX_ANSWER_BYTES} bytes'
            )
    return raw


def read_accepted(answer: Answer) -> Accepted:
    """Decode the answer to an accepted grant.

    Raises
    ------
    ValueError
        If a token is malformed.
    msgspec.DecodeError
        If the JSON has another shape.
    """
    found = msgspec.json.decode(answer.raw, type=GrantAnswer)
    held = [messages.Grant(**fields) for fields in found['held']]
    for grant in held:
        ids.Token.parse(grant.token)
    return Accepted(
        messages.GrantAnswer(
            found['incarnation'],
            found['clock_ms'],
            found['cold'],
            found['slots'],
            found['connections'],
            held,
        ),
        answer.received,
    )
