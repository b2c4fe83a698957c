"""Publishes the electors records of the groups."""

from __future__ import annotations

import asyncio
import time

from knapweedhall_entry import election_task
from knapweedhall_entry import fleet
from knapweedhall_entry import instance_list
from knapweedhall_entry import membership
from knapweedhall_entry import publisher
from knapweedhall_ownership import groups
from knapweedhall_records import bodies
from knapweedhall_records import ids

CHECK_INTERVAL_S = 0.25
PUBLISH_TIMEOUT_S = 3.0
# A new deployment's instances find each other within some heartbeats; a set
# of electors made earlier would need several steps to become complete.
BOOTSTRAP_WAIT_S = 1.0
# Others wait for the first in rank to publish, which saves lost appends.
RANK_DELAY_S = 1.0
# A pause or a short partition must not change the electors.
STABLE_S = 3.0
# Without a majority of electors the group has no coordinator; this long the
# missing ones must be both unreachable and absent from the list.
LOST_MAJORITY_S = 10.0
# A new run under the same name proves that the earlier one has ended; its
# leases and promises end within this time.
REPLACED_S = 2.0

Instances = list[groups.Instance]


class ElectorsWriter:
    """Bootstraps, maintains and replaces sets of electors.

    Parameters
    ----------
    me : groups.Instance
        This instance.
    view : fleet.Fleet
        Groups and electors records.
    members : membership.Membership
        Live peers.
    listed : instance_list.InstanceListFollower
        The platform's list.
    elections : election_task.ElectionTask
        Leases held by this instance.
    appender : publisher.Publisher
        Publishes the records.
    """

    def __init__(
        self,
        me: groups.Instance,
        view: fleet.Fleet,
        members: membership.Membership,
        listed: instance_list.InstanceListFollower,
        elections: election_task.ElectionTask,
        appender: publisher.Publisher,
    ) -> None:
        self.me = me
        self.view = view
        self.members = members
        self.listed = listed
        self.elections = elections
        self.appender = appender
        self.seen_since: dict[ids.InstanceId, float] = {}
        self.gone_since: dict[ids.InstanceId, float] = {}
        self.unset_since: dict[str, float] = {}
        self.stopping = False

    def live(self) -> Instances:
        """Return the live instances that stay, with this one."""
        peers = [
            groups.Instance(state.instance, state.heartbeat.failure_domain)
            for state in self.members.live().values()
        ]
        return [
            each
            for each in (self.me, *peers)
            if not self.is_leaving(each.instance.name)
        ]

    def is_leaving(self, name: str) -> bool:
        """Return whether the list or a mark says that an instance leaves."""
        if self.view.marked_out('instance', name):
            return True
        if name == self.me.instance.name:
            return self.stopping
        state = self.members.live().get(name)
        if state is not None and state.heartbeat.leaving:
            return True
        row = self.members.listed.get(name)
        return row is not None and row.state == 'leaving'

    def observe(self, now: float) -> None:
        """Remember since when instances are seen and electors are gone."""
        live = {each.instance for each in self.live()}
        for instance in live:
            self.seen_since.setdefault(instance, now)
        for instance in set(self.seen_since) - live:
            del self.seen_since[instance]
        electors = {
            elector
            for group in self.view.names('electors')
            for elector in self.view.electors(group)[1]
        }
        for elector in electors - live:
            self.gone_since.setdefault(elector, now)
        for elector in set(self.gone_since) - (electors - live):
            del self.gone_since[elector]

    def stable(self, now: float, current: groups.Electors) -> Instances:
        """Return the instances to choose electors from.

        Present electors that fell silent only now count as live, new
        instances only after a while.
        """
        found = [
            each
            for each in self.live()
            if each.instance in current
            or now >= self.seen_since[each.instance] + STABLE_S
        ]
        known = {each.instance for each in found}
        for elector in current:
            if elector in known or self.replaced(elector):
                continue
            if self.is_leaving(elector.name):
                continue
            if now < self.gone_since.get(elector, now) + STABLE_S:
                domain = self.domain_of(elector)
                found.append(groups.Instance(elector, domain))
        return found

    def domain_of(self, instance: ids.InstanceId) -> str:
        """Return the failure domain of an instance that is not heard now."""
        if instance == self.me.instance:
            return self.me.failure_domain
        state = self.members.states.get(instance.name)
        return state.heartbeat.failure_domain if state else ''

    def replaced(self, elector: ids.InstanceId) -> bool:
        """Return whether another run of the same instance is heard."""
        if elector.name == self.me.instance.name:
            return elector != self.me.instance
        state = self.members.live().get(elector.name)
        return state is not None and state.instance != elector

    def next_draft(self, group: str, now: float) -> publisher.Draft | None:
        """Return the electors record that is due for a group, if any."""
        version, current = self.view.electors(group)
        if not version:
            chosen = self.bootstrap(group, now)
        elif self.elections.lease(now, group) is not None:
            chosen = self.maintain(group, current, now)
        else:
            chosen = self.replace_lost(group, current, now)
        if not chosen:
            return None
        return publisher.Draft(
            'electors', group, version, bodies.Electors(chosen)
        )

    def bootstrap(self, group: str, now: float) -> groups.Electors | None:
        """Return the first set of a group when it is this instance's turn."""
        wanted = groups.elector_set(group, self.live())
        if self.me.instance not in wanted:
            return None
        since = self.unset_since.setdefault(group, now)
        rank = wanted.index(self.me.instance)
        if now < since + BOOTSTRAP_WAIT_S + rank * RANK_DELAY_S:
            return None
        return wanted

    def maintain(
        self, group: str, current: groups.Electors, now: float
    ) -> groups.Electors | None:
        """Return the next step of the set, for the holder of the lease."""
        candidate = self.elections.candidates[group]
        if not candidate.may_change_electors(now):
            return None
        wanted = groups.elector_set(group, self.stable(now, current), current)
        return groups.next_electors(current, wanted) if wanted else None

    def replace_lost(
        self, group: str, current: groups.Electors, now: float
    ) -> groups.Electors | None:
        """Return a new set if the majority is lost for good."""
        lost = [each for each in current if self.lost_for_good(each, now)]
        if 2 * len(lost) < len(current):
            return None
        wanted = groups.elector_set(group, self.live())
        return wanted if self.me.instance in wanted else None

    def lost_for_good(self, elector: ids.InstanceId, now: float) -> bool:
        """Return whether an elector will never vote again.

        Another run of the same instance proves the end of the earlier one,
        but its promises last as long as a lease.
        """
        gone = self.gone_since.get(elector, now)
        if self.replaced(elector):
            return now >= gone + REPLACED_S
        if now < gone + LOST_MAJORITY_S:
            return False
        absent = self.listed.absent_since.get(elector.name)
        listed = any(row.name == elector.name for row in self.listed.rows)
        if listed or self.listed.read_at is None:
            return False
        return absent is None or now >= absent + LOST_MAJORITY_S

    async def run(self) -> None:
        """Publish what is due until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            self.observe(now)
            for group in self.view.by_group():
                draft = self.next_draft(group, time.monotonic())
                if draft is not None:
                    await self.publish(draft)

    async def publish(self, draft: publisher.Draft) -> None:
        """Publish one record; a conflict is settled by reading the log."""
        deadline = time.monotonic() + PUBLISH_TIMEOUT_S
        await self.appender.publish(draft, deadline)
