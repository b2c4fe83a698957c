"""Listener for connections of other instances and of knapweedhallctl."""

from __future__ import annotations

import asyncio

import msgspec

from knapweedhall_router.control import membership
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import messages
from knapweedhall_router.links import token_deputies
from knapweedhall_router import logs
from knapweedhall_router import tasks

FIRST_MESSAGE_TIMEOUT_S = 1.0
# Whoever connects may send a first message, and each is held until it is
# complete. Those of instances have a few hundred bytes.
MAX_FIRST_MESSAGE_BYTES = 16384


class PeerListener:
    """Accepts connections and handles their first message."""

    def __init__(
        self,
        member: membership.Membership,
        link: coordinator_link.CoordinatorLink,
    ) -> None:
        self.membership = member
        self.link = link
        self.deputy = token_deputies.TokenDeputy(link.state)

    def create_protocol(self) -> asyncio.StreamReaderProtocol:
        """Return the protocol of a new connection."""
        return asyncio.StreamReaderProtocol(
            asyncio.StreamReader(), self._accept
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
                message = await messages.read(reader, MAX_FIRST_MESSAGE_BYTES)
            if isinstance(message, messages.Takeover):
                await self._step_down(message, writer)
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
