"""Tests of how a stopping process waits for its connections alone."""

from __future__ import annotations

import asyncio
import typing
import unittest

from knapweedhall_router import application
from knapweedhall_router import clock
from tests import fleet


class LateConnectionServer:
    """Connections of which the first one is set up while the listener closes.

    Attributes
    ----------
    connections : list of object
        The open connections.
    """

    def __init__(self) -> None:
        self.connections: list[object] = []

    async def close_one(self, name: str) -> None:
        """Close the listener after a connection was accepted."""
        asyncio.get_running_loop().call_soon(self.connections.append, object())

    def is_sending(self) -> bool:
        """Return whether there is a connection."""
        return bool(self.connections)

    def close_idle(self) -> None:
        """Leave the connection, which has a request."""


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """A process without connections that closes its listener."""

    async def test_connection_that_was_accepted_last(self) -> None:
        """Guards against a process that ends with a request in progress.

        A connection is set up two cycles of the event loop after the listener
        has accepted it.
        """
        router = application.Application(fleet.Fleet().new_settings())
        server: typing.Any = LateConnectionServer()
        now = clock.now()
        draining = asyncio.create_task(
            router._drain(server, server, now, now + 10.0)
        )
        self.addCleanup(draining.cancel)
        await asyncio.sleep(2 * application.KERNEL_SEND_S)
        self.assertFalse(draining.done())
        server.connections.clear()
        await asyncio.sleep(application.KERNEL_SEND_S / 2)
        self.assertFalse(draining.done())
        async with asyncio.timeout(application.KERNEL_SEND_S):
            await draining
