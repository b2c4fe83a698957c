"""Tests of the task that runs a coordinator."""

from __future__ import annotations

import asyncio
import random
import time
import typing
import unittest

from knapweedhall_entry import coordinator_inputs
from knapweedhall_entry import coordinator_supervisor
from knapweedhall_entry import coordinator_task
from knapweedhall_entry import election_task
from knapweedhall_entry import membership
from knapweedhall_entry import publisher
from knapweedhall_entry import upstream_client
from knapweedhall_ownership import configuration
from knapweedhall_ownership import messages
from knapweedhall_ownership import orders
from knapweedhall_records import bodies
from tests import control_fakes as fakes

GROUP = 'domain/x'


class Calls:
    """Upstream that answers as a test says."""

    def __init__(self) -> None:
        self.outcome: upstream_client.GrantOutcome | None = None
        self.grants: list[messages.GrantBody] = []
        self.waiting = asyncio.Event()

    async def health(
        self, address: str, deadline: float
    ) -> upstream_client.HealthOutcome:
        return upstream_client.Healthy(3, 1000, time.monotonic())

    async def grant(
        self, address: str, body: messages.GrantBody, deadline: float
    ) -> upstream_client.GrantOutcome:
        self.grants.append(body)
        if self.outcome is None:
            await self.waiting.wait()
        if self.outcome is not None:
            return self.outcome
        answer = messages.GrantAnswer(3, 1001, False, 4, 100, [])
        return upstream_client.Accepted(answer, time.monotonic())


class Appender:
    """Keeps drafts; each comes into force at once."""

    def __init__(self, store: configuration.Store) -> None:
        self.store = store
        self.drafts: list[publisher.Draft] = []

    async def publish(self, draft: publisher.Draft, deadline: float) -> None:
        self.drafts.append(draft)
        fakes.put(
            self.store, draft.kind, draft.name, draft.body, draft.replaces
        )


class CoordinatorTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a coordinator that outlives its lease or stops."""

    def setUp(self) -> None:
        self.store = configuration.Store()
        fakes.put(self.store, 'service', 's', fakes.service())
        fakes.put(self.store, 'electors', GROUP, bodies.Electors((fakes.ME,)))
        self.view = fakes.make_fleet(
            fakes.upstream_row('u', 's', 'x'), store=self.store
        )
        sender = typing.cast(typing.Any, fakes.Sender())
        self.events = fakes.Recorder()
        members = membership.Membership(
            'a', 'x', sender, fakes.heartbeat, self.events
        )
        self.elections = election_task.ElectionTask(
            sender, self.view, random.Random(1), self.events
        )
        self.calls = Calls()
        self.appender = Appender(self.store)
        inputs = coordinator_inputs.Inputs(fakes.ME, 'x', self.view, members)

        def build(group: str, term: int) -> coordinator_task.CoordinatorTask:
            return coordinator_task.CoordinatorTask(
                group,
                term,
                self.elections,
                inputs,
                typing.cast(typing.Any, self.calls),
                sender,
                typing.cast(typing.Any, self.appender),
                self.events,
            )

        self.supervisor = coordinator_supervisor.CoordinatorSupervisor(
            self.elections, build
        )
        self.addCleanup(self.supervisor.close)

    def win(self) -> coordinator_task.CoordinatorTask:
        """Win the lease of the only elector."""
        now = time.monotonic()
        self.elections.refresh(now)
        self.elections.tick(now)
        return self.supervisor.running[GROUP]

    async def test_lease_starts_one_coordinator(self) -> None:
        """Guards against two coordinators of one term."""
        task = self.win()
        self.supervisor.start(GROUP, task.term)
        self.assertIs(self.supervisor.running[GROUP], task)

    async def test_without_the_lease_nothing_is_sent(self) -> None:
        """Guards against grants of a coordinator that was paused."""
        task = self.win()
        task.step(time.monotonic() + 2.0)
        await asyncio.sleep(0)
        self.assertEqual(self.calls.grants, [])

    async def test_one_grant_at_a_time_per_upstream(self) -> None:
        """Guards against an older set of grants that arrives last."""
        task = self.win()
        body = messages.GrantBody(GROUP, task.term, 1, [], 3)
        for number in (1, 2):
            order = orders.GrantOrder('u', number, body)
            task.start('grant', 'u', task.grant(order))
        await asyncio.sleep(0)
        self.assertEqual(len(self.calls.grants), 1)

    async def test_newer_term_is_reported(self) -> None:
        """Guards against a superseded coordinator that nobody notices."""
        task = self.win()
        task.step(time.monotonic())
        refused = upstream_client.Refused(99)
        coordinator_task.take(
            coordinator_task.GrantResult('u', 1, refused), task
        )
        self.assertIn('grant_refused', self.events.names())
        self.assertEqual(task.coordinator.superseded_by, 99)

    async def test_answer_of_a_removed_upstream_is_ignored(self) -> None:
        """Guards against an exception when an upstream leaves meanwhile."""
        task = self.win()
        failed = upstream_client.Failed('gone')
        healthy = upstream_client.Healthy(1, 1, 0.0)
        for item in (
            coordinator_task.GrantResult('old', 1, failed),
            coordinator_task.HealthResult('old', healthy),
            coordinator_task.ReleaseResult('old', 1, failed),
        ):
            coordinator_task.take(item, task)

    async def test_failed_coordinator_gives_up_the_lease(self) -> None:
        """Guards against a lease without a coordinator behind it."""
        task = self.win()
        task.queue.put_nowait(typing.cast(typing.Any, object()))
        while GROUP in self.supervisor.running:
            await asyncio.sleep(0)
        self.assertIn(GROUP, self.elections.resigned)

    async def test_release_records_name_all_slices(self) -> None:
        """Guards against a record that hides an earlier release."""
        task = self.win()
        for slices in ((1,), (3,), (3,)):
            task.append_release(orders.GroupRelease('s', 's', 2, slices))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        found = [
            typing.cast(bodies.Release, draft.body).slices
            for draft in self.appender.drafts
        ]
        self.assertEqual(found, [(1,), (1, 3)])
