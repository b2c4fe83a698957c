"""Creates the tasks of a router process and runs them."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import signal
import typing

import aiohttp

from knapweedhall_adapter import orders
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router.control import followers
from knapweedhall_router.control import membership
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import listeners
from knapweedhall_router.links import peer_listener
from knapweedhall_router.links import token_deputies
from knapweedhall_router import logs
from knapweedhall_router import metrics
from knapweedhall_router.serving import caller_connections
from knapweedhall_router.serving import dispatch
from knapweedhall_router.serving import explanation
from knapweedhall_router.serving import frontend
from knapweedhall_router import settings as settings_module
from knapweedhall_router import startup
from knapweedhall_router import state as state_module
from knapweedhall_router import tasks as tasks_module
from knapweedhall_routing import model

# Time after a stop signal for which new connections are still accepted: the
# load balancer checks readiness once per second and needs two failed checks.
ACCEPT_AFTER_STOP_S = 2.6
# Share of the grace time in which upstreams have to end their work.
WORK_GRACE_SHARE = 0.85
# Share of the grace time until which responses of upstreams are awaited.
# Requests that are sent after a stop signal have the end of the work as their
# time limit, so that the upstream itself responds then.
RESPONSE_GRACE_SHARE = 0.9
# Share of the grace time after which the process ends even if responses are
# still being sent. The rest is for the end of the process itself.
SEND_GRACE_SHARE = 0.95
DRAIN_CHECK_S = 0.05
# Time for a coordinator that is stopped to end its moves and to renew all
# grants. As long as a release may take; the listener is open for longer.
HAND_OVER_S = 1.5
# Pause between attempts to leave the store's group, which ends the term of a
# coordinator, while the store does not answer.
LEAVE_RETRY_S = 0.3
# Time from the end of the last connection to the end of the process. What the
# caller's host has acknowledged may still be on its way to the caller.
KERNEL_SEND_S = 0.6
HOUSEKEEPING_PERIOD_S = 1.0
# Share of the descriptors for connections to the listener for readiness checks
# and as many for that for metrics, and the least number: a load balancer and a
# monitor have a few connections each.
CHECK_DESCRIPTOR_SHARE = 0.05
MIN_CHECK_CONNECTIONS = 8
# Share of the memory for the heads of their requests, which have some hundred
# bytes.
CHECK_MEMORY_SHARE = 0.02
# Name of the listener for callers.
FRONT = 'front'


class Application:
    """The router process.

    Attributes
    ----------
    path : pathlib.Path or None
        Settings file, which is read again while the process runs; None to
        keep the settings.
    settings_faults : settings.Faults or None
        Faults of the file when it was last read, which are logged once.
    stop : asyncio.Event
        Set to stop the process.
    peers_accepted : asyncio.Event
        Set when other instances can connect.
    member : membership.Membership or None
        Membership in the store's group; None before `serve`.
    check_servers : list of caller_connections.CallerServer
        HTTP servers for readiness checks and metrics.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        path: pathlib.Path | None = None,
    ) -> None:
        self.settings = settings
        self.path = path
        self.state = state_module.State(settings)
        self.dispatcher = dispatch.Dispatcher(self.state)
        self.frontend = frontend.Frontend(self.state, self.dispatcher)
        self.settings_faults: settings_module.Faults | None = None
        self.stop = asyncio.Event()
        self.peers_accepted = asyncio.Event()
        self.member: membership.Membership | None = None
        self.check_servers: list[caller_connections.CallerServer] = []

    async def run(self) -> None:
        """Serve until a stop signal is received."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_log_callback_fault)
        for number in startup.STOP_SIGNALS:
            loop.add_signal_handler(number, self._stop_on_signal, number)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        held_back = startup.take_stop_signal()
        if held_back is not None:
            self._stop_on_signal(held_back)
        startup.unblock_signals()
        try:
            async with store.open_session() as session:
                await self.serve(session)
        finally:
            # Closing the loop restores the default actions of the signals,
            # which would end the process with another status.
            startup.block_signals()

    def _stop_on_signal(self, number: signal.Signals) -> None:
        logs.info('stop_requested', signal=number.name)
        self.stop.set()

    async def serve(self, session: aiohttp.ClientSession) -> None:
        """Serve until `stop` is set.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Session for calls to the store.
        """
        client = store.StoreClient(session, self.settings.store)
        link = coordinator_link.CoordinatorLink(client, self.state)
        caller_server = self.frontend.create_server()
        async with orders.open_session() as order_session:
            member = self.member = membership.Membership(
                client, order_session, self.state, link
            )
            configuration = followers.configuration_follower(
                client, self.state
            )
            upstreams = followers.UpstreamFollower(client, self.state)
            work: tuple[tuple[str, tasks_module.Work], ...] = (
                ('membership', functools.partial(self._join_group, member)),
                ('configuration', configuration.run),
                ('upstreams', upstreams.run),
                ('coordinator_link', link.run),
                ('deputy_link', token_deputies.DeputyLink(self.state).run),
                (
                    'housekeeping',
                    functools.partial(self._housekeeping, caller_server),
                ),
            )
            tasks = [
                asyncio.create_task(tasks_module.supervise(name, run))
                for name, run in work
            ]
            open_listeners = listeners.Listeners()
            try:
                await self._run(
                    member, link, tasks[0], caller_server, open_listeners
                )
            finally:
                self.state.stopping = True
                # The answer to a join in flight could begin another term.
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                await member.end()
                open_listeners.close()
        logs.info(
            'stopped',
            running=self.frontend.in_flight,
            unsent_bytes=caller_server.unsent_bytes(),
        )

    async def _run(
        self,
        member: membership.Membership,
        link: coordinator_link.CoordinatorLink,
        membership_task: asyncio.Task[None],
        caller_server: caller_connections.CallerServer,
        open_listeners: listeners.Listeners,
    ) -> None:
        if self.stop.is_set():
            # How much of the grace time has passed during the start is not
            # known, so no requests are accepted.
            return
        listening = asyncio.create_task(
            self._listen(
                caller_server,
                peer_listener.PeerListener(
                    member,
                    link,
                    functools.partial(
                        explanation.explain, self.state, self.dispatcher.pools
                    ),
                ),
                open_listeners,
            )
        )
        stop_requested = asyncio.create_task(self.stop.wait())
        await asyncio.wait(
            (listening, stop_requested), return_when=asyncio.FIRST_COMPLETED
        )
        if listening.done():
            # Raises what keeps the process from listening for good.
            listening.result()
        await stop_requested
        self.state.stopping = True
        listening.cancel()
        await asyncio.gather(listening, return_exceptions=True)
        await self._shut_down(
            member, membership_task, caller_server, open_listeners
        )

    async def _shut_down(
        self,
        member: membership.Membership,
        membership_task: asyncio.Task[None],
        caller_server: caller_connections.CallerServer,
        open_listeners: listeners.Listeners,
    ) -> None:
        """End the term and the requests of a process that was stopped."""
        logs.info('stopping', running=self.frontend.in_flight)
        stopped_at = clock.now()
        caller_server.is_stopping = True
        work_until = stopped_at + self.settings.grace_s * WORK_GRACE_SHARE
        self.frontend.limit_work(
            work_until,
            stopped_at + self.settings.grace_s * RESPONSE_GRACE_SHARE,
        )
        await member.hand_over(stopped_at + HAND_OVER_S)
        membership_task.cancel()
        await asyncio.gather(membership_task, return_exceptions=True)
        leaving = asyncio.create_task(self._leave_group(member, work_until))
        try:
            await self._drain(
                open_listeners,
                caller_server,
                stopped_at + ACCEPT_AFTER_STOP_S,
                stopped_at + self.settings.grace_s * SEND_GRACE_SHARE,
            )
            if member.coordinator is not None:
                # No other instance can take over yet, so this one continues
                # to renew the grants.
                await asyncio.wait((leaving,))
        finally:
            leaving.cancel()
            (error,) = await asyncio.gather(leaving, return_exceptions=True)
            if isinstance(error, Exception):
                logs.warning(
                    'task_fault',
                    task='leaving',
                    reason=tasks_module.describe(error),
                )

    async def _leave_group(
        self, member: membership.Membership, until: float
    ) -> None:
        """Leave the group as soon as the store answers.

        While it is in the group, the store may name this instance as the next
        coordinator.
        """
        has_left = await member.leave()
        if not has_left:
            logs.warning('tenure_kept', reason='the store does not answer')
        while not has_left and clock.now() < until:
            await asyncio.sleep(LEAVE_RETRY_S)
            has_left = await member.leave()

    def reload(self) -> None:
        """Read the settings again; ignore them if they have faults."""
        if self.path is None:
            return
        loaded = settings_module.read(self.path)
        if isinstance(loaded, settings_module.Faults):
            if loaded != self.settings_faults:
                log_faults(loaded)
            self.settings_faults = loaded
            return
        self.settings_faults = None
        if loaded == self.settings:
            return
        unapplied = settings_module.needs_restart(self.settings, loaded)
        self.settings = self.state.settings = settings_module.merge(
            self.settings, loaded
        )
        logs.info('settings_reloaded', needs_restart=unapplied)

    async def _join_group(self, member: membership.Membership) -> None:
        # A coordinator must be reachable for the other instances.
        await self.peers_accepted.wait()
        await member.run()

    async def _listen(
        self,
        caller_server: caller_connections.CallerServer,
        listener: peer_listener.PeerListener,
        open_listeners: listeners.Listeners,
    ) -> None:
        """Open all listeners, each as soon as its address is free."""
        ready_server = self._create_check_server(
            functools.partial(frontend.handle_readiness, self.state)
        )
        metrics_server = self._create_check_server(
            metrics.Metrics(self.state, self.frontend).handle
        )
        host = self.settings.address
        metrics_address = model.Address(host, self.settings.metrics_port)
        peer_address = model.Address(host, self.settings.peer_port)
        async with asyncio.TaskGroup() as group:
            for name, address, server, opened in (
                (
                    FRONT,
                    self.settings.front,
                    caller_server,
                    self._record_front_open,
                ),
                ('ready', self.settings.ready, ready_server, None),
                ('metrics', metrics_address, metrics_server, None),
                (
                    'peers',
                    peer_address,
                    listener.create_protocol,
                    self.peers_accepted.set,
                ),
            ):
                group.create_task(
                    open_listeners.open(name, address, server, opened)
                )
        logs.info('started', instance=self.settings.name)

    def _create_check_server(
        self,
        handler: caller_connections.Handler,
    ) -> caller_connections.CallerServer:
        """Return an HTTP server for the load balancer or for monitoring."""
        server = caller_connections.CallerServer(
            caller_connections.answer_at_once(handler),
            access_log=None,
            lingering_time=1.0,
            read_bufsize=caller_connections.READ_BYTES,
            limits=self._check_limits,
        )
        self.check_servers.append(server)
        return server

    def _check_limits(self) -> caller_connections.Limits:
        """Return the limits over all connections of such a server."""
        share = self.settings.descriptors * CHECK_DESCRIPTOR_SHARE
        return caller_connections.Limits(
            max(MIN_CHECK_CONNECTIONS, int(share)),
            self.settings.memory_mb * 1e6 * CHECK_MEMORY_SHARE,
        )

    def _record_front_open(self) -> None:
        self.state.accepts_callers = True

    async def _drain(
        self,
        open_listeners: listeners.Listeners,
        caller_server: caller_connections.CallerServer,
        accept_until: float,
        end_at: float,
    ) -> None:
        """Stop accepting connections and wait until callers have theirs.

        The listener stays open until the load balancer has noticed that this
        instance is not ready. A connection that was accepted before may be
        set up, or bring a request, after that.

        Parameters
        ----------
        open_listeners : listeners.Listeners
            The listeners of the process.
        caller_server : caller_connections.CallerServer
            The connections.
        accept_until, end_at : float
            When the listener is closed, and when the process ends although
            responses are still being sent, on `clock.now`.
        """
        await asyncio.sleep(accept_until - clock.now())
        await open_listeners.close_one(FRONT)
        # A connection that was accepted before may still be set up.
        quiet_until = clock.now() + KERNEL_SEND_S
        while clock.now() < end_at:
            if caller_server.is_sending():
                caller_server.close_idle()
                quiet_until = clock.now() + KERNEL_SEND_S
            elif clock.now() >= quiet_until:
                break
            await asyncio.sleep(DRAIN_CHECK_S)

    async def _housekeeping(
        self, caller_server: caller_connections.CallerServer
    ) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
            self.dispatcher.pools.close_expired()
            self._close_slow_callers(caller_server)
            # The file may change without a signal.
            self.reload()

    def _close_slow_callers(
        self, caller_server: caller_connections.CallerServer
    ) -> None:
        configuration = self.state.configuration
        limits = configuration.limits if configuration else model.Limits()
        count = caller_server.close_slow(limits.header_timeout_s)
        for server in self.check_servers:
            count += server.close_slow(limits.header_timeout_s)
        if count:
            logs.info('callers_too_slow', count=count)
        for server in (caller_server, *self.check_servers):
            evicted, server.evicted = server.evicted, 0
            if evicted:
                logs.info(
                    'callers_over_limit',
                    count=evicted,
                    connections=len(server.limit.open),
                    head_bytes=server.budget.total,
                )


def _log_callback_fault(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    """Log what failed in a callback or in a task that nobody waits for."""
    error = context.get('exception')
    reason = str(context.get('message'))
    if error is not None:
        reason += f': {tasks_module.describe(error)}'
    logs.warning('callback_fault', reason=reason)


def log_faults(faults: settings_module.Faults) -> None:
    """Log each fault of a settings file."""
    for message in faults.messages:
        logs.warning('settings_fault', reason=message)
