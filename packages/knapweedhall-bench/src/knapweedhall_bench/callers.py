"""Callers that send requests to the routers and record the results."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
import typing

import aiohttp

from knapweedhall_adapter import names
from knapweedhall_standins import upstream

# Time for which a caller waits beyond the timeout that it states.
TIMEOUT_MARGIN_S = 2.0
KEY_COUNT = 65536
# Every so many requests, a body arrives in parts with pauses, as over a slow
# link; together they take MAX_PART_PAUSE_S at most.
SLOW_BODY_PERIOD = 5
MAX_PART_PAUSE_S = 0.4
# The same for callers that use a router until its process is gone: the last
# byte may be sent after idle connections were closed.
MAX_HELD_S = 5.0
MAX_IDLE_S = 0.5
# Time limit of these requests. With that of the others, they would be refused
# before a process that discards their bodies ends.
SLOW_TIMEOUT_MS = 6000
# One in LONG_PERIOD requests without a key takes up to MAX_WORK_S, longer than
# the time between the last sixth of a stop's grace time and the requests that
# it excuses; one in LARGE_PERIOD has a body or a response of LARGE_BYTES, the
# largest uploads of the platform's site files.
LONG_PERIOD, MAX_WORK_S = 40, 4.0
LARGE_PERIOD, LARGE_BYTES = 20, 360000
LARGE_PARTS = 4
# Key of the workspace, one that is withdrawn, and one that no workspace has;
# shares of the requests that use the latter two.
KEY, WITHDRAWN_KEY, UNKNOWN_KEY = 'key-1', 'key-2', 'key-0'
WITHDRAWN_SHARE, UNKNOWN_SHARE = 0.2, 0.03
_numbers = itertools.count(1)


class Upload:
    """The body of a request as it is sent.

    Attributes
    ----------
    parts : list of bytes
        Parts of the body.
    pause_s : float
        Pause between two parts, seconds.
    sent_whole_at : float
        When the last part was sent, seconds of the monotonic clock; inf
        before.
    """

    def __init__(self, parts: list[bytes], pause_s: float) -> None:
        self.parts = parts
        self.pause_s = pause_s
        self.sent_whole_at = math.inf

    async def send(self) -> typing.AsyncIterator[bytes]:
        """Yield the parts with their pauses."""
        for number, part in enumerate(self.parts):
            if number:
                await asyncio.sleep(self.pause_s)
            yield part
        self.sent_whole_at = time.monotonic()


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


class Result(typing.NamedTuple):
    """One request and its result as its caller saw it.

    Attributes
    ----------
    request : str
        Request ID.
    router, host : str
        Instance and host that it was sent to.
    idempotent : bool
        Whether it may run more than once.
    key : int or None
        Its key; None if the service has no keys.
    sent_at, ended_at : float
        Seconds of the monotonic clock.
    status : int
        HTTP status; 0 if the connection ended without a response, -1 if no
        connection was made.
    right : bool
        Whether the response is whole and belongs to this request.
    sent_whole_at : float
        When its last byte was sent, seconds of the monotonic clock; inf if it
        was not.
    deadline : float
        End of the time that it stated, seconds of the monotonic clock.
    signed : bool
        Whether the response is an upstream's.
    began : bool
        Whether the head of a response arrived.
    gave_up : bool
        Whether the caller closed the connection, as it did not wait longer.
    caller_key : str
        Key of the workspace that it was sent with; '' if none.
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
    sent_whole_at: float = math.inf
    deadline: float = math.inf
    signed: bool = False
    began: bool = False
    gave_up: bool = False
    caller_key: str = ''


def _pick_key(share: float) -> str:
    if share < UNKNOWN_SHARE:
        return UNKNOWN_KEY
    return WITHDRAWN_KEY if share < UNKNOWN_SHARE + WITHDRAWN_SHARE else KEY


class Callers:
    """Sends requests at a rate over persistent connections.

    Attributes
    ----------
    results : list of Result
        Results of all requests so far.
    have_keys : bool
        Whether requests are sent with keys of workspaces.
    """

    def __init__(
        self,
        targets: typing.Callable[[], typing.Sequence[Target]],
        rng: random.Random,
        keyed_hosts: typing.Collection[str],
        timeout_ms: int = 1500,
    ) -> None:
        self.targets = targets
        self.rng = rng
        self.keyed_hosts = keyed_hosts
        self.timeout_ms = timeout_ms
        self.results: list[Result] = []
        self.have_keys = False

    async def run(self, requests_per_s: float, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set, then wait for their results."""
        async with self.open_session() as session:
            async with asyncio.TaskGroup() as group:
                while not stop.is_set():
                    target = self.rng.choice(self.targets())
                    group.create_task(self.send(session, target, varied=True))
                    await asyncio.sleep(self.rng.expovariate(requests_per_s))

    def open_session(self) -> aiohttp.ClientSession:
        """Return a new session for requests, which keeps connections."""
        timeout = aiohttp.ClientTimeout(
            max(self.timeout_ms, SLOW_TIMEOUT_MS) / 1000 + TIMEOUT_MARGIN_S
        )
        connector = aiohttp.TCPConnector(limit=0)
        session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        # aiohttp's own retries would hide requests that were cut.
        session._retry_connection = False
        return session

    async def send(
        self,
        session: aiohttp.ClientSession,
        target: Target,
        key: int | None = None,
        varied: bool = False,
        large: bool = False,
        max_pause_s: float = MAX_PART_PAUSE_S,
    ) -> Result:
        """Send one request and record its result.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Its connections are used.
        target : Target
            Where it is sent.
        key : int or None
            Its key; None for any, if the service has keys.
        varied, large : bool
            Whether some take long or are large, and whether all are large.
        max_pause_s : float
            Longest time for which a body in parts is held back, seconds.
        """
        number = next(_numbers)
        request = f'q{number}-{self.rng.getrandbits(32):08x}'
        is_slow = large or not number % SLOW_BODY_PERIOD
        timeout_ms = SLOW_TIMEOUT_MS if is_slow else self.timeout_ms
        headers = {
            'Host': target.host,
            names.REQUEST_ID_HEADER: request,
            names.TIME_LEFT_MS_HEADER: str(timeout_ms),
        }
        if key is None and target.host in self.keyed_hosts:
            key = self.rng.randrange(KEY_COUNT)
        if key is not None:
            headers[names.KEY_HEADER] = str(key)
        idempotent = self.rng.random() < 0.5
        method, body = ('GET', b'') if idempotent else ('POST', b'x' * 300)
        upload = Upload([body], 0.0)
        # Not of `rng`, whose series the seeds were recorded with.
        request_rng = random.Random(request)
        share = request_rng.random()
        caller_key = ''
        if self.have_keys:
            caller_key = _pick_key(request_rng.random()) if varied else KEY
            headers[names.CALLER_KEY_HEADER] = (
                f'{names.CHALLENGE} {caller_key}'
            )
        path = f'/item/{number}'
        if varied and not number % LONG_PERIOD and key is None:
            path += f'?work_s={share * MAX_WORK_S:.3f}'
        elif large or (varied and not number % LARGE_PERIOD):
            if body:
                body = b'x' * LARGE_BYTES
            else:
                path += f'?bytes={LARGE_BYTES}'
        if body and is_slow:
            size = -(-len(body) // LARGE_PARTS)
            parts = [
                body[begin : begin + size]
                for begin in range(0, len(body), size)
            ]
            pause_s = share * max_pause_s / (LARGE_PARTS - 1)
            upload = Upload(parts, pause_s)
        sent_at, status, right = time.monotonic(), 0, False
        signed = began = gave_up = False
        try:
            async with session.request(
                method,
                f'http://{target.address}{path}',
                headers=headers,
                data=upload.send() if body else None,
            ) as response:
                began = True
                response_body = await response.read()
                status = response.status
                signed = names.SIGNATURE_HEADER in response.headers
                expected = upstream.expected_body(method, path, len(body))
                right = response_body == expected and (
                    response.headers.get(names.REQUEST_ID_HEADER) == request
                )
        except aiohttp.ClientConnectorError:
            status = -1
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # Status 0: the connection ended without a response.
            status = 0
            gave_up = isinstance(error, TimeoutError)
        result = Result(
            request,
            target.router,
            target.host,
            idempotent,
            key,
            sent_at,
            time.monotonic(),
            status,
            right,
            upload.sent_whole_at if body else sent_at,
            sent_at + timeout_ms / 1000,
            signed,
            began,
            gave_up,
            caller_key,
        )
        self.results.append(result)
        return result

    async def use_until(
        self, targets: typing.Sequence[Target], gone: asyncio.Event
    ) -> None:
        """Send requests over kept connections until a process is gone.

        Parameters
        ----------
        targets : sequence of Target
            Hosts of one router.
        gone : asyncio.Event
            Set when its process has ended.
        """
        rng = random.Random(targets[0].router)
        async with self.open_session() as session:
            while not gone.is_set():
                target = rng.choice(targets)
                await self.send(session, target, max_pause_s=MAX_HELD_S)
                # The connection is idle for a while.
                await asyncio.sleep(rng.random() * MAX_IDLE_S)
