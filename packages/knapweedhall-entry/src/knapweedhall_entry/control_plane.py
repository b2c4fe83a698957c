"""The parts of one instance that decide, wired in `factory`."""

from __future__ import annotations

import asyncio
import time
import typing

from knapweedhall_entry import checkpoint_writer
from knapweedhall_entry import config_exchange
from knapweedhall_entry import control_view
from knapweedhall_entry import coordinator_supervisor
from knapweedhall_entry import election_task
from knapweedhall_entry import electors_writer
from knapweedhall_entry import fleet
from knapweedhall_entry import instance_list
from knapweedhall_entry import log_follower
from knapweedhall_entry import mailboxes
from knapweedhall_entry import membership
from knapweedhall_entry import permit_task
from knapweedhall_entry import planner
from knapweedhall_peering import transport
from knapweedhall_records import bodies
from knapweedhall_records import ids

# Bounds the delay until a change of the list or of a record is noticed.
REFRESH_S = 0.05


class ControlPlane(typing.NamedTuple):
    """All control tasks of one instance."""

    me: ids.InstanceId
    failure_domain: str
    peering: transport.Transport
    boxes: mailboxes.Mailboxes
    follower: log_follower.LogFollower
    listed: instance_list.InstanceListFollower
    members: membership.Membership
    view: fleet.Fleet
    exchange: config_exchange.ConfigExchange
    elections: election_task.ElectionTask
    supervisor: coordinator_supervisor.CoordinatorSupervisor
    held: permit_task.PermitTask
    lookups: control_view.ControlView
    electors: electors_writer.ElectorsWriter
    plans: planner.Planner
    checkpoints: checkpoint_writer.CheckpointWriter

    def runs(
        self,
    ) -> dict[str, typing.Coroutine[typing.Any, typing.Any, None]]:
        """Return the coroutines of all tasks by name."""
        boxes = self.boxes
        return {
            'peering': self.peering.run(boxes.deliver),
            'log': self.follower.run(),
            'list': self.listed.run(),
            'membership': self.members.run(boxes),
            'fleet': self.refresh(),
            'exchange': self.exchange.run(boxes),
            'elections': self.elections.run(boxes),
            'coordinators': self.supervisor.run(boxes),
            'permits': self.held.run(boxes),
            'electors': self.electors.run(),
            'plans': self.plans.run(),
            'checkpoints': self.checkpoints.run(),
        }

    async def refresh(self) -> None:
        """Join records and list anew until cancelled."""
        while True:
            before = self.view.upstreams
            self.view.refresh(time.monotonic())
            if self.view.upstreams != before:
                self.lookups.changed()
            await asyncio.sleep(REFRESH_S)

    def begin_stop(self) -> None:
        """Ask for no lease any more and leave the sets of electors."""
        self.elections.stopping = True
        self.electors.stopping = True

    def lowest(self) -> bool:
        """Return whether this instance has the lowest name of the live ones.

        Of an instance that cannot reach the log nothing is expected.
        """
        if not self.follower.reachable or self.electors.stopping:
            return False
        others = [
            name
            for name, state in self.members.live().items()
            if state.heartbeat.log_reachable
            and state.heartbeat.restored
            and not state.heartbeat.leaving
        ]
        return all(self.me.name < name for name in others)

    def plans_service(self, name: str, service: bodies.Service) -> bool:
        """Return whether this instance makes the plans of a service.

        The coordinator of a `handover` service does. A `stay` service has a
        coordinator per failure domain, so the lowest name does.
        """
        if not self.follower.reachable:
            return False
        if service.partition_mode != 'handover':
            return self.lowest()
        now = time.monotonic()
        return self.elections.lease(now, f'service/{name}') is not None

    def silence(self) -> planner.Silence:
        """Return what the coordinators say of silent upstreams."""
        groups = set(self.supervisor.running)
        lost = set(self.supervisor.lost_upstreams())
        for state in self.members.live().values():
            groups.update(state.heartbeat.groups)
            lost.update(state.heartbeat.lost_upstreams)
        return planner.Silence(groups, lost)

    def complete(self) -> bool:
        """Return whether the configuration is restored without a gap."""
        follower = self.follower
        return follower.restored and follower.missing_first is None
