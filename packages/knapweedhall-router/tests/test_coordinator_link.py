"""Tests of how an instance finds the coordinator without the store."""

from __future__ import annotations

import asyncio
import socket
import types
import typing
import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import instance_links
from knapweedhall_router.links import messages
from knapweedhall_router.links import peer_listener
from knapweedhall_router import state as state_module
from tests import fleet
from tests import test_planned_stop

HOST = '127.0.0.1'
# Send buffer of the kernel, and sizes of responses that it can't take at once.
KERNEL_BYTES = 16384
OVERVIEW_BYTES = range(100_000, 400_000, 20_000)
# Pace of reading it, within the second that it may take.
READ_BYTES, READ_PAUSE_S = 16384, 0.01


class _Store:
    """Test double of the client of a store that rejects this instance."""

    async def find_holder(self, *call: typing.Any) -> outcomes.Unavailable:
        """Fail like a call that was reset."""
        return outcomes.Unavailable('reset')


def _heartbeat(
    number: int, joined: list[str], left: list[str], is_first: bool = False
) -> messages.Heartbeat:
    return messages.Heartbeat(number, joined, left, False, {}, 100.0)


class _Instance:
    """An instance that accepts connections of others."""

    def __init__(self, coordinates: bool) -> None:
        instance_settings = fleet.Fleet().new_settings()
        client = typing.cast(typing.Any, _Store())
        self.state = state_module.State(instance_settings)
        self.link = coordinator_link.CoordinatorLink(client, self.state)
        self.links = instance_links.InstanceLinks(
            lambda topics: [], lambda instance, report: None, _heartbeat
        )
        coordinator = types.SimpleNamespace(links=self.links)
        self.membership = types.SimpleNamespace(
            coordinator=coordinator if coordinates else None,
            step_down=self._step_down,
        )
        self.listener = peer_listener.PeerListener(
            typing.cast(typing.Any, self.membership), self.link
        )
        self.member = ''

    async def _step_down(self, epoch: int, era: int) -> None:
        self.membership.coordinator = None

    async def listen(self) -> asyncio.Server:
        """Listen on a free port."""
        server = await asyncio.get_running_loop().create_server(
            self.listener.create_protocol, HOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        self.member = f'{self.state.settings.name}@{HOST}:{port}'
        return server


class OverviewTest(unittest.IsolatedAsyncioTestCase):
    """The response of a coordinator to knapweedhallctl."""

    async def test_overview_that_is_larger_than_the_buffers(self) -> None:
        """Guards against a response whose end is dropped.

        How much the kernel does not take at once depends on the connection.
        """
        instance = _Instance(True)
        server = await instance.listen()
        self.addCleanup(server.close)
        for listener in server.sockets:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES
            )
        for size in OVERVIEW_BYTES:
            overview = messages.Overview('x' * size, 1, False, {}, {})
            instance.membership.coordinator.overview = lambda: overview
            self.assertEqual(
                len(messages.encode(overview)),
                await self.receive(instance.member),
            )

    async def receive(self, member: str) -> int:
        """Request the overview; return the number of received bytes."""
        address = coordinator_link.member_address(member)
        assert address is not None
        caller = await test_planned_stop.Caller.connect(*address)
        self.addCleanup(caller.writer.close)
        caller.writer.write(messages.encode(messages.OverviewRequest()))
        received = 0
        while chunk := await caller.reader.read(READ_BYTES):
            received += len(chunk)
            await asyncio.sleep(READ_PAUSE_S)
        return received


class RedirectTest(unittest.IsolatedAsyncioTestCase):
    """Instances that the store rejects while the coordinator changes.

    At the enlarged second site, 25 of 70 instances knew only the former
    coordinator and routed by owner tables that were 6 s old.
    """

    async def asyncSetUp(self) -> None:
        """Start the present and the former coordinator and two instances."""
        self.present = _Instance(True)
        self.former = _Instance(True)
        self.other = _Instance(False)
        for instance in (self.present, self.former, self.other):
            server = await instance.listen()
            self.addCleanup(server.close)
        self.heartbeats = asyncio.create_task(self.present.links.run())
        self.caller = _Instance(False)
        self.connecting = asyncio.create_task(asyncio.sleep(0))

    async def asyncTearDown(self) -> None:
        """End the tasks."""
        for task in (self.connecting, self.heartbeats):
            task.cancel()
        await asyncio.gather(
            self.connecting, self.heartbeats, return_exceptions=True
        )

    async def _connect(self) -> str:
        self.connecting = asyncio.create_task(self.caller.link.run())
        async with asyncio.timeout(4):
            while not self.caller.link.connected:
                await asyncio.sleep(0.02)
        return self.caller.link.coordinator

    async def test_former_coordinator_names_its_successor(self) -> None:
        """Guards against a connection to a coordinator whose term ended."""
        self.caller.link.known_coordinator = self.former.member
        reader, writer = await asyncio.open_connection(
            *coordinator_link.member_address(self.former.member)
        )
        request = messages.Takeover(7, self.present.member)
        writer.write(messages.encode(request))
        self.assertEqual(messages.SteppedDown(7), await messages.read(reader))
        writer.close()
        self.assertEqual(self.present.member, await self._connect())

    async def test_any_instance_names_the_coordinator(self) -> None:
        """Guards against a search that fails as the former process ended."""
        self.other.link.known_coordinator = self.present.member
        self.caller.link.known_coordinator = f'gone@{HOST}:1'
        self.caller.link.members = {self.other.member}
        self.assertEqual(self.present.member, await self._connect())

    async def test_no_instance_names_itself(self) -> None:
        """Guards against instances that redirect each other in a circle."""
        own = coordinator_link.member_id(self.other.state.settings)
        self.other.link.known_coordinator = own
        self.assertEqual('', self.other.link.redirect().coordinator)

    async def test_stop_while_the_connection_ends(self) -> None:
        """Guards against a process that does not end after SIGTERM.

        A coordinator that stops closes its connection to itself. In a run of
        the tests, the cancellation that followed was lost.
        """

        async def send_reports(writer: asyncio.StreamWriter) -> None:
            try:
                await asyncio.Event().wait()
            finally:
                await asyncio.sleep(0.1)

        self.caller.link._send_reports = (  # type: ignore[method-assign]
            send_reports
        )
        self.caller.link.known_coordinator = self.present.member
        await self._connect()
        for link in self.present.links.active:
            link.writer.transport.abort()
        await asyncio.sleep(0.05)
        self.connecting.cancel()
        done, _ = await asyncio.wait([self.connecting], timeout=1.0)
        self.assertEqual({self.connecting}, done)


class AnnouncedInstancesTest(unittest.TestCase):
    """The number of instances that divide budgets."""

    def test_change_of_the_coordinator(self) -> None:
        """Guards against budgets that a few instances divide among them.

        The first instance that connected to the next coordinator counted as
        the only one, so that all of them together exceeded the budgets.
        """
        instance = _Instance(False)
        members = [f'router-{n}@{HOST}:{n}' for n in range(1, 91)]
        instance.link.apply(_heartbeat(1, members, []))
        # The connection ends.
        instance.link.connected = False
        instance.link.apply(_heartbeat(1, members[:1], []))
        budget = instance.state.retry_budget('s')
        self.assertEqual(90, budget.instances)
        self.assertEqual(set(members[:1]), instance.link.members)
        instance.link.apply(_heartbeat(2, [], members[:1]))
        self.assertEqual(89, instance.state.retry_budget('s').instances)
