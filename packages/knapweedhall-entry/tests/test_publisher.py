"""Tests of publishing records."""

from __future__ import annotations

import asyncio
import time
import typing
import unittest
import unittest.mock

from knapweedhall_entry import log_follower
from knapweedhall_entry import publisher
from knapweedhall_records import bodies
from knapweedhall_records import codec
from tests import control_fakes as fakes

FAR_S = 60.0
DRAFT = publisher.Draft('mark', 'domain/x', 0, bodies.Mark('out'))


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    """Guards against records that count as accepted without proof."""

    def setUp(self) -> None:
        self.log = typing.cast(typing.Any, fakes.Log())
        self.follower = log_follower.LogFollower(
            self.log, 1.0, fakes.Recorder()
        )
        self.publisher = publisher.Publisher(self.log, fakes.ME, 1.0)
        self.follower.read_listeners.append(self.publisher.note_read)
        shorter = unittest.mock.patch.object(publisher, 'RETRY_DELAY_S', 0.001)
        shorter.start()
        self.addCleanup(shorter.stop)

    async def publish(
        self, draft: publisher.Draft = DRAFT, limit_s: float = FAR_S
    ) -> publisher.Outcome:
        task = asyncio.create_task(
            self.publisher.publish(draft, time.monotonic() + limit_s)
        )
        while not task.done():
            page = await self.follower.read(self.follower.position, 0)
            if not self.log.down:
                self.follower.apply_page(typing.cast(typing.Any, page))
            await asyncio.sleep(0)
        return task.result()

    async def test_accepted_after_reading_back(self) -> None:
        """Guards against an answer that is never given."""
        outcome = await self.publish()
        self.assertIsInstance(outcome, publisher.Published)

    async def test_lost_answer_keeps_the_number(self) -> None:
        """Guards against a second record instead of a repeat."""
        self.log.lose_answers = 2
        outcome = await self.publish()
        self.assertIsInstance(outcome, publisher.Published)
        read = [codec.decode(row.body) for row in self.log.rows]
        numbers = {typing.cast(bodies.Record, each).number for each in read}
        self.assertEqual(numbers, {1})

    async def test_conflict_is_reported(self) -> None:
        """Guards against a loser that believes it has won."""
        self.log.put(fakes.text('mark', 'domain/x', bodies.Mark('in')))
        outcome = await self.publish()
        self.assertIsInstance(outcome, publisher.Superseded)

    async def test_outage_ends_undecided(self) -> None:
        """Guards against waiting for a log that is down."""
        self.log.down = True
        outcome = await self.publish(limit_s=0.02)
        self.assertIsInstance(outcome, publisher.Undecided)

    async def test_invalid_record_is_not_appended(self) -> None:
        """Guards against filling the log with what readers skip."""
        plan = bodies.Plan(('u',), ((1,),))
        outcome = await self.publish(publisher.Draft('plan', 's', 0, plan))
        self.assertIsInstance(outcome, publisher.Rejected)
        self.assertEqual(self.log.rows, [])
