"""The coordinator's connections to all instances."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import messages
from knapweedhall_routing import quorum

# Instances rely on the coordinator's reads for 1.2 s; a heartbeat that
# comes much less often would leave them without.
HEARTBEAT_S = 0.3
# An instance reports three times a second; six missing mean it is gone.
SILENCE_S = 2.0
# Heartbeats whose time of sending is known; instances answer the last ones.
KEPT_HEARTBEATS = 20
# Unsent bytes at which an instance is taken as not reading.
MAX_BACKLOG_BYTES = 1024 * 1024


class InstanceLink:
    """One instance's connection."""

    def __init__(
        self, hello: messages.Hello, writer: asyncio.StreamWriter
    ) -> None:
        self.instance = hello.instance
        self.member = f'{hello.instance}@{hello.address}'
        self.writer = writer
        self.connected_at = clock.now()
        self.report: quorum.Report | None = None
        self.version = 0

    def send(self, frame: bytes) -> None:
        """Send a frame, or close a connection that does not take it."""
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            transport.abort()
            return
        self.writer.write(frame)


class InstanceLinks:
    """Sends owners and records to instances and takes their reports.

    Attributes
    ----------
    greeting : callable
        Returns what a new instance gets, by the topics that it wants.
    report : callable
        Takes each report.
    heartbeat : callable
        Returns a heartbeat from its number, the members that joined, and
        those that left.
    """

    def __init__(
        self,
        greeting: typing.Callable[[list[str]], list[messages.Message]],
        report: typing.Callable[[messages.Report], None],
        heartbeat: typing.Callable[
            [int, list[str], list[str]], messages.Heartbeat
        ],
    ) -> None:
        self.greeting = greeting
        self.report = report
        self.heartbeat = heartbeat
        self.active: set[InstanceLink] = set()
        self.announced: set[str] = set()
        self.number = 0
        # When the last heartbeats were sent, by number.
        self.sent_at: dict[int, float] = {}

    async def run(self) -> None:
        """Send heartbeats until cancelled; then end all connections."""
        try:
            while True:
                self.beat()
                await asyncio.sleep(HEARTBEAT_S)
        finally:
            for link in list(self.active):
                link.writer.transport.abort()

    def instances(self) -> list[str]:
        """Return the names of the connected instances."""
        return sorted({link.instance for link in self.active})

    def send(self, message: messages.Message) -> None:
        """Send a message to all instances."""
        frame = messages.encode(message)
        for link in list(self.active):
            link.send(frame)

    def beat(self) -> None:
        """Send a heartbeat with the changes of the fleet.

        The names of all would be as many bytes as there are pairs of
        instances each time that one of them connects.
        """
        found = {link.member for link in self.active}
        joined = sorted(found - self.announced)
        left = sorted(self.announced - found)
        self.announced = found
        self.number += 1
        self.sent_at[self.number] = clock.now()
        self.sent_at.pop(self.number - KEPT_HEARTBEATS, None)
        self.send(self.heartbeat(self.number, joined, left))

    def reports(self) -> dict[str, quorum.Report]:
        """Return what each connected instance said last."""
        return {
            link.instance: link.report
            for link in self.active
            if link.report is not None
        }

    def versions(self) -> dict[str, int]:
        """Return the configuration in force at each instance."""
        return {link.instance: link.version for link in self.active}

    def connected_at(self) -> dict[str, float]:
        """Return since when instances are connected, seconds."""
        return {link.instance: link.connected_at for link in self.active}

    def _take(self, link: InstanceLink, report: messages.Report) -> None:
        as_of = self.sent_at.get(report.heartbeat)
        if as_of is not None:
            link.report = quorum.Report(as_of, report.store_answer_age_s)
        link.version = report.version
        self.report(report)

    async def attach(
        self,
        hello: messages.Hello,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve the connection of an instance until it ends."""
        link = InstanceLink(hello, writer)
        try:
            first = self.heartbeat(self.number, sorted(self.announced), [])
            for message in (first, *self.greeting(hello.topics)):
                link.send(messages.encode(message))
            self.active.add(link)
            logs.info('instance_joined', instance=link.instance)
            await self._follow(link, reader)
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError) as e:
            logs.info(
                'instance_left',
                instance=link.instance,
                reason=type(e).__name__,
            )
        finally:
            self.active.discard(link)

    async def _follow(
        self, link: InstanceLink, reader: asyncio.StreamReader
    ) -> None:
        while True:
            silent_at = clock.now() + SILENCE_S
            async with asyncio.timeout(silent_at - clock.now()):
                message = await messages.read(reader)
            if isinstance(message, messages.Report):
                self._take(link, message)
