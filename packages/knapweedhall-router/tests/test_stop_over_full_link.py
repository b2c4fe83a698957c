"""Tests of requests that wait in a full link when their router stops."""

from __future__ import annotations

import asyncio

from knapweedhall_router import application
from knapweedhall_standins import proxy
from tests import test_planned_stop

# Rate of the links of the grown sites, 10 Mbit/s.
LINK_BYTES_PER_S = 1.25e6
# Uploads that fill the link until after the close of idle connections. Each
# has a chunk of the proxy (64 KiB) in the link, so that a request waits for
# 0.8 s.
UPLOADS, UPLOAD_BYTES = 16, 160_000
UPLOADS_AT_S = application.ACCEPT_AFTER_STOP_S - 1.4
# Idle callers whose requests enter the link one after the other.
CALLERS = 16
FIRST_AT_S = application.ACCEPT_AFTER_STOP_S - 1.2


class FullLinkTest(test_planned_stop.StopCase):
    """A link in front of a router that is full while the router stops."""

    async def asyncSetUp(self) -> None:
        """Put a link in front of the router."""
        await super().asyncSetUp()
        self.link = proxy.Link((self.host, self.ports[0]))
        await self.link.listen(self.host, 0)
        self.addCleanup(self.link.close)
        assert self.link.server is not None
        self.port = self.link.server.sockets[0].getsockname()[1]

    async def connect(self) -> test_planned_stop.Caller:
        """Return a new connection of a caller, by the link if there is one."""
        port = getattr(self, 'port', self.ports[0])
        caller = await test_planned_stop.Caller.connect(self.host, port)
        self.addCleanup(caller.writer.close)
        return caller

    async def upload(self, name: str) -> test_planned_stop.Answer:
        """Send a large body on a new connection."""
        caller = await self.connect()
        caller.send_head(name, UPLOAD_BYTES)
        caller.writer.write(bytes(UPLOAD_BYTES))
        return await caller.read_answer()

    def is_undelivered(self, name: str) -> bool:
        """Return whether the head of a request did not reach the router."""
        return any(name.encode() in data for data in self.link.undelivered)

    async def test_requests_around_the_close(self) -> None:
        """Guards against requests that are dropped after they have arrived.

        In seed 970009, requests that waited in the link when the router
        closed its idle connections ended without an answer. No byte of them
        had arrived; any other request has to be answered.
        """
        names = [f'waiting-{number:02}' for number in range(CALLERS)]
        callers = [await self.connect() for _ in names]
        for caller in callers:
            self.assertEqual(200, (await self.ask(caller, 'first')).status)
        self.link.bytes_per_s = LINK_BYTES_PER_S
        stopped_at = self.request_stop()
        await asyncio.sleep(UPLOADS_AT_S)
        uploads = [
            asyncio.create_task(self.upload(f'upload-{number}'))
            for number in range(UPLOADS)
        ]
        await asyncio.sleep(FIRST_AT_S - UPLOADS_AT_S)
        tasks = []
        step_s = (application.ACCEPT_AFTER_STOP_S - FIRST_AT_S) / CALLERS
        for caller, name in zip(callers, names):
            tasks.append(asyncio.create_task(self.ask_if_open(caller, name)))
            await asyncio.sleep(step_s)
        answers = dict(zip(names, await asyncio.gather(*tasks)))
        statuses = {
            name: answer.status
            for name, answer in answers.items()
            if answer is not None
        }
        for name, status in statuses.items():
            crossed = self.is_undelivered(name)
            self.assertEqual(0 if crossed else 200, status, name)
            self.assertEqual(0 if crossed else 1, self.run_count(name), name)
        self.assertEqual({0, 200}, set(statuses.values()))
        for answer in await asyncio.gather(*uploads):
            self.assertEqual(200, answer.status)
        await self.assert_ended(stopped_at)
