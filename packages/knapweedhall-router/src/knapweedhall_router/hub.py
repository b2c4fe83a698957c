"""The coordinator's connections to all instances."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import messages

# Instances rely on the coordinator's reads for 1.2 s; a heartbeat that
# comes much less often would leave them without.
HEARTBEAT_S = 0.3
# An instance reports three times a second; six missing mean it is gone.
SILENCE_S = 2.0
# Unsent bytes at which an instance is taken as not reading.
MAX_BACKLOG_BYTES = 1024 * 1024


class Link:
    """One instance's connection."""

    def __init__(self, instance: str, writer: asyncio.StreamWriter) -> None:
        self.instance = instance
        self.writer = writer

    def send(self, frame: bytes) -> None:
        """Send a frame, or close a connection that does not take it."""
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            transport.abort()
            return
        self.writer.write(frame)


class Hub:
    """Sends owners and records to instances and takes their reports.

    Attributes
    ----------
    greeting : callable
        Returns what a new instance gets.
    report : callable
        Takes each report.
    heartbeat : callable
        Returns a heartbeat; takes the names of the instances, or None.
    """

    def __init__(
        self,
        greeting: typing.Callable[[], list[messages.Message]],
        report: typing.Callable[[messages.Report], None],
        heartbeat: typing.Callable[[list[str] | None], messages.Fleet],
    ) -> None:
        self.greeting = greeting
        self.report = report
        self.heartbeat = heartbeat
        self.links: set[Link] = set()
        self.announced: list[str] = []

    async def run(self) -> None:
        """Send heartbeats until cancelled; then end all connections."""
        try:
            while True:
                self.beat()
                await asyncio.sleep(HEARTBEAT_S)
        finally:
            for link in list(self.links):
                link.writer.transport.abort()

    def instances(self) -> list[str]:
        """Return the names of the connected instances."""
        return sorted({link.instance for link in self.links})

    def send(self, message: messages.Message) -> None:
        """Send a message to all instances."""
        frame = messages.encode(message)
        for link in list(self.links):
            link.send(frame)

    def beat(self) -> None:
        """Send a heartbeat, with the instances if they changed."""
        found = self.instances()
        changed = found != self.announced
        self.announced = found
        self.send(self.heartbeat(found if changed else None))

    async def attach(
        self,
        instance: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve the connection of an instance until it ends."""
        link = Link(instance, writer)
        try:
            for message in self.greeting():
                link.send(messages.encode(message))
            self.links.add(link)
            # One that returned under its name needs the names as well.
            self.announced = []
            self.beat()
            logs.info('instance_joined', instance=link.instance)
            await self._follow(reader)
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError) as e:
            logs.info(
                'instance_left',
                instance=link.instance,
                reason=type(e).__name__,
            )
        finally:
            self.links.discard(link)

    async def _follow(self, reader: asyncio.StreamReader) -> None:
        while True:
            silent_at = clock.now() + SILENCE_S
            async with asyncio.timeout(silent_at - clock.now()):
                message = await messages.read(reader)
            if isinstance(message, messages.Report):
                self.report(message)
