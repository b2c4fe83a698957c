"""Open-loop load generator: calls leave at their times, come what may."""

from __future__ import annotations

import asyncio
import itertools
import random
import typing

import aiohttp
from knapweedhall_events import trace

from knapweedhall_bench import results
from knapweedhall_bench import workload

# A response may take this much longer than the timeout that the caller
# stated before the call counts as lost.
GRACE_S = 2.0
# Reads that find out when a key is served again after a failed call: gap
# between them, timeout that each states, and how long they go on.
WATCH_PERIOD_S = 0.05
WATCH_TIMEOUT_MS = 500
WATCH_LIMIT_S = 10.0
OUTCOME_HEADER = 'Knapweedhall-Outcome'
NOT_RUN_HEADER = 'Knapweedhall-Not-Run'

Targets = typing.Callable[[workload.Call], str | None]


class _Response(typing.NamedTuple):
    outcome: str
    status: int = 0
    whole: bool = False
    matches: bool = False


def choose_among(
    addresses: typing.Sequence[str], random_numbers: random.Random
) -> Targets:
    """Return a chooser of targets that is uniform, as a load balancer."""
    return lambda call: random_numbers.choice(addresses)


class LoadGenerator:
    """Sends calls and judges each response.

    Parameters
    ----------
    targets : callable
        Returns the IP number:port for a call, None if there is none.
    events : trace.TraceWriter
        The callers' own trace.
    connections : int
        Open connections; 0 for no limit.
    watch : bool
        Whether a failed call is followed by reads of its key until one is
        answered. Without them the time at which a key is served again is
        known only at its next call, which may be seconds later.
    """

    def __init__(
        self,
        targets: Targets,
        events: trace.TraceWriter,
        connections: int = 0,
        watch: bool = False,
    ) -> None:
        self.targets = targets
        self.events = events
        self.connections = connections
        self.watch = watch
        self.watched: set[str] = set()
        self.finished: list[results.Finished] = []

    async def run(
        self, calls: typing.Iterable[workload.Call]
    ) -> list[results.Finished]:
        """Send all calls at their times and wait for their ends."""
        loop = asyncio.get_running_loop()
        connector = aiohttp.TCPConnector(limit=self.connections)
        async with aiohttp.ClientSession(connector=connector) as session:
            # The library's own repetition would hide broken exchanges.
            session._retry_connection = False
            start_s = loop.time()
            async with asyncio.TaskGroup() as group:
                for call in calls:
                    due_s = start_s + call.at_s
                    await asyncio.sleep(due_s - loop.time())
                    group.create_task(self._send(session, call, due_s))
        return self.finished

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: workload.Call,
        due_s: float,
    ) -> None:
        found = await self._call(session, call, due_s)
        failed = found.outcome != results.ANSWERED
        if not (self.watch and failed) or call.key in self.watched:
            return
        self.watched.add(call.key)
        try:
            await self._watch_key(session, call)
        finally:
            self.watched.discard(call.key)

    async def _watch_key(
        self, session: aiohttp.ClientSession, failed: workload.Call
    ) -> None:
        """Read the key of a failed call until it is served."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WATCH_LIMIT_S
        for number in itertools.count(1):
            probe = failed._replace(
                request=f'{failed.request}-w{number}',
                method='GET',
                body=b'',
                timeout_ms=WATCH_TIMEOUT_MS,
            )
            found = await self._call(session, probe, loop.time())
            if found.outcome == results.ANSWERED or loop.time() > deadline:
                return
            await asyncio.sleep(WATCH_PERIOD_S)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        call: workload.Call,
        due_s: float,
    ) -> results.Finished:
        target = self.targets(call)
        self.events.emit(
            'call_sent',
            request=call.request,
            service=call.service,
            key=call.key,
            idempotent=call.idempotent,
        )
        if target is None:
            response = _Response(results.NOT_RUN)
        else:
            response = await _exchange(session, call, target)
        self.events.emit(
            'call_finished', request=call.request, **response._asdict()
        )
        finished = results.Finished(
            request=call.request,
            key=call.key,
            idempotent=call.idempotent,
            target=target or '',
            due_s=due_s,
            ended_s=asyncio.get_running_loop().time(),
            **response._asdict(),
        )
        self.finished.append(finished)
        return finished


def _headers(call: workload.Call) -> dict[str, str]:
    headers = {
        **call.headers,
        'Knapweedhall-Request-Id': call.request,
        'Knapweedhall-Timeout-Ms': str(call.timeout_ms),
        'Standin-Answer-Bytes': str(call.answer_bytes),
    }
    if call.key:
        headers['Knapweedhall-Key'] = call.key
    return headers


async def _exchange(
    session: aiohttp.ClientSession, call: workload.Call, target: str
) -> _Response:
    limit_s = call.timeout_ms / 1000 + GRACE_S
    status = 0
    outcome = results.UNKNOWN
    try:
        async with session.request(
            call.method,
            f'http://{target}/{call.service}{call.path}',
            data=call.body or None,
            headers=_headers(call),
            timeout=aiohttp.ClientTimeout(limit_s),
        ) as answer:
            status = answer.status
            outcome = classify(status, answer.headers)
            body = await answer.read()
    except aiohttp.ClientConnectorError:
        return _Response(results.NOT_RUN)
    except TimeoutError:
        return _Response(results.LOST, status)
    except (aiohttp.ClientError, OSError):
        return _Response(results.BROKEN, status)
    matches = status == 200 and body == workload.expected_answer(call)
    return _Response(outcome, status, True, matches)


def classify(status: int, headers: typing.Mapping[str, str]) -> str:
    """Return the outcome that a response states.

    An upstream that is called directly states no outcome.
    """
    stated = headers.get(OUTCOME_HEADER)
    if stated is not None:
        return stated if stated in results.OUTCOMES else results.UNKNOWN
    if NOT_RUN_HEADER in headers:
        return results.NOT_RUN
    return results.ANSWERED if status == 200 else results.UNKNOWN
