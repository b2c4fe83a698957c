"""Starts a coordinator task for each lease and routes permit requests."""

from __future__ import annotations

import asyncio
import time
import typing

import loguru

from knapweedhall_entry import coordinator_task
from knapweedhall_entry import election_task
from knapweedhall_entry import mailboxes
from knapweedhall_ownership import messages

Build = typing.Callable[[str, int], coordinator_task.CoordinatorTask]

# How long permits and grants may still last after a planned release begins;
# the next coordinator can start only after their end.
RELEASE_LEASE_S = 0.5
RELEASE_POLL_S = 0.02


class CoordinatorSupervisor:
    """Owns the coordinator tasks of the groups that this instance holds.

    Parameters
    ----------
    elections : election_task.ElectionTask
        Tells which leases were won.
    build : callable
        Returns the task for a group and a term.
    """

    def __init__(
        self, elections: election_task.ElectionTask, build: Build
    ) -> None:
        self.elections = elections
        self.build = build
        self.running: dict[str, coordinator_task.CoordinatorTask] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        elections.on_acquired = self.start

    def start(self, group: str, term: int) -> None:
        """Run the coordinator of a term, which may have been run before."""
        known = self.running.get(group)
        if known is not None and known.term == term:
            return
        created = self.build(group, term)
        self.running[group] = created
        task = asyncio.create_task(self.run_one(created))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_one(self, created: coordinator_task.CoordinatorTask) -> None:
        """Run one coordinator and forget it afterwards."""
        try:
            await created.run()
        except Exception:
            # The state of the term is lost, and its tokens must not repeat,
            # so another instance has to take over after the permits' end.
            loguru.logger.exception('coordinator of {} failed', created.group)
            self.elections.resign(created.group)
        finally:
            if self.running.get(created.group) is created:
                del self.running[created.group]

    def lost_upstreams(self) -> tuple[str, ...]:
        """Return the silent upstreams of all groups held."""
        lost = {name for each in self.running.values() for name in each.lost}
        return tuple(sorted(lost))

    async def run(self, boxes: mailboxes.Mailboxes) -> None:
        """Route permit requests until cancelled."""
        queue = boxes.subscribe(messages.PermitRequest)
        while True:
            message = await queue.get()
            task = self.running.get(message.body.group)
            if task is not None:
                task.queue.put_nowait(message)

    async def release_all(self, deadline: float) -> None:
        """Give all leases back once their permits and grants have ended.

        Parameters
        ----------
        deadline : float
            When to stop waiting, in seconds of `time.monotonic`.
        """
        now = time.monotonic()
        for task in self.running.values():
            task.coordinator.close(now + RELEASE_LEASE_S)
        while self.running and time.monotonic() < deadline:
            for group, task in list(self.running.items()):
                quiet_at = task.coordinator.quiet_at()
                if self.elections.release(time.monotonic(), group, quiet_at):
                    del self.running[group]
            await asyncio.sleep(RELEASE_POLL_S)

    def close(self) -> None:
        """Stop all coordinators."""
        for task in list(self.tasks):
            task.cancel()
