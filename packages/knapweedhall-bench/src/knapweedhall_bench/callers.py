"""Callers that keep their connections, and what they were told."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import typing

import aiohttp

from knapweedhall_adapter import names
from knapweedhall_standins import upstream

# How long a caller waits beyond the timeout that it states.
GRACE_S = 2.0
KEYS = 65536
_numbers = itertools.count(1)


class Target(typing.NamedTuple):
    """Where a caller sends its requests.

    Attributes
    ----------
    router, address : str
        Name and IP:PORT of the instance.
    host : str
        Host header, which selects the service.
    """

    router: str
    address: str
    host: str


class Told(typing.NamedTuple):
    """One request and what its caller was told.

    Attributes
    ----------
    request : str
        Its id.
    router, host : str
        Where it went.
    idempotent : bool
        Whether it may run more than once.
    key : int or None
        Its key.
    sent_at, ended_at : float
        Monotonic clock, seconds.
    status : int
        0 if the connection ended without an answer, -1 if none was made.
    right : bool
        Whether the answer is the one that only this request gets.
    """

    request: str
    router: str
    host: str
    idempotent: bool
    key: int | None
    sent_at: float
    ended_at: float
    status: int
    right: bool


class Callers:
    """Sends requests at a rate over kept connections.

    Attributes
    ----------
    told : list of Told
        All requests so far.
    """

    def __init__(
        self,
        targets: typing.Callable[[], typing.Sequence[Target]],
        rng: random.Random,
        keyed: typing.Collection[str],
        timeout_ms: int = 1500,
    ) -> None:
        self.targets = targets
        self.rng = rng
        self.keyed = keyed
        self.timeout_ms = timeout_ms
        self.told: list[Told] = []

    async def run(self, rate: float, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set, then wait for their ends."""
        timeout = aiohttp.ClientTimeout(self.timeout_ms / 1000 + GRACE_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            # The library's own repetition would hide broken exchanges.
            session._retry_connection = False
            async with asyncio.TaskGroup() as group:
                while not stop.is_set():
                    target = self.rng.choice(self.targets())
                    group.create_task(self.ask(session, target))
                    await asyncio.sleep(self.rng.expovariate(rate))

    async def ask(
        self,
        session: aiohttp.ClientSession,
        target: Target,
        key: int | None = None,
    ) -> Told:
        """Send one request and keep what came of it."""
        number = next(_numbers)
        request = f'q{number}-{self.rng.getrandbits(32):08x}'
        headers = {
            'Host': target.host,
            names.REQUEST_ID_HEADER: request,
            names.TIME_LEFT_MS_HEADER: str(self.timeout_ms),
        }
        if key is None and target.host in self.keyed:
            key = self.rng.randrange(KEYS)
        if key is not None:
            headers[names.KEY_HEADER] = str(key)
        idempotent = self.rng.random() < 0.5
        method, body = ('GET', b'') if idempotent else ('POST', b'x' * 300)
        path = f'/item/{number}'
        sent_at, status, right = time.monotonic(), 0, False
        try:
            async with session.request(
                method,
                f'http://{target.address}{path}',
                headers=headers,
                data=body or None,
            ) as answer:
                content = await answer.read()
                status = answer.status
                wanted = upstream.expected_body(method, path, len(body))
                right = content == wanted and (
                    answer.headers.get(names.REQUEST_ID_HEADER) == request
                )
        except aiohttp.ClientConnectorError:
            status = -1
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Status 0 says that the connection ended.
            status = 0
        found = Told(
            request,
            target.router,
            target.host,
            idempotent,
            key,
            sent_at,
            time.monotonic(),
            status,
            right,
        )
        self.told.append(found)
        return found
