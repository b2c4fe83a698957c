"""Tests of the transport over loopback."""

from __future__ import annotations

import asyncio
import socket
import typing
import unittest

import loguru
import pynng

from knapweedhall_events import trace
from knapweedhall_peering import envelope
from knapweedhall_peering import transport
from knapweedhall_records import ids

KEY = bytes(range(32))


class Ping(typing.NamedTuple):
    """Body for these tests."""

    number: int


def free_address(host: str) -> str:
    """Return an address that no process listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f'{host}:{probe.getsockname()[1]}'


class TransportTest(unittest.IsolatedAsyncioTestCase):
    """Guards against senders that block and receivers that stop."""

    def setUp(self) -> None:
        loguru.logger.remove()
        self.received: asyncio.Queue[envelope.Received] = asyncio.Queue()

    def open(self, name: str, host: str) -> transport.Transport:
        result = transport.Transport(
            ids.InstanceId(name, 1),
            free_address(host),
            envelope.Codec(KEY, {'Ping': Ping}),
            trace.TraceWriter(name),
        )
        self.addCleanup(result.close)
        result.listen()
        return result

    async def start(self, receiver: transport.Transport) -> None:
        task = asyncio.create_task(receiver.run(self.received.put_nowait))
        self.addCleanup(task.cancel)

    async def next_number(self) -> int:
        message = await asyncio.wait_for(self.received.get(), 10)
        return message.body.number

    async def test_messages_arrive_from_own_address(self) -> None:
        """Guards against a wrong source address: domains are told by it."""
        sender = self.open('a', '127.0.1.1')
        receiver = self.open('b', '127.0.2.1')
        loop = asyncio.get_running_loop()
        source: asyncio.Future[str] = loop.create_future()

        def connected(pipe: pynng.nng.Pipe) -> None:
            # Runs in a thread of the library, possibly after the message.
            address = str(pipe.remote_address)
            loop.call_soon_threadsafe(source.set_result, address)

        assert receiver.pull is not None
        receiver.pull.add_post_pipe_connect_cb(connected)
        await self.start(receiver)
        sender.set_peer('b', receiver.address)
        sender.send('b', Ping(1))
        self.assertEqual(await self.next_number(), 1)
        address = await asyncio.wait_for(source, 10)
        self.assertTrue(address.startswith('127.0.1.1:'), address)

    async def test_dead_peer_does_not_block(self) -> None:
        """Guards against a sender that waits for a peer that is gone."""
        sender = self.open('a', '127.0.1.1')
        sender.set_peer('b', free_address('127.0.2.1'))
        sent = [sender.send('b', Ping(number)) for number in range(500)]
        self.assertFalse(sent[-1])
        self.assertGreater(sender.dropped['queue-full'], 0)

    async def test_unknown_peer_is_counted(self) -> None:
        """Guards against an exception when a peer has no address yet."""
        sender = self.open('a', '127.0.1.1')
        self.assertFalse(sender.send('b', Ping(1)))
        self.assertEqual(sender.dropped['unknown-peer'], 1)

    async def test_bad_message_does_not_stop_receiver(self) -> None:
        """Guards against a receive loop that ends on malformed input."""
        sender = self.open('a', '127.0.1.1')
        receiver = self.open('b', '127.0.2.1')
        await self.start(receiver)
        sender.set_peer('b', receiver.address)
        sender.peers['b'].send(b'garbage')
        sender.send('b', Ping(2))
        self.assertEqual(await self.next_number(), 2)
        self.assertEqual(receiver.dropped['wrong-mac'], 1)

    async def test_changed_address_keeps_numbers_growing(self) -> None:
        """Guards against a peer that drops all after its address changes."""
        sender = self.open('a', '127.0.1.1')
        receiver = self.open('b', '127.0.2.1')
        await self.start(receiver)
        sender.set_peer('b', receiver.address)
        sender.send('b', Ping(1))
        self.assertEqual(await self.next_number(), 1)
        sender.forget_peer('b')
        sender.set_peer('b', receiver.address)
        sender.send('b', Ping(2))
        self.assertEqual(await self.next_number(), 2)
