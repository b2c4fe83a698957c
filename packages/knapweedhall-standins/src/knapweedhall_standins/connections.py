"""HTTP server with a limit of connections and a cost for each new one."""

from __future__ import annotations

import asyncio
import typing

from aiohttp import web
from aiohttp import web_protocol

from knapweedhall_standins import process

Handler = typing.Callable[
    [web.BaseRequest], typing.Awaitable[web.StreamResponse]
]


class LimitedServer(web.Server):
    """Counts connections and resets those above a limit.

    Parameters
    ----------
    handler : callable
        Handles each request; cancelled when its connection closes.
    limit : int
        Open connections.
    on_new : callable
        Called for each accepted connection.
    """

    def __init__(
        self,
        handler: Handler,
        limit: int,
        on_new: typing.Callable[[], None],
    ) -> None:
        # The caller hashed the body as it sent it, so it stays encoded.
        super().__init__(
            handler,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
        )
        self.limit = limit
        self.on_new = on_new
        self.open: set[web_protocol.RequestHandler] = set()
        self.refused = 0

    def connection_made(
        self,
        handler: web_protocol.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Accept or reset a connection."""
        super().connection_made(handler, transport)
        if len(self.open) >= self.limit:
            self.refused += 1
            process.reset(transport)
            return
        self.open.add(handler)
        self.on_new()

    def connection_lost(
        self,
        handler: web_protocol.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Count a closed connection."""
        self.open.discard(handler)
        super().connection_lost(handler, exc)
