"""Membership in the store's group, which elects the coordinator.

The store assigns partition 0 to one member, which is the coordinator.
"""

from __future__ import annotations

import asyncio
import functools
import math

import aiohttp

from knapweedhall_adapter import orders
from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router.control import coordinator as coordinator_module
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import instance_links
from knapweedhall_router import logs
from knapweedhall_router import state as state_module
from knapweedhall_router import tasks
from knapweedhall_routing import candidacy
from knapweedhall_routing import load as load_module

# Time after the coordinator's last join at which the store lets another member
# take over. Short, as the keys of a lost upstream are not reassigned until
# then; two slow answers of the store (0.3 s each) fit in.
COORDINATOR_TIMEOUT_S = 1.2
COORDINATOR_JOIN_PERIOD_S = 0.3
# The other members hold no partition and join to be candidates. Only two
# join periods long: the store may assign the partition to a candidate whose
# calls it rejects, and reassigns it after this timeout.
CANDIDATE_TIMEOUT_S = 2.0
CANDIDATE_JOIN_PERIOD_S = 1.0
# Instances with fewer resources do not coordinate while another one does. The
# coordinator sends each change to all instances and renews each grant; with 89
# instances, this filled a network link of 5 Mbit/s for seconds.
MIN_CORES = 0.6
MIN_LINK_MBPS = 20.0
# Time without a coordinator after which they become candidates.
SMALL_INSTANCE_DELAY_S = 4.0
# Group that is joined only to see whether the store answers; a join is its
# cheapest call. The results of all instances tell whether the store is down
# for everybody.
PROBE_GROUP = 'knapweedhall.watch'
# Shorter while the instance has no coordinator with a valid lease, as it may
# become the next coordinator.
DISCONNECTED_JOIN_PERIOD_S = 0.25
CALL_TIMEOUT_S = 0.6
# Period of the check whether the grants are renewed before a planned stop.
HAND_OVER_CHECK_PERIOD_S = 0.05
# Subtracted from a lease for the delay until an order arrives.
LEASE_MARGIN_S = 0.1


class Membership:
    """Keeps this instance in the group and starts and ends its terms.

    Attributes
    ----------
    generation : int
        Last generation number of the membership that the store returned.
    generation_era : int
        Era of the store in which it did.
    coordinator : coordinator.Coordinator or None
        The current term; None if the instance does not coordinate.
    task : asyncio.Task or None
        Runs the current term.
    is_small : bool
        Whether the instance has too few resources to coordinate unless no
        other instance does.
    checkpoint : coordinator_store.Checkpoint or None
        Assignments of the current term, which ends because the store came back
        from a copy.
    handover : coordinator_store.Checkpoint or None
        Assignments of the last term, which ended because the store came back
        from a copy, for the next coordinator.
    """

    def __init__(
        self,
        client: store.StoreClient,
        session: aiohttp.ClientSession,
        state: state_module.State,
        link: coordinator_link.CoordinatorLink,
    ) -> None:
        self.client = client
        self.order_client = orders.OrderClient(
            session, functools.partial(state.record_leaving, source='order')
        )
        self.state = state
        self.link = link
        self.generation = 0
        self.generation_era = 0
        self.coordinator: coordinator_module.Coordinator | None = None
        self.task: asyncio.Task[None] | None = None
        self.checkpoint: coordinator_store.Checkpoint | None = None
        self.handover: coordinator_store.Checkpoint | None = None
        settings = state.settings
        self.member = coordinator_link.member_id(settings)
        min_timeout_s = settings.least_membership_s
        self.is_small = (
            settings.cpu_share * settings.cores < MIN_CORES
            or settings.link_mbps < MIN_LINK_MBPS
        )
        client.on_restored = self._join_after_restore
        self.coordinator_timeout_s = max(COORDINATOR_TIMEOUT_S, min_timeout_s)
        self.candidate_timeout_s = max(CANDIDATE_TIMEOUT_S, min_timeout_s)

    async def run(self) -> None:
        """Stay in the group until cancelled."""
        while True:
            sent_at = clock.now()
            if self._is_unneeded():
                # Others stand by, and the coordinator works.
                pass
            elif self._is_candidate(sent_at):
                await self._join(sent_at)
            else:
                await self._probe_store(sent_at)
            # Waits less when the status changes: a lost coordinator may have
            # left the group, and one with an expired lease needs to know
            # whether the store answers the other instances.
            await self.link.status_changed.wait(
                sent_at + self._join_period() - clock.now()
            )

    def _join_period(self) -> float:
        if self.coordinator is not None:
            return COORDINATOR_JOIN_PERIOD_S
        if self.link.connected and not self.link.lease_expired:
            return CANDIDATE_JOIN_PERIOD_S
        return DISCONNECTED_JOIN_PERIOD_S

    def _is_unneeded(self) -> bool:
        """Return whether this instance has no reason to call the store."""
        if self.coordinator is not None or not self.link.connected:
            return False
        if self.link.lease_expired or not self.link.members:
            return False
        return self.member not in candidacy.candidates(self.link.members)

    def _is_candidate(self, now: float) -> bool:
        """Return whether this instance may coordinate now."""
        if not self.is_small or self.coordinator is not None:
            return True
        if self.link.connected:
            return False
        return now - self.link.disconnected_at > SMALL_INSTANCE_DELAY_S

    async def _probe_store(self, sent_at: float) -> None:
        """Call the store to see whether it answers."""
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        outcome = await self.client.join(
            PROBE_GROUP,
            self.member,
            coordinator_link.TERM_TOPIC,
            self.candidate_timeout_s,
            0,
            deadline,
        )
        if not isinstance(outcome, outcomes.Unavailable):
            self.state.store_answered_at = sent_at

    def _join_after_restore(self) -> None:
        """Let a coordinator begin its next term without delay.

        The store may have lost the group and name the first member that joins,
        and only the coordinator knows its assignments. The others are not
        woken.
        """
        self._record_era()
        if self.coordinator is not None:
            self.link.status_changed.notify()

    def _record_era(self) -> None:
        """Record that the store is in a new era.

        A coordinator of an earlier one extended its lease before that for the
        last time.
        """
        self.state.former_leases_until = (
            clock.now() + self.coordinator_timeout_s
        )

    async def _join(self, sent_at: float) -> None:
        outcome = await self._call_join()
        if outcome == store.RESTORED:
            # The response was given up, but the store answers again.
            self._keep_checkpoint()
            sent_at = clock.now()
            outcome = await self._call_join()
        self._keep_checkpoint()
        if isinstance(outcome, outcomes.Unavailable):
            logs.info('join_failed', reason=outcome.reason)
            if self.coordinator and self.coordinator.must_stop():
                await self._stop()
            return
        self.state.store_answered_at = sent_at
        if self.state.former_leases_until == math.inf:
            self._record_era()
        self.generation = outcome.generation
        if not outcome.holds_partition:
            self.checkpoint = None
            await self._stop()
            return
        lease_expires_at = (
            sent_at + self.coordinator_timeout_s - LEASE_MARGIN_S
        )
        current = self.coordinator
        if current is None:
            self._start(lease_expires_at)
        elif not self._is_interrupted():
            current.lease.expires_at = lease_expires_at
        else:
            # Otherwise the keys that wait for a new owner would also wait
            # until the instances have found this coordinator again.
            current.keeps_links = self._is_restored()
            try:
                await self._stop()
            except asyncio.CancelledError:
                current.close_links()
                raise
            if current.keeps_links:
                self._start(lease_expires_at, current.links, current.load)
            else:
                self._start(lease_expires_at)

    async def _call_join(self) -> outcomes.JoinOutcome:
        if self.generation_era != self.client.era:
            # A restored store gives out its generations again.
            self.generation_era, self.generation = self.client.era, 0
        timeout_s = self.candidate_timeout_s
        if self.coordinator is not None:
            timeout_s = self.coordinator_timeout_s
        return await self.client.join(
            coordinator_link.COORDINATOR_GROUP,
            self.member,
            coordinator_link.TERM_TOPIC,
            timeout_s,
            self.generation,
            asyncio.get_running_loop().time() + CALL_TIMEOUT_S,
        )

    def _is_interrupted(self) -> bool:
        """Return whether the current term must end though the store renews it.

        After its lease expired, another instance may have been the
        coordinator for a time, with tokens above those of this term.
        """
        if self.coordinator is None or self.task is None:
            return False
        if self._is_restored():
            return True
        return self.task.done() or self.coordinator.lease.is_expired()

    def _is_restored(self) -> bool:
        """Return whether the store was restored since the term began."""
        current = self.coordinator
        if current is None or current.store.epoch < 0:
            return False
        return current.store.era != self.client.era

    def _keep_checkpoint(self) -> None:
        """Keep the assignments when the store turns out to be restored.

        Later the instances' reports no longer show that the store was away
        for all of them.
        """
        if self.coordinator is not None and self._is_restored():
            if self.checkpoint is None:
                self.checkpoint = self.coordinator.checkpoint()
            self._keep_handover(self.coordinator, self.client.era)

    def _keep_handover(
        self, current: coordinator_module.Coordinator, era: int
    ) -> None:
        self.handover = current.handover(era) or self.handover

    def _start(
        self,
        lease_expires_at: float,
        links: instance_links.InstanceLinks | None = None,
        load: load_module.Load | None = None,
    ) -> None:
        checkpoint, self.checkpoint = self.checkpoint, None
        self.handover = None
        self.coordinator = coordinator_module.Coordinator(
            self.client,
            self.order_client,
            self.state,
            lease_expires_at,
            checkpoint,
            links,
            load,
            self.link.former_coordinator,
        )
        self.task = asyncio.create_task(self.coordinator.run())

    async def _stop(self) -> None:
        task, self.task = self.task, None
        self.coordinator = None
        if task is None:
            return
        task.cancel()
        # Awaiting the task itself would not tell its cancellation from that
        # of the waiting task.
        await asyncio.wait((task,))
        error = None if task.cancelled() else task.exception()
        if isinstance(error, coordinator_store.DeposedError):
            logs.info('tenure_deposed')
        elif error is not None:
            logs.warning('tenure_failed', reason=tasks.describe(error))

    async def step_down(
        self, epoch: int, era: int
    ) -> coordinator_store.Checkpoint | None:
        """End the current term if its epoch is lower.

        Parameters
        ----------
        epoch, era : int
            Number of the new term, and era of the store in which it began.

        Returns
        -------
        coordinator_store.Checkpoint or None
            The assignments that were in force when that era began; None if
            somebody else may have changed them.
        """
        current = self.coordinator
        if current is not None and current.store.epoch < epoch:
            logs.info('tenure_yielded', epoch=current.store.epoch, to=epoch)
            await self._stop()
            # A move may have ended until now.
            if self.coordinator is None:
                self._keep_handover(current, era)
        if self.coordinator is not None or self.handover is None:
            return None
        return self.handover if self.handover.era == era else None

    async def hand_over(self, until: float) -> None:
        """Prepare the end of the current term, while the membership goes on.

        Terms may follow one another faster than each of them can renew all
        grants. Each one that ends in order therefore renews them at its end.

        Parameters
        ----------
        until : float
            When to give up, seconds.
        """
        current, task = self.coordinator, self.task
        if current is None or task is None:
            return
        current.request_hand_over()
        while self.coordinator is current and not task.done():
            is_complete = current.is_handed_over()
            if is_complete or clock.now() >= until:
                logs.info(
                    'tenure_handed_over',
                    epoch=current.store.epoch,
                    complete=is_complete,
                )
                return
            await asyncio.sleep(HAND_OVER_CHECK_PERIOD_S)

    async def leave(self) -> bool:
        """Leave the group and end the term, so that another member takes over.

        Returns
        -------
        bool
            Whether the store answered. Otherwise the term continues, as no
            other instance can take over.
        """
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        has_left = await self.client.leave(
            coordinator_link.COORDINATOR_GROUP, self.member, deadline
        )
        if has_left:
            await self.end()
        return has_left

    async def end(self) -> None:
        """End the term if this instance coordinates."""
        await self._stop()
