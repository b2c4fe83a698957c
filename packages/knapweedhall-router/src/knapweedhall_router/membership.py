"""Joins the store's group; its member with partition 0 coordinates."""

from __future__ import annotations

import asyncio

import aiohttp

from knapweedhall_adapter import orders
from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router import coordinator as coordinator_module
from knapweedhall_router import coordinator_link
from knapweedhall_router import coordinator_store
from knapweedhall_router import logs
from knapweedhall_router import state as state_module

# The store lets another member take over this long after the last join of
# the coordinator. Short, as keys of a lost upstream wait for it; the store's
# slow answers of the sites (0.3 s) still fit in twice.
COORDINATOR_TIMEOUT_S = 1.2
COORDINATOR_JOIN_S = 0.3
# Others hold nothing; they join to be candidates. Two periods: the store may
# hand the tenure to one that it turns away, and waits for that one's end.
CANDIDATE_TIMEOUT_S = 2.0
CANDIDATE_JOIN_S = 1.0
# Instances with less than this leave the tenure to others while there is a
# coordinator: it sends each change to all instances, and renews each grant
# (at 89 instances a link of 5 Mbit/s was full for seconds).
LEAST_CORES = 0.6
LEAST_LINK_MBPS = 20.0
# How long they wait for another coordinator.
WEAK_WAIT_S = 4.0
# Group without any meaning but for the store's answers: they tell whether
# the store is down for all, and a join is its cheapest call.
WATCH_GROUP = 'knapweedhall.watch'
# A candidate that does not hear a coordinator may be the next one.
ORPHAN_JOIN_S = 0.25
CALL_TIMEOUT_S = 0.6
# Kept free of a lease for the delay until an order arrives.
LEASE_MARGIN_S = 0.1


class Membership:
    """Keeps this instance in the group and starts its tenures.

    Attributes
    ----------
    generation : int
        Last number that the store gave.
    coordinator : coordinator.Coordinator or None
        The present tenure.
    """

    def __init__(
        self,
        client: store.StoreClient,
        session: aiohttp.ClientSession,
        state: state_module.State,
        link: coordinator_link.CoordinatorLink,
    ) -> None:
        self.client = client
        self.orders = orders.OrderClient(session)
        self.state = state
        self.link = link
        self.generation = 0
        self.coordinator: coordinator_module.Coordinator | None = None
        self.task: asyncio.Task[None] | None = None
        settings = state.settings
        self.member = coordinator_link.member_id(settings)
        least = settings.least_membership_s
        self.weak = (
            settings.cpu_share * settings.cores < LEAST_CORES
            or settings.link_mbps < LEAST_LINK_MBPS
        )
        self.orphaned_at = clock.now()
        self.coordinator_timeout_s = max(COORDINATOR_TIMEOUT_S, least)
        self.candidate_timeout_s = max(CANDIDATE_TIMEOUT_S, least)

    async def run(self) -> None:
        """Stay in the group until cancelled."""
        while True:
            sent = clock.now()
            if self._is_candidate(sent):
                await self._join(sent)
            else:
                await self._watch(sent)
            # A lost coordinator may have handed over its place; a blind one
            # asks whether the store is down for others too.
            await self.link.status_changed.wait(
                sent + self._period() - clock.now()
            )

    def _period(self) -> float:
        if self.coordinator is not None:
            return COORDINATOR_JOIN_S
        if self.link.connected and not self.link.lease_expired:
            return CANDIDATE_JOIN_S
        return ORPHAN_JOIN_S

    def _is_candidate(self, now: float) -> bool:
        """Return whether this instance may coordinate."""
        if self.link.connected:
            self.orphaned_at = now
        if not self.weak or self.coordinator is not None:
            return True
        return now - self.orphaned_at > WEAK_WAIT_S

    async def _watch(self, sent: float) -> None:
        """Ask the store for a sign of life."""
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        outcome = await self.client.join(
            WATCH_GROUP,
            self.member,
            coordinator_link.TERM_TOPIC,
            self.candidate_timeout_s,
            0,
            deadline,
        )
        if not isinstance(outcome, outcomes.Unavailable):
            self.state.store_answered_at = sent

    async def _join(self, sent: float) -> None:
        timeout_s = self.candidate_timeout_s
        if self.coordinator is not None:
            timeout_s = self.coordinator_timeout_s
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        outcome = await self.client.join(
            coordinator_link.COORDINATOR_GROUP,
            self.member,
            coordinator_link.TERM_TOPIC,
            timeout_s,
            self.generation,
            deadline,
        )
        if isinstance(outcome, outcomes.Unavailable):
            logs.info('join_failed', reason=outcome.reason)
            if self.coordinator and self.coordinator.must_stop():
                await self._stop()
            return
        self.state.store_answered_at = sent
        self.generation = outcome.generation
        if not outcome.holds_partition:
            await self._stop()
            return
        leased_until = sent + self.coordinator_timeout_s - LEASE_MARGIN_S
        if self._is_interrupted():
            await self._stop()
        if self.coordinator is None:
            self._start(leased_until)
        else:
            self.coordinator.lease.expires_at = leased_until

    def _is_interrupted(self) -> bool:
        """Return whether the present tenure can't go on with its token.

        Once its lease has ended, the store may have given the tenure to
        another instance and taken it back; grants under the old tokens would
        be below those of that instance.
        """
        if self.coordinator is None or self.task is None:
            return False
        return self.task.done() or self.coordinator.lease.is_expired()

    def _start(self, leased_until: float) -> None:
        self.coordinator = coordinator_module.Coordinator(
            self.client, self.orders, self.state, leased_until
        )
        self.task = asyncio.create_task(self.coordinator.run())

    async def _stop(self) -> None:
        task, self.task = self.task, None
        self.coordinator = None
        if task is None:
            return
        task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
        except BaseExceptionGroup as group:
            logs.warning(
                'tenure_failed',
                reason=', '.join(repr(one) for one in group.exceptions),
            )
        except coordinator_store.DeposedError:
            logs.info('tenure_deposed')

    async def step_down(self, epoch: int) -> None:
        """End a tenure that began before an epoch."""
        found = self.coordinator
        if found is not None and found.store.epoch < epoch:
            logs.info('tenure_yielded', epoch=found.store.epoch, to=epoch)
            await self._stop()

    async def leave(self) -> bool:
        """Give the tenure back to the store.

        Returns
        -------
        bool
            False if the store did not answer. The tenure goes on then, as no
            other instance can take it over.
        """
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        left = await self.client.leave(
            coordinator_link.COORDINATOR_GROUP, self.member, deadline
        )
        if left:
            await self.end()
        return left

    async def end(self) -> None:
        """End the tenure, if there is one."""
        await self._stop()
