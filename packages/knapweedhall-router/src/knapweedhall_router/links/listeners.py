"""Opens the listeners of the process."""

from __future__ import annotations

import asyncio
import select
import typing

from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_routing import model

BACKLOG = 1024
# Period of attempts to listen while another process has the address, for
# example the previous one of this instance, or a connection of the machine
# that got the port by chance.
RETRY_S = 0.1
# Period of log lines about it.
REPORT_PERIOD_S = 10.0
# Connections that are accepted in one cycle of the event loop. The next two
# set them up and close others for them; until then, all of them are open.
ACCEPTED_AT_ONCE = 8
# Cycles of the event loop in which waiting connections are accepted before a
# listener is closed. One cycle accepts some that wait, the next one sets them
# up; a process without free descriptors accepts none.
MAX_LAST_CYCLES = 10 + BACKLOG // ACCEPTED_AT_ONCE
SET_UP_CYCLES = 2

CreateProtocol = typing.Callable[[], asyncio.BaseProtocol]
Notify = typing.Callable[[], None]


class Listeners:
    """Listeners by name.

    Attributes
    ----------
    servers : dict of str to asyncio.Server
        The open ones.
    """

    def __init__(self) -> None:
        self.servers: dict[str, asyncio.Server] = {}

    async def open(
        self,
        name: str,
        address: model.Address,
        create_protocol: CreateProtocol,
        on_open: Notify | None,
    ) -> None:
        """Listen on an address as soon as it is free.

        Parameters
        ----------
        name : str
            Name of the listener.
        address : model.Address
            Address to listen on.
        create_protocol : callable
            Returns the protocol of a new connection.
        on_open : callable or None
            Called when the listener is open.
        """
        loop = asyncio.get_running_loop()
        report_at = clock.now()
        while True:
            try:
                server = await loop.create_server(
                    create_protocol, *address, backlog=ACCEPTED_AT_ONCE
                )
                # asyncio uses one number for both.
                for listening in server.sockets:
                    with listening.dup() as duplicate:
                        duplicate.listen(BACKLOG)
                self.servers[name] = server
                break
            except OSError as error:
                if clock.now() >= report_at:
                    report_at = clock.now() + REPORT_PERIOD_S
                    logs.warning(
                        'listen_failed',
                        listener=name,
                        address=str(address),
                        reason=str(error),
                    )
            await asyncio.sleep(RETRY_S)
        if on_open is not None:
            on_open()

    async def close_one(self, name: str) -> None:
        """Accept the connections that wait, and then no more.

        Callers may have sent requests on them. The kernel resets those that
        were not accepted, and asyncio drops those that it has not set up.
        """
        if name not in self.servers:
            return
        server = self.servers[name]
        calm_cycles = 0
        for _ in range(MAX_LAST_CYCLES):
            calm_cycles += 1
            if _has_waiting_connections(server):
                calm_cycles = 0
            elif calm_cycles == SET_UP_CYCLES:
                break
            await asyncio.sleep(0)
        server.close()

    def close(self) -> None:
        """Accept no more connections."""
        for server in self.servers.values():
            server.close()


def _has_waiting_connections(server: asyncio.Server) -> bool:
    """Return whether connections were set up that are not accepted yet."""
    poll = select.poll()
    for listening in server.sockets:
        poll.register(listening, select.POLLIN)
    return bool(poll.poll(0))
