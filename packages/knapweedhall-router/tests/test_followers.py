"""Tests of followers against a store whose reads are behind."""

from __future__ import annotations

import asyncio
import json
import typing
import unittest

from knapweedhall_adapter import outcomes
from knapweedhall_router import followers
from knapweedhall_router import state as state_module
from tests import fleet

NAME = 'i-1'


def entry(state: str, offset: int) -> outcomes.Record:
    """Return the entry of an upstream."""
    value = {
        'address': '127.0.0.1:9',
        'info': {'service': 'views', 'zone': 'a', 'slots': 4},
        'status': {'state': state, 'sequence': offset},
        'born': 5,
    }
    return outcomes.Record(offset, NAME, json.dumps(value).encode())


class FakeClient:
    """Answers with outcomes that a test has laid down."""

    def __init__(self) -> None:
        self.outcomes: list[outcomes.ReadOutcome] = []

    async def read_newest(self, *given: typing.Any) -> outcomes.ReadOutcome:
        """Return the next outcome."""
        return self.outcomes.pop(0)

    async def read(self, *given: typing.Any) -> outcomes.ReadOutcome:
        """Return the next outcome."""
        return self.outcomes.pop(0)


class StaleTest(unittest.IsolatedAsyncioTestCase):
    """A store that forgot its history and lists the past."""

    async def asyncSetUp(self) -> None:
        """Follow an upstream that has announced that it leaves."""
        self.client = FakeClient()
        self.state = state_module.State(fleet.Fleet().new_settings())
        self.follower = followers.UpstreamFollower(
            typing.cast(typing.Any, self.client), self.state
        )
        self.sent: list[outcomes.Record] = []
        self.state.feed.relay = lambda topic, records: self.sent.extend(
            records
        )
        await self.step(outcomes.Page(5, (entry('ready', 3),)))
        await self.step(outcomes.Page(9, (entry('draining', 8),)))
        await self.step(outcomes.OffsetExpired())

    async def step(self, outcome: outcomes.ReadOutcome) -> None:
        """Read once."""
        self.client.outcomes = [outcome]
        await self.follower.step(0)

    def is_draining(self) -> bool:
        """Return whether the upstream is known to leave."""
        return self.state.directory.entries[NAME].draining

    async def test_listing_of_the_past(self) -> None:
        """Guards against requests to an upstream that has left.

        Seen on the second site, scale-2: after the store had deleted its
        history, a listing that was 6 s behind took a drain back.
        """
        await self.step(outcomes.Page(6, (entry('ready', 3),)))
        self.assertTrue(self.is_draining())
        await self.step(outcomes.Page(12, (entry('ready', 3),)))
        self.assertTrue(self.is_draining())

    async def test_pause_after_a_listing_of_the_past(self) -> None:
        """Guards against hundreds of calls a second until it catches up."""
        follower = followers.PlatformFollower(
            typing.cast(typing.Any, self.client), self.state
        )
        past = outcomes.Page(6, ())
        self.client.outcomes = [outcomes.Page(9, ()), outcomes.OffsetExpired()]
        self.client.outcomes += [past] * 100
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.6)
        task.cancel()
        self.assertGreater(len(self.client.outcomes), 95)

    async def test_changes_of_a_listing_are_passed_on(self) -> None:
        """Guards against instances that rely on a feed with a gap.

        What changed between the last read and a listing stands in the
        listing only.
        """
        self.sent.clear()
        await self.step(outcomes.Page(12, ()))
        self.assertNotIn(NAME, self.state.directory.entries)
        self.assertEqual([outcomes.Record(12, NAME, b'')], self.sent)
