"""Tests of routers whose store comes back from a copy some seconds old."""

from __future__ import annotations

import asyncio
import time
import typing
from unittest import mock

from knapweedhall_adapter import positions
from knapweedhall_router.control import coordinator
from knapweedhall_router.control import membership
from knapweedhall_router.links import coordinator_link
from knapweedhall_routing import model
from knapweedhall_standins import processor
from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case

# Bound of the platform for a configuration to be in force.
CONFIGURATION_S = 2.0
# Target for a key to be served again after a loss.
SERVED_AGAIN_S = 2.0
# Time after which an upstream has written its entry again.
REWRITTEN_S = 0.9
# Time after which keys have owners again if nobody knows those before: the
# last possible grant, 9 s, and a takeover.
KEYS_REASSIGNED_S = 11.0
# Ample time for a third coordinator to ask the first one.
REPLACED_S = 4.0
STOP_COUNT, STOP_PERIOD_S = 2, 3.0
KEYS = range(0, model.KEY_COUNT, 8000)


class RestoredStoreTest(fleet_case.FleetTest):
    """A store whose latest records are lost while routers run."""

    routers = 3

    async def asyncSetUp(self) -> None:
        """Let the store have a history before the copy."""
        await super().asyncSetUp()
        for domain in ('x', 'y', 'z'):
            self.fleet.store.put(fleet.OPERATOR_TOPIC, f'evacuate/{domain}', 1)
        await self.wait_for_evacuated({'x', 'y', 'z'})

    async def wait_for_evacuated(self, domains: set[str]) -> None:
        """Wait until all routers know the evacuated failure domains."""
        await self.fleet.wait_until(
            lambda: all(
                set(router.state.directory.evacuated) == domains
                for router in self.fleet.routers
            )
        )

    def restore(self, age_s: float) -> None:
        """Restore the store; its other writers write again a moment later."""
        self.fleet.store.restore(age_s)
        loop = asyncio.get_running_loop()
        loop.call_later(REWRITTEN_S, self.fleet.store.rewrite)

    async def test_configuration_at_a_lower_offset(self) -> None:
        """Guards against a configuration that is taken for an old one."""
        self.fleet.configure()
        self.fleet.configure()
        await self.fleet.wait_until(self.has_configuration)
        await asyncio.sleep(1.0)
        self.restore(100.0)
        self.fleet.store.lost.clear()
        self.fleet.configure()
        await self.fleet.wait_until(self.has_configuration, CONFIGURATION_S)

    def has_configuration(self) -> bool:
        """Return whether the last configuration is in force everywhere."""
        return all(
            router.state.configuration_version() == self.fleet.version
            for router in self.fleet.routers
        )

    async def test_evacuation_that_the_copy_lacks(self) -> None:
        """Guards against requests to a failure domain that is evacuated."""
        await asyncio.sleep(0.5)
        self.fleet.store.put(fleet.OPERATOR_TOPIC, 'evacuate/v', 1)
        await self.wait_for_evacuated({'v', 'x', 'y', 'z'})
        self.restore(0.5)
        loop = asyncio.get_running_loop()
        until = loop.time() + 3 * REWRITTEN_S
        while loop.time() < until:
            for router in self.fleet.routers:
                self.assertIn('v', router.state.directory.evacuated)
            await asyncio.sleep(0.02)

    async def test_upstream_that_left_since_the_copy(self) -> None:
        """Guards against a server that had left and is used again."""
        await asyncio.sleep(0.5)
        draining, gone = self.upstreams('orders')
        draining.drain()
        self.fleet.store.put(upstream.UPSTREAM_TOPIC, gone.name, None)
        used = await self.fleet.add_upstream('orders', False)
        await self.fleet.wait_until(
            lambda: all(
                self.usable_names(router) == {used.name}
                for router in self.fleet.routers
            )
        )
        self.restore(0.5)
        loop = asyncio.get_running_loop()
        until = loop.time() + 3 * REWRITTEN_S
        while loop.time() < until:
            for router in self.fleet.routers:
                self.assertLessEqual(self.usable_names(router), {used.name})
            await asyncio.sleep(0.02)
        await self.fleet.wait_until(
            lambda: all(
                self.usable_names(router) == {used.name}
                for router in self.fleet.routers
            )
        )

    async def test_listing_that_the_coordinator_relays(self) -> None:
        """Guards against a server that had left and is used again.

        An instance that reconnects gets all records from the coordinator
        before it has read the restored store itself.
        """
        draining, gone = self.upstreams('orders')
        copy = [
            (positions.encode(1, record.offset), record.key, record.value)
            for record in self.fleet.store.partition(
                upstream.UPSTREAM_TOPIC
            ).newest.values()
        ]
        draining.drain()
        self.fleet.store.put(upstream.UPSTREAM_TOPIC, gone.name, None)
        await self.fleet.wait_until(
            lambda: not any(map(self.usable_names, self.fleet.routers))
        )
        for router in self.fleet.routers:
            router.state.feed.relay = None
            router.state.feed.read_at.clear()
            router.state.feed.receive(upstream.UPSTREAM_TOPIC, copy, True)
            self.assertEqual(set(), self.usable_names(router))

    def usable_names(self, router: typing.Any) -> set[str]:
        """Return the upstreams of the service without owned keys."""
        usable = router.state.directory.usable('orders')
        return {entry.name for entry in usable}

    def upstreams(self, service: str) -> list[upstream.FakeUpstream]:
        """Return the upstreams of a service."""
        return [
            each for each in self.fleet.upstreams if each.service == service
        ]

    async def test_keys_that_moved_since_the_copy(self) -> None:
        """Guards against two owners, and against keys that nobody serves.

        The copy names an owner that has released its keys since.
        """
        await asyncio.sleep(0.5)
        left = self.upstreams('views')[0]
        left.drain()
        await self.fleet.wait_until(lambda: self.have_no_keys(1), 10.0)
        self.restore(0.5 + 3.0)
        await self.check_keys()

    async def test_restore_during_a_move(self) -> None:
        """Guards against a grant to an owner that could not be recorded."""
        await asyncio.sleep(0.5)
        left = self.upstreams('views')[0]

        def restore_after_release(name: str, fields: object) -> None:
            if name == 'released' and not self.fleet.store.era:
                self.restore(0.4)

        left.on_event = restore_after_release
        left.drain()
        await self.fleet.wait_until(lambda: self.fleet.store.era > 0)
        await self.check_keys()

    async def test_instances_stay_connected(self) -> None:
        """Guards against keys that wait until instances are connected again.

        The coordinator stays the same, so nothing else has changed for them.
        The coordinator's next join is not awaited either.
        """
        member = self.coordinator().member
        assert member is not None and member.coordinator is not None
        former = member.coordinator
        self.restore(0.5)
        await self.assert_stay_connected(member, former)

    async def assert_stay_connected(
        self, member: membership.Membership, former: coordinator.Coordinator
    ) -> None:
        """Check that the next term of a coordinator keeps all connections."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SERVED_AGAIN_S
        while loop.time() < until:
            for router in self.fleet.routers:
                assert router.member is not None
                self.assertTrue(router.member.link.connected)
            await asyncio.sleep(0.01)
        begun = member.coordinator
        assert begun is not None
        self.assertIsNot(former, begun)
        self.assertGreater(begun.store.epoch, former.store.epoch)
        for router in self.fleet.routers:
            table = router.state.owner_table('views')
            self.assertEqual(begun.store.epoch, table.version[0])
            self.assertTrue(
                all(owned.upstream for owned in table.owned_ranges)
            )

    async def test_instances_stay_connected_after_a_write(self) -> None:
        """Guards against a term whose own write shows the restore.

        It ended by itself, and with it the connections.
        """
        member = self.coordinator().member
        assert member is not None and member.coordinator is not None
        former = member.coordinator
        write = former.store.write_fleet
        written = asyncio.Event()

        async def restore_before(
            instances: list[str], lost: list[str]
        ) -> None:
            self.restore(0.5)
            written.set()
            await write(instances, lost)

        with mock.patch.object(former.store, 'write_fleet', restore_before):
            former.store.fleet = []
            await written.wait()
            await self.assert_stay_connected(member, former)

    async def test_keys_under_the_next_coordinator(self) -> None:
        """Guards against two owners after the coordinator has ended, too.

        What the copy says of the keys is not true, and nobody knows better.
        """
        await asyncio.sleep(0.5)
        left = self.upstreams('views')[0]
        left.drain()
        await self.fleet.wait_until(lambda: self.have_no_keys(1), 10.0)
        coordinator = self.coordinator()
        self.restore(0.5 + 3.0)
        await self.fleet.kill(coordinator)
        loop = asyncio.get_running_loop()
        until = loop.time() + 11.0
        while loop.time() < until:
            self.assert_one_owner()
            await asyncio.sleep(0.05)
        served = await self.ask_for_keys()
        self.assertEqual(dict.fromkeys(KEYS, {200}), served)

    async def test_keys_under_another_coordinator(self) -> None:
        """Guards against keys without an owner for 9 s.

        The group in the copy names another member, and the copy's owner of
        some keys has released them since.
        """
        await asyncio.sleep(0.5)
        copied_at = time.monotonic()
        left = self.upstreams('views')[0]
        left.drain()
        await self.fleet.wait_until(lambda: self.have_no_keys(1), 10.0)
        former = self.coordinator()
        group = self.fleet.store.groups[coordinator_link.COORDINATOR_GROUP]
        self.restore(time.monotonic() - copied_at)
        group.reassign()
        group.holder = group.assignee
        await self.check_keys()
        self.assertIsNot(former, self.coordinator())
        self.assertIn(former, self.fleet.routers)

    async def test_former_coordinator_that_was_replaced(self) -> None:
        """Guards against two owners, by assignments that are out of date.

        A coordinator without connection to the store does not hear that it
        was replaced. The next one moves keys and ends, the store comes back
        from a copy from before its term, and a third one asks the first.
        """
        await asyncio.sleep(0.5)
        first = self.coordinator()
        assert first.member is not None
        copied_at = time.monotonic()
        address = fleet.source_address(first.settings)
        self.fleet.store.faults.refused = [address]
        with mock.patch.object(
            first.member, 'step_down', side_effect=ConnectionResetError
        ):
            await self.fleet.wait_until(lambda: self.coordinator() != first)
            second = self.coordinator()
            left = self.upstreams('views')[0]
            left.drain()
            table = second.state.owner_table('views')
            await self.fleet.wait_until(
                lambda: {owned.upstream for owned in table.owned_ranges}
                <= {each.name for each in self.fleet.upstreams} - {left.name}
            )
            self.assertIsNotNone(first.member.coordinator)
        group = self.fleet.store.groups[coordinator_link.COORDINATOR_GROUP]
        (third,) = set(self.fleet.routers) - {first, second}
        self.restore(time.monotonic() - copied_at)
        await self.fleet.kill(second)
        member = coordinator_link.member_id(third.settings)
        group.holder = group.assignee = member
        loop = asyncio.get_running_loop()
        until = loop.time() + REPLACED_S
        while loop.time() < until:
            self.assert_one_owner()
            await asyncio.sleep(0.02)
        # It was asked.
        self.assertIsNone(first.member.coordinator)
        self.assertIsNone(first.member.handover)

    async def test_stops_in_series_after_a_restore(self) -> None:
        """Guards against keys that nobody owns while coordinators stop.

        In soak seeds 960009, 960016 and 960019 each coordinator after a
        restore began the wait for the last possible grant anew.
        """
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        self.restore(0.4)
        await self.fleet.kill(self.coordinator())
        served_by = loop.time() + KEYS_REASSIGNED_S
        for _ in range(STOP_COUNT):
            self.fleet.add_router()
            await asyncio.sleep(STOP_PERIOD_S)
            await self.fleet.stop_router(self.coordinator())
        while loop.time() < served_by:
            self.assert_one_owner()
            await asyncio.sleep(0.05)
        served = await self.ask_for_keys()
        self.assertEqual(dict.fromkeys(KEYS, {200}), served)

    async def check_keys(self) -> None:
        """Check that all keys have one owner, and are served in time.

        Time without a processor does not count: all routers and the store
        share this process.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + 6.0
        served_at = dict.fromkeys(KEYS, loop.time() - processor.wait_s())
        longest_s = dict.fromkeys(KEYS, 0.0)
        while loop.time() < until:
            self.assert_one_owner()
            served = await self.ask_for_keys()
            now = loop.time() - processor.wait_s()
            for key in KEYS:
                longest_s[key] = max(longest_s[key], now - served_at[key])
                if served[key] == {200}:
                    served_at[key] = now
            await asyncio.sleep(0.02)
        self.assertLess(max(longest_s.values()), SERVED_AGAIN_S, longest_s)

    async def ask_for_keys(self) -> dict[int, set[int]]:
        """Send requests for some keys; return the statuses by key."""
        keys = [key for key in KEYS for _ in self.fleet.routers]
        responses = await asyncio.gather(
            *(
                self.fleet.send_request(router, '/view/x', key)
                for key in KEYS
                for router in self.fleet.routers
            )
        )
        statuses: dict[int, set[int]] = {key: set() for key in KEYS}
        for key, response in zip(keys, responses):
            statuses[key].add(response.status)
        return statuses
