"""The coordinator's connections to the instances."""

from __future__ import annotations

import asyncio
import typing
import zlib

from knapweedhall_adapter import errors
from knapweedhall_router import clock
from knapweedhall_router.links import messages
from knapweedhall_router import logs
from knapweedhall_routing import quorum

# Heartbeats tell instances when the coordinator last read the store. They rely
# on such a read for 1.2 s; with a much longer period they would have to read
# the store themselves.
HEARTBEAT_PERIOD_S = 0.3
# Time without a report after which a connection is closed: six periods of
# the reports.
REPORT_TIMEOUT_S = 2.0
# Number of heartbeats whose sending time is kept; reports refer to one of the
# last ones.
MAX_SENT_HEARTBEATS = 20
# Unsent bytes above which a connection is closed, as the instance does not
# read.
MAX_BACKLOG_BYTES = 1024 * 1024

GrantTokens = typing.Callable[[messages.TokenRequest], messages.TokenLease]


class InstanceLink:
    """Connection to one instance.

    Attributes
    ----------
    instance, member, failure_domain : str
        Name, member ID and failure domain of the instance.
    connected_at : float
        When it connected, seconds.
    report : quorum.Report or None
        Its last report on the store; None before the first.
    version : int
        Version of the configuration in force at the instance.
    encode : callable
        Encodes messages in a form that the instance understands.
    """

    def __init__(
        self, hello: messages.Hello, writer: asyncio.StreamWriter
    ) -> None:
        self.instance = hello.instance
        self.member = f'{hello.instance}@{hello.address}'
        self.failure_domain = hello.failure_domain
        self.writer = writer
        self.connected_at = clock.now()
        self.report: quorum.Report | None = None
        self.version = 0
        self.encode = messages.encode
        if hello.packs:
            self.encode = messages.encode_packed

    def send(self, frame: bytes) -> None:
        """Send a frame, or close the connection if its backlog is too long."""
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            transport.abort()
            return
        self.writer.write(frame)


class InstanceLinks:
    """Sends messages to all instances and receives their reports.

    Attributes
    ----------
    initial_messages : callable
        Returns the first messages for an instance, from the topics that it
        requests.
    on_report : callable
        Called with the name of an instance and its report.
    make_heartbeat : callable
        Returns a heartbeat from its number, the members that joined, those
        that left, and whether it is the first one of a connection.
    grant_tokens : callable or None
        Returns the answer to a request for tokens; None if the coordinator
        leases none.
    active : set of InstanceLink
        Open connections.
    announced : set of str
        Member IDs that the heartbeats so far announced as connected.
    number : int
        Number of the last heartbeat.
    sent_at : dict of int to float
        When the last heartbeats were sent, by number, seconds.
    """

    def __init__(
        self,
        initial_messages: typing.Callable[[list[str]], list[messages.Message]],
        on_report: typing.Callable[[str, messages.Report], None],
        make_heartbeat: typing.Callable[
            [int, list[str], list[str], bool], messages.Heartbeat
        ],
    ) -> None:
        self.initial_messages = initial_messages
        self.on_report = on_report
        self.make_heartbeat = make_heartbeat
        self.grant_tokens: GrantTokens | None = None
        self.active: set[InstanceLink] = set()
        self.announced: set[str] = set()
        self.number = 0
        self.sent_at: dict[int, float] = {}

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def close(self) -> None:
        """Close all connections."""
        for link in list(self.active):
            link.writer.transport.abort()

    def instances(self) -> list[str]:
        """Return the names of the connected instances."""
        return sorted({link.instance for link in self.active})

    def send(self, message: messages.Message) -> None:
        """Send a message to all instances."""
        frames: dict[typing.Callable[[messages.Message], bytes], bytes] = {}
        for link in list(self.active):
            if link.encode not in frames:
                frames[link.encode] = link.encode(message)
            link.send(frames[link.encode])

    def send_heartbeat(self) -> None:
        """Send a heartbeat with the members that joined or left.

        With all members in each heartbeat, the bytes sent would grow with
        the square of the number of instances.
        """
        members = {link.member for link in self.active}
        joined = sorted(members - self.announced)
        left = sorted(self.announced - members)
        self.announced = members
        self.number += 1
        self.sent_at[self.number] = clock.now()
        self.sent_at.pop(self.number - MAX_SENT_HEARTBEATS, None)
        self.send(self.make_heartbeat(self.number, joined, left, False))

    def reports(self) -> dict[str, quorum.Report]:
        """Return the last report of each connected instance, by name."""
        return {
            link.instance: link.report
            for link in self.active
            if link.report is not None
        }

    def versions(self) -> dict[str, int]:
        """Return the version of the configuration by instance."""
        return {link.instance: link.version for link in self.active}

    def connected_at(self) -> dict[str, float]:
        """Return when each connected instance connected, seconds."""
        return {link.instance: link.connected_at for link in self.active}

    def deputies(self, own: str) -> dict[str, str]:
        """Return a connected member of each failure domain, except `own`."""
        return {
            link.failure_domain: link.member
            for link in sorted(self.active, key=_deputy_order)
            if link.member != own
        }

    def fresh(self, max_age_s: float) -> set[str]:
        """Return the instances that are known to be connected.

        Parameters
        ----------
        max_age_s : float
            Age of the heartbeat that their last report answers, or of their
            connection, seconds.
        """
        since = clock.now() - max_age_s
        return {
            link.instance
            for link in self.active
            if link.connected_at >= since
            or (link.report is not None and link.report.as_of >= since)
        }

    def _record_report(
        self, link: InstanceLink, report: messages.Report
    ) -> None:
        heartbeat_sent_at = self.sent_at.get(report.heartbeat)
        if heartbeat_sent_at is not None:
            link.report = quorum.Report(
                heartbeat_sent_at, report.store_answer_age_s
            )
        link.version = report.version
        self.on_report(link.instance, report)

    async def attach(
        self,
        hello: messages.Hello,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send and receive messages until the connection ends."""
        link = InstanceLink(hello, writer)
        try:
            heartbeat = self.make_heartbeat(
                self.number, sorted(self.announced), [], True
            )
            # It does not count this instance yet.
            heartbeat.sharers = min(0, heartbeat.sharers)
            for message in (heartbeat, *self.initial_messages(hello.topics)):
                link.send(link.encode(message))
            self.active.add(link)
            logs.info('instance_joined', instance=link.instance)
            await self._receive_reports(link, reader)
        except (OSError, EOFError, TimeoutError, errors.DecodeError) as e:
            logs.info(
                'instance_left',
                instance=link.instance,
                reason=type(e).__name__,
            )
        finally:
            self.active.discard(link)

    async def _receive_reports(
        self, link: InstanceLink, reader: asyncio.StreamReader
    ) -> None:
        while True:
            timeout_at = clock.now() + REPORT_TIMEOUT_S
            async with asyncio.timeout(timeout_at - clock.now()):
                message = await messages.read(reader)
            if isinstance(message, messages.Report):
                self._record_report(link, message)
            elif isinstance(message, messages.TokenRequest):
                if self.grant_tokens is not None:
                    link.send(messages.encode(self.grant_tokens(message)))


def _deputy_order(link: InstanceLink) -> tuple[int, str]:
    """Return the place of an instance, which no other one changes."""
    return zlib.crc32(link.member.encode()), link.member
