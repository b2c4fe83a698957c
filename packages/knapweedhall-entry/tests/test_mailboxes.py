"""Tests of the delivery of messages to the tasks."""

from __future__ import annotations

import asyncio
import unittest

from knapweedhall_entry import mailboxes
from knapweedhall_entry import messages as own_messages
from knapweedhall_ownership import messages
from knapweedhall_records import ids
from tests import control_fakes as fakes

B = ids.InstanceId('b', 5)
GROUP = 'domain/x'
OFFER = messages.PermitOffer(GROUP, 1, 1, 1000, 1, 0, [], 1, {})
REQUEST = messages.PermitRequest(GROUP, 1, 0, 0, 0)


class MailboxesTest(unittest.TestCase):
    """Guards against messages that stop a task or are lost silently."""

    def setUp(self) -> None:
        self.events = fakes.Recorder()
        self.boxes = mailboxes.Mailboxes(self.events)

    def test_values_out_of_range_are_dropped(self) -> None:
        """Guards against an endless permit and a failing coordinator."""
        queue = self.boxes.subscribe(
            messages.PermitOffer,
            messages.PermitRequest,
            own_messages.ConfigRecords,
        )
        bad = (
            OFFER._replace(lease_ms=10**9),
            OFFER._replace(lease_ms=-1),
            OFFER._replace(shares={'u': messages.Share(-1, 1, 1)}),
            REQUEST._replace(demand={'u': float('nan')}),
            REQUEST._replace(demand={'u': float('inf')}),
            REQUEST._replace(hottest={'s': [('k', -1.0)]}),
            own_messages.ConfigRecords(1, 0, 1, 1, ()),
        )
        for body in bad:
            self.boxes.deliver(fakes.received(B, body))
        self.assertTrue(queue.empty())
        self.assertEqual(len(self.events.names()), len(bad))

    def test_valid_messages_reach_every_subscriber(self) -> None:
        """Guards against a task that takes another one's messages."""
        queues = [self.boxes.subscribe(messages.PermitOffer) for _ in 'ab']
        self.boxes.deliver(fakes.received(B, OFFER))
        self.boxes.deliver(fakes.received(B, REQUEST))
        self.assertEqual([queue.qsize() for queue in queues], [1, 1])

    def test_stuck_task_does_not_block_delivery(self) -> None:
        """Guards against memory that grows with unread messages."""
        self.boxes.subscribe(messages.PermitOffer)
        for _ in range(mailboxes.QUEUE_MESSAGES + 1):
            self.boxes.deliver(fakes.received(B, OFFER))
        self.assertEqual(self.boxes.overflows['PermitOffer'], 1)


class ReceiveTest(unittest.IsolatedAsyncioTestCase):
    """Periodic work beside messages."""

    async def test_full_queue_does_not_delay_periodic_work(self) -> None:
        """Guards against heartbeats that stop under a flood of messages."""
        queue: mailboxes.Queue = asyncio.Queue()
        message = fakes.received(B, None)
        queue.put_nowait(message)
        past = asyncio.get_running_loop().time() - 1.0
        self.assertIsNone(await mailboxes.receive(queue, past))
        self.assertEqual(1, queue.qsize())
        future = past + 100.0
        self.assertEqual(message, await mailboxes.receive(queue, future))
