"""Tests of callers that keep sending to a process that is being stopped."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

from tests import fleet
from tests import router_process
from tests import test_planned_stop

SEEDS = range(1, 6)
# Callers that use a connection for as long as they can, and those that use a
# new one for each request.
KEEPING_CALLERS = 12
CONNECTING_CALLERS = 12
# Longest times between requests of a caller, between the parts of a request,
# and from the first request to the signal and to the start of another
# instance.
PAUSE_S = 0.25
PART_PAUSE_S = 0.05
SIGNAL_S = 1.0
JOIN_S = 2.0
# Responses that say that the request has not run.
NOT_RUN = (408, 421, 429, 503)


class Sent(typing.NamedTuple):
    """A request and what its caller received."""

    request_id: str
    answer: test_planned_stop.Answer


class BusyStopTest(test_planned_stop.StopCase):
    """A process that gets requests until it is gone, while another starts."""

    async def test_callers_that_keep_sending(self) -> None:
        """Guards against requests that a stop loses.

        A caller that gets neither a response nor a refusal does not know
        whether its request ran, and must not repeat it.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(random.Random(seed), f's{seed}')
            self.router.log.write_text('')
            self.router.start()
            await self.wait_until_ready()

    async def play(self, rng: random.Random, name: str) -> None:
        """Stop the process while callers use it, and check what they got."""
        sent: list[Sent] = []
        callers = [
            asyncio.create_task(
                self.keep_sending(
                    random.Random(rng.random()),
                    f'{name}-{number}',
                    number < KEEPING_CALLERS,
                    sent,
                )
            )
            for number in range(KEEPING_CALLERS + CONNECTING_CALLERS)
        ]
        joining = asyncio.create_task(
            self.join(rng.uniform(0, JOIN_S), f'front-{name}')
        )
        await asyncio.sleep(rng.uniform(0, SIGNAL_S))
        self.request_stop()
        # How soon it ends is checked by test_planned_stop.
        self.assertEqual(0, await self.router.wait())
        await asyncio.gather(*callers)
        (await joining).kill()
        self.assertGreater(len(sent), len(callers))
        for each in sent:
            runs = sum(
                run.request_id == each.request_id
                for upstream in self.fleet.upstreams
                for run in upstream.runs
            )
            status = each.answer.status
            # Without a response, the connection ended before it was read.
            expected = (1, True) if status == 200 else (0, True)
            is_whole = each.answer.is_whole or not status
            self.assertIn(status, (0, 200, *NOT_RUN), each)
            self.assertEqual(expected, (runs, is_whole), each)

    async def join(
        self, delay_s: float, name: str
    ) -> router_process.RouterProcess:
        """Start another instance, and wait until it accepts callers."""
        await asyncio.sleep(delay_s)
        stopping = self.router
        joined = router_process.RouterProcess(stopping.settings.parent, name)
        self.addCleanup(joined.kill)
        host = self.host.replace('127.0.9.', '127.0.11.')
        front, ready, *others = fleet.free_ports(host, 4)
        self.router = joined
        self.write_settings(
            nodeName=name,
            ip=host,
            listen={'front': f'{host}:{front}', 'ready': f'{host}:{ready}'},
            portRange=others,
        )
        self.router = stopping
        joined.start()
        await joined.wait_for_event('started')
        return joined

    async def keep_sending(
        self, rng: random.Random, name: str, keeps: bool, sent: list[Sent]
    ) -> None:
        """Send requests until the process has ended."""
        caller: test_planned_stop.Caller | None = None
        number = 0
        while self.router.status() is None:
            await asyncio.sleep(rng.uniform(0, PAUSE_S))
            if caller is None:
                try:
                    caller = await self.connect()
                except OSError:
                    continue
            number += 1
            request_id = f'{name}-{number}'
            answer = await self.send(rng, caller, request_id)
            sent.append(Sent(request_id, answer))
            if not keeps or not answer.is_whole or caller.reader.at_eof():
                caller.writer.close()
                caller = None

    async def send(
        self,
        rng: random.Random,
        caller: test_planned_stop.Caller,
        request_id: str,
    ) -> test_planned_stop.Answer:
        """Send a request in one or two parts, and read the response."""
        with contextlib.suppress(OSError):
            caller.send_head(request_id, 4)
            if rng.random() < 0.5:
                await asyncio.sleep(rng.uniform(0, PART_PAUSE_S))
            caller.writer.write(b'work')
        return await caller.read_answer()
