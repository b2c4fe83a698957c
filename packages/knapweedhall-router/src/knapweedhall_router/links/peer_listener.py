"""Listener for connections of other instances and of knapweedhallctl."""

from __future__ import annotations

import asyncio
import itertools
import typing

import msgspec

from knapweedhall_router.control import membership
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import messages
from knapweedhall_router.links import token_deputies
from knapweedhall_router import logs
from knapweedhall_router import tasks
from knapweedhall_routing import head_budget

FIRST_MESSAGE_TIMEOUT_S = 1.0
# Whoever connects may send a first message, and each is held until it is
# complete. Those of instances have a few hundred bytes.
MAX_FIRST_MESSAGE_BYTES = 16384
# Bytes that are read from a connection at once before its first message is
# complete; asyncio reads 256 KiB at once.
FIRST_READ_BYTES = 16384
# Memory of such a connection: its stream holds up to twice the limit of a
# message before it reads no more, and a part that is read.
FIRST_MESSAGE_MEMORY_BYTES = 4 * MAX_FIRST_MESSAGE_BYTES
# Share of the descriptors for these connections. At the begin of a term, each
# instance has one for a round trip.
DESCRIPTOR_SHARE = 0.2
# Share of the memory for them.
MEMORY_SHARE = 0.1


Explain = typing.Callable[
    [messages.ExplainRequest], typing.Awaitable[messages.Explanation]
]


class PeerListener:
    """Accepts connections and handles their first message.

    Attributes
    ----------
    explain : callable or None
        Returns where a request would go.
    limit : head_budget.ConnectionLimit
        Connections whose first message is not complete, by number.
    writers : dict of int to asyncio.StreamWriter
        The same connections.
    """

    def __init__(
        self,
        member: membership.Membership,
        link: coordinator_link.CoordinatorLink,
        explain: Explain | None = None,
    ) -> None:
        self.membership = member
        self.link = link
        self.explain = explain
        self.limit = head_budget.ConnectionLimit()
        self.writers: dict[int, asyncio.StreamWriter] = {}
        self._numbers = itertools.count(1)
        self.deputy = token_deputies.TokenDeputy(link.state)

    def create_protocol(self) -> asyncio.StreamReaderProtocol:
        """Return the protocol of a new connection."""
        return asyncio.StreamReaderProtocol(
            asyncio.StreamReader(MAX_FIRST_MESSAGE_BYTES), self._accept
        )

    async def _read_first(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> messages.Message:
        """Return the first message; close others if too many wait for one."""
        number = next(self._numbers)
        read_bytes = getattr(writer.transport, 'max_size', None)
        setattr(writer.transport, 'max_size', FIRST_READ_BYTES)
        self.writers[number] = writer
        self.limit.add(number)
        excess = self.limit.find_excess(self._max_first_messages())
        if excess is not None:
            self.limit.remove(excess)
            self.writers[excess].transport.abort()
        try:
            async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
                return await messages.read(reader, MAX_FIRST_MESSAGE_BYTES)
        finally:
            self.limit.remove(number)
            del self.writers[number]
            setattr(writer.transport, 'max_size', read_bytes)

    def _max_first_messages(self) -> int:
        """Return how many connections may wait for their first message."""
        settings = self.link.state.settings
        by_memory = settings.memory_mb * 1e6 * MEMORY_SHARE
        by_memory /= FIRST_MESSAGE_MEMORY_BYTES
        by_descriptors = settings.descriptors * DESCRIPTOR_SHARE
        return max(1, int(min(by_memory, by_descriptors)))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            message = await self._read_first(reader, writer)
            if isinstance(message, messages.Takeover):
                await self._step_down(message, writer)
                return
            if isinstance(message, messages.ExplainRequest):
                if self.explain is not None:
                    await self._respond(await self.explain(message), writer)
                return
            if isinstance(message, messages.DeputyHello):
                await self.deputy.attach(message, reader, writer)
                return
            coordinator = self.membership.coordinator
            if coordinator is None:
                if isinstance(message, messages.Hello):
                    await self._respond(self.link.redirect(), writer)
                return
            if isinstance(message, messages.Hello):
                await coordinator.links.attach(message, reader, writer)
            elif isinstance(message, messages.OverviewRequest):
                await self._respond(coordinator.overview(), writer)
        except coordinator_link.CONNECTION_ERRORS as error:
            logs.info('peer_rejected', reason=type(error).__name__)
        except Exception as error:
            peer = writer.get_extra_info('peername')
            logs.warning(
                'message_fault',
                peer=str(peer),
                reason=tasks.describe(error),
            )
        finally:
            writer.transport.abort()

    async def _step_down(
        self, request: messages.Takeover, writer: asyncio.StreamWriter
    ) -> None:
        kept = await self.membership.step_down(request.epoch, request.era)
        self.link.known_coordinator = (
            request.coordinator or self.link.known_coordinator
        )
        assignments = {}
        if kept is not None:
            assignments = {
                service: msgspec.json.encode(stored)
                for service, stored in kept.assignments.items()
            }
        response = messages.SteppedDown(request.epoch, assignments)
        await self._respond(response, writer)

    async def _respond(
        self, message: messages.Message, writer: asyncio.StreamWriter
    ) -> None:
        # Lets `drain` wait until the transport has sent all.
        writer.transport.set_write_buffer_limits(0)
        writer.write(messages.encode(message))
        async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
            await writer.drain()
        # The caller aborts the transport, which might drop the response if
        # the event loop did not run before.
        writer.close()
        await asyncio.sleep(0)
