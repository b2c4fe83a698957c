"""Tests of followers with a store whose listings are outdated."""

from __future__ import annotations

import asyncio
import json
import typing
import unittest

from knapweedhall_adapter import names
from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router.control import followers
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import messages
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
    """Store client that returns the outcomes set by a test."""

    def __init__(self) -> None:
        self.outcomes: list[outcomes.ReadOutcome] = []

    async def read_newest(
        self, *arguments: typing.Any
    ) -> outcomes.ReadOutcome:
        """Return the next outcome."""
        return self.outcomes.pop(0)

    async def read(self, *arguments: typing.Any) -> outcomes.ReadOutcome:
        """Return the next outcome."""
        return self.outcomes.pop(0)


class StaleTest(unittest.IsolatedAsyncioTestCase):
    """Listings of a store that has deleted its history."""

    async def asyncSetUp(self) -> None:
        """Follow an upstream that drains, up to the loss of the history."""
        self.client = FakeClient()
        self.state = state_module.State(fleet.Fleet().new_settings())
        self.follower = followers.UpstreamFollower(
            typing.cast(typing.Any, self.client), self.state
        )
        self.relayed: list[outcomes.Record] = []
        self.state.feed.relay = lambda topic, records: self.relayed.extend(
            records
        )
        await self.read(outcomes.Page(5, (entry('ready', 3),)))
        await self.read(outcomes.Page(9, (entry('draining', 8),)))
        await self.read(outcomes.OffsetExpired())

    async def read(self, outcome: outcomes.ReadOutcome) -> None:
        """Let the follower read a given outcome."""
        self.client.outcomes = [outcome]
        await self.follower.read_once(0)

    def is_draining(self) -> bool:
        """Return whether the upstream is known as draining."""
        return self.state.directory.entries[NAME].draining

    async def test_outdated_listing(self) -> None:
        """Guards against requests to an upstream that is draining.

        After the store has deleted its history, a listing may be outdated, in
        one run by 6 s, and revert the drain.
        """
        await self.read(outcomes.Page(6, (entry('ready', 3),)))
        self.assertTrue(self.is_draining())
        await self.read(outcomes.Page(12, (entry('ready', 3),)))
        self.assertTrue(self.is_draining())

    async def test_pause_after_an_outdated_listing(self) -> None:
        """Guards against hundreds of calls per second.

        An outdated listing is read again until the store has caught up, and
        listings return at once.
        """
        follower = followers.PlatformFollower(
            typing.cast(typing.Any, self.client), self.state
        )
        outdated = outcomes.Page(6, ())
        self.client.outcomes = [outcomes.Page(9, ()), outcomes.OffsetExpired()]
        self.client.outcomes += [outdated] * 100
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.6)
        task.cancel()
        self.assertGreater(len(self.client.outcomes), 95)

    async def test_changes_in_a_listing_are_relayed(self) -> None:
        """Guards against a gap in the relayed changes.

        Changes between the last read and a listing are visible only as
        differences from the listing.
        """
        self.relayed.clear()
        await self.read(outcomes.Page(12, ()))
        self.assertNotIn(NAME, self.state.directory.entries)
        self.assertEqual([outcomes.Record(12, NAME, b'')], self.relayed)

    async def test_drain_may_have_begun_with_the_last_read(self) -> None:
        """Guards against requests to a draining upstream for too long.

        In an outage of the store the drain is read late; the time for which
        its keys are still served counts from the read before.
        """
        directory = self.state.directory
        first_read_at = self.state.feed.read_at[self.follower.topic]
        self.assertLess(directory.draining_since[NAME], first_read_at)

    async def test_first_listing_of_a_draining_upstream(self) -> None:
        """Guards against a new instance that uses it as if it just began."""
        state = state_module.State(fleet.Fleet().new_settings())
        follower = followers.UpstreamFollower(
            typing.cast(typing.Any, self.client), state
        )
        self.client.outcomes = [outcomes.Page(9, (entry('draining', 8),))]
        await follower.read_once(0)
        self.assertEqual(float('-inf'), state.directory.draining_since[NAME])


class RelayedRemovalTest(unittest.TestCase):
    """A removal that a new coordinator read while the store worked."""

    def setUp(self) -> None:
        """List an upstream; the store rejects the coordinator."""
        self.state = state_module.State(fleet.Fleet().new_settings())
        self.follower = followers.UpstreamFollower(
            typing.cast(typing.Any, FakeClient()), self.state
        )
        self.follower.process([entry('ready', 3)], True)
        self.link = coordinator_link.CoordinatorLink(
            typing.cast(typing.Any, None), self.state
        )
        self.connect(0.1)

    def connect(self, outage_age_s: float) -> None:
        """Get the first heartbeat of a coordinator."""
        self.state.feed.record_connected(clock.now())
        self.link.apply(messages.Heartbeat(1, [], [], False, {}, outage_age_s))

    def remove(self) -> bool:
        """Get the removal from the coordinator; return whether it is final."""
        self.link.apply(
            messages.Records(names.UPSTREAM_TOPIC, False, [(9, NAME, b'')])
        )
        return NAME not in self.state.directory.entries

    def test_former_coordinator_was_rejected(self) -> None:
        """Guards against requests to an upstream that has left.

        The store rejected four of ten machines, the coordinator among them.
        Its heartbeats reported an outage, so that a removal which its
        successor read was not final for 2 s (DRAIN, seed 338900527307 of
        deploy/days/restarts.toml).
        """
        self.connect(1000.0)
        self.assertTrue(self.remove())

    def test_coordinator_had_an_outage(self) -> None:
        """Guards against an outage that empties the directory."""
        self.assertFalse(self.remove())
