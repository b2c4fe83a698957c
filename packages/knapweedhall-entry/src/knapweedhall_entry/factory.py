"""Wires one instance."""

from __future__ import annotations

import pathlib
import random
import time
import typing

import aiohttp

from knapweedhall_entry import application
from knapweedhall_entry import checkpoint_writer
from knapweedhall_entry import config_exchange
from knapweedhall_entry import control_plane
from knapweedhall_entry import control_view
from knapweedhall_entry import coordinator_inputs
from knapweedhall_entry import coordinator_supervisor
from knapweedhall_entry import coordinator_task
from knapweedhall_entry import election_task
from knapweedhall_entry import electors_writer
from knapweedhall_entry import fleet
from knapweedhall_entry.gateway import factory as gateway_factory
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry import instance_list
from knapweedhall_entry import log_follower
from knapweedhall_entry import mailboxes
from knapweedhall_entry import membership
from knapweedhall_entry import messages
from knapweedhall_entry import messenger
from knapweedhall_entry import observer
from knapweedhall_entry import permit_task
from knapweedhall_entry import planner
from knapweedhall_entry import publisher
from knapweedhall_entry import settings
from knapweedhall_entry import upstream_client
from knapweedhall_events import trace
from knapweedhall_ownership import groups
from knapweedhall_ownership import messages as ownership_messages
from knapweedhall_peering import envelope
from knapweedhall_peering import transport
from knapweedhall_platform import client
from knapweedhall_records import ids

# Levels at which the log keeps the events of single requests.
DETAILED_LEVELS = ('TRACE', 'DEBUG')

KINDS: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        messages.Heartbeat,
        messages.ConfigRequest,
        messages.ConfigRecords,
        ownership_messages.VoteRequest,
        ownership_messages.Vote,
        ownership_messages.VoteRelease,
        ownership_messages.PermitRequest,
        ownership_messages.PermitOffer,
    )
}


class Base(typing.NamedTuple):
    """What most parts of an instance share."""

    options: settings.Settings
    me: ids.InstanceId
    events: trace.TraceWriter
    boxes: mailboxes.Mailboxes
    peering: transport.Transport
    sender: messenger.Messenger
    log: client.LogClient
    listing: client.ListClient
    upstreams: upstream_client.UpstreamClient
    rng: random.Random

    def request_timeout_s(self) -> float:
        """Return the time limit of a call to the platform."""
        return self.options.platform.request_timeout_ms / 1000


def build_base(
    options: settings.Settings,
    platform: aiohttp.ClientSession,
    upstreams: aiohttp.ClientSession,
) -> Base:
    """Open the peering socket and the clients."""
    me = ids.InstanceId(options.instance.name, time.time_ns() // 1000)
    path = pathlib.Path(options.trace.path) if options.trace.path else None
    events = trace.TraceWriter(me.name, path)
    boxes = mailboxes.Mailboxes(events)
    codec = envelope.Codec(bytes.fromhex(options.peering.key_hex), KINDS)
    peering = transport.Transport(
        me, str(options.listen.peer_address), codec, events
    )
    peering.listen()
    address = str(options.platform.address)
    return Base(
        options,
        me,
        events,
        boxes,
        peering,
        messenger.Messenger(me, peering, boxes),
        client.LogClient(platform, address, options.platform.stream),
        client.ListClient(platform, address),
        upstream_client.UpstreamClient(upstreams),
        random.Random(),
    )


class Late:
    """Functions that need parts which are built later than their users."""

    plane: control_plane.ControlPlane
    gateway: gateway_factory.Gateway
    running: application.Application

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat to send."""
        return self.running.heartbeat()

    def load(self) -> permit_task.Load:
        """Return the demand for permit requests."""
        demand = {
            name: float(each.outstanding + each.waiting)
            for name, each in self.gateway.demand().items()
        }
        return permit_task.Load(demand, {})

    def changed(self) -> None:
        """Tell the data path that permits have changed."""
        self.plane.lookups.changed()


def build_plane(base: Base, late: Late) -> control_plane.ControlPlane:
    """Build all control tasks."""
    options, events = base.options, base.events
    domain = options.instance.failure_domain
    timeout_s = base.request_timeout_s()
    follower = log_follower.LogFollower(base.log, timeout_s, events)
    appender = publisher.Publisher(base.log, base.me, timeout_s)
    follower.read_listeners.append(appender.note_read)
    listed = instance_list.InstanceListFollower(
        base.listing, options.platform.list_interval_ms / 1000, timeout_s
    )
    members = membership.Membership(
        base.me.name, domain, base.peering, late.heartbeat, events
    )
    listed.listeners.append(members.note_list)
    view = fleet.Fleet(follower.store, listed)
    elections = election_task.ElectionTask(base.sender, view, base.rng, events)
    held = permit_task.PermitTask(
        base.sender, view, late.load, late.changed, events
    )
    inputs = coordinator_inputs.Inputs(base.me, domain, view, members)

    def build_coordinator(
        group: str, term: int
    ) -> coordinator_task.CoordinatorTask:
        return coordinator_task.CoordinatorTask(
            group,
            term,
            elections,
            inputs,
            base.upstreams,
            base.sender,
            appender,
            events,
        )

    supervisor = coordinator_supervisor.CoordinatorSupervisor(
        elections, build_coordinator
    )
    return control_plane.ControlPlane(
        base.me,
        domain,
        base.peering,
        base.boxes,
        follower,
        listed,
        members,
        view,
        config_exchange.ConfigExchange(follower, members, base.sender),
        elections,
        supervisor,
        held,
        control_view.ControlView(base.me, domain, view, held, members),
        electors_writer.ElectorsWriter(
            groups.Instance(base.me, domain),
            view,
            members,
            listed,
            elections,
            appender,
        ),
        planner.Planner(
            view,
            appender,
            lambda name, service: late.plane.plans_service(name, service),
            lambda: late.plane.silence(),
        ),
        checkpoint_writer.CheckpointWriter(
            follower,
            appender,
            lambda: late.plane.lowest(),
            options.platform.retention_ms,
            events,
        ),
    )


def traces_requests(options: settings.Settings) -> bool:
    """Return whether anything keeps the events of single requests."""
    return bool(options.trace.path) or options.log.level in DETAILED_LEVELS


async def run(options: settings.Settings) -> int:
    """Run one instance until a signal ends it.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 1 if a task failed.
    """
    source = options.listen.peer_address.host
    async with (
        client.open_session(source) as platform,
        upstream_client.open_session(source) as upstreams,
    ):
        base = build_base(options, platform, upstreams)
        late = Late()
        late.plane = build_plane(base, late)
        late.gateway = gateway_factory.build_gateway(
            late.plane.lookups,
            base.events,
            interfaces.Options(
                base.me.name,
                selection=options.traffic.choice_policy,
                request_events=traces_requests(options),
            ),
            base.rng,
            observer.PermitObserver(late.plane.view, late.plane.held),
        )
        late.running = application.Application(
            options, late.plane, late.gateway, base.events
        )
        try:
            return await late.running.run()
        finally:
            base.peering.close()
            base.events.close()
