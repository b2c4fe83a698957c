"""The listener for other instances."""

from __future__ import annotations

import asyncio

import msgspec

from knapweedhall_router import coordinator_link
from knapweedhall_router import logs
from knapweedhall_router import membership
from knapweedhall_router import messages

FIRST_MESSAGE_TIMEOUT_S = 1.0


class PeerListener:
    """Takes the connections of other instances."""

    def __init__(
        self,
        member: membership.Membership,
        link: coordinator_link.CoordinatorLink,
    ) -> None:
        self.member = member
        self.link = link

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Listen; the caller closes the server."""
        return await asyncio.start_server(self._accept, host, port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
                first = await messages.read(reader)
            if isinstance(first, messages.Takeover):
                await self._yield(first, writer)
                return
            coordinator = self.member.coordinator
            if coordinator is None:
                if isinstance(first, messages.Hello):
                    await self._answer(self.link.redirect(), writer)
                return
            if isinstance(first, messages.Hello):
                await coordinator.links.attach(first, reader, writer)
            elif isinstance(first, messages.OverviewRequest):
                await self._answer(coordinator.overview(), writer)
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError) as e:
            logs.info('peer_rejected', reason=type(e).__name__)
        finally:
            writer.transport.abort()

    async def _yield(
        self, order: messages.Takeover, writer: asyncio.StreamWriter
    ) -> None:
        await self.member.step_down(order.epoch)
        self.link.known_coordinator = (
            order.coordinator or self.link.known_coordinator
        )
        await self._answer(messages.SteppedDown(order.epoch), writer)

    async def _answer(
        self, message: messages.Message, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(messages.encode(message))
        async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
            await writer.drain()
        # Aborted at once, the transport might drop the answer.
        writer.close()
        await asyncio.sleep(0)
