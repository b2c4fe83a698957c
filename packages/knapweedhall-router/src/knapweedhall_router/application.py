"""Wires the tasks of a router process and runs them."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import signal

import aiohttp
from aiohttp import web

from knapweedhall_adapter import orders
from knapweedhall_adapter import store
from knapweedhall_router import clock
from knapweedhall_router import coordinator_link
from knapweedhall_router import dispatch
from knapweedhall_router import followers
from knapweedhall_router import frontend
from knapweedhall_router import logs
from knapweedhall_router import membership
from knapweedhall_router import metrics
from knapweedhall_router import peer_listener
from knapweedhall_router import settings as settings_module
from knapweedhall_router import state as state_module

# Time after a request to stop for which new connections are still taken: the
# load balancer asks once a second and needs two misses.
LEAVE_S = 2.6
# Part of the grace time after which the process ends in any case.
GRACE_SHARE = 0.85
POLL_S = 0.05
# Pause between attempts to give the tenure back while the store is down.
LEAVE_RETRY_S = 0.3
# Turns of the event loop from the last byte of a request to its handler.
SETTLE_S = 0.03
# After the listener is closed requests may still arrive on connections that
# were accepted before; without any for this time the process ends.
QUIET_S = 0.6
HOUSEKEEPING_S = 1.0
LISTEN_BACKLOG = 1024


class Application:
    """The router process."""

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
        self.stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until asked to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGINT, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await self.serve(session)

    async def serve(self, session: aiohttp.ClientSession) -> None:
        """Serve until `stop` is set.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Session for calls of the store and orders to upstreams.
        """
        client = store.StoreClient(session, self.settings.store)
        link = coordinator_link.CoordinatorLink(client, self.state)
        async with orders.open_session() as order_session:
            member = membership.Membership(
                client, order_session, self.state, link
            )
            tasks = [
                asyncio.create_task(work)
                for work in (
                    member.run(),
                    followers.configuration_follower(client, self.state).run(),
                    followers.UpstreamFollower(client, self.state).run(),
                    link.run(),
                    self._housekeeping(),
                )
            ]
            for task in tasks:
                task.add_done_callback(self._task_ended)
            servers: list[asyncio.Server] = []
            try:
                await self._run(member, link, tasks[0], servers)
            finally:
                self.state.stopping = True
                await member.end()
                for server in servers:
                    server.close()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        logs.info('stopped', running=self.frontend.in_flight)

    async def _run(
        self,
        member: membership.Membership,
        link: coordinator_link.CoordinatorLink,
        joining: asyncio.Task[None],
        servers: list[asyncio.Server],
    ) -> None:
        callers = self.frontend.create_server()
        listener = peer_listener.PeerListener(member, link)
        await self._listen(callers, listener, servers)
        logs.info('started', instance=self.settings.name)
        await self.stop.wait()
        self.state.stopping = True
        logs.info('stopping', running=self.frontend.in_flight)
        stop_at = clock.now() + self.settings.grace_s * GRACE_SHARE
        joining.cancel()
        await asyncio.gather(joining, return_exceptions=True)
        left = await member.leave()
        if not left:
            logs.warning('tenure_kept', reason='the store does not answer')
        await self._drain(servers[0], callers, stop_at)
        while member.coordinator and not left and clock.now() < stop_at:
            # Nobody can take over yet, and this instance renews the grants.
            await asyncio.sleep(LEAVE_RETRY_S)
            left = await member.leave()

    def reload(self) -> None:
        """Read the settings again; keep the old ones if they have faults."""
        if self.path is None:
            return
        found = settings_module.read(self.path)
        if isinstance(found, settings_module.Faults):
            for message in found.messages:
                logs.warning('settings_fault', reason=message)
            return
        if found == self.settings:
            return
        fixed = settings_module.needs_restart(self.settings, found)
        self.settings = self.state.settings = settings_module.merge(
            self.settings, found
        )
        logs.info('settings_reloaded', needs_restart=fixed)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self.state.stopping:
            return
        # Without one of its tasks the process would serve from memory for
        # ever; a restart begins anew.
        logs.warning('task_fault', reason=repr(task.exception()))
        self.stop.set()

    async def _listen(
        self,
        callers: web.Server,
        listener: peer_listener.PeerListener,
        servers: list[asyncio.Server],
    ) -> None:
        loop = asyncio.get_running_loop()
        ready = web.Server(
            functools.partial(frontend.handle_readiness, self.state),
            access_log=None,
        )
        figures = web.Server(
            metrics.Metrics(self.state, self.frontend).handle,
            access_log=None,
        )
        address = self.settings.address
        for server, host, port in (
            (callers, *self.settings.front),
            (ready, *self.settings.ready),
            (figures, address, self.settings.metrics_port),
        ):
            servers.append(
                await loop.create_server(
                    server, host, port, backlog=LISTEN_BACKLOG
                )
            )
        servers.append(await listener.listen(address, self.settings.peer_port))

    async def _drain(
        self, server: asyncio.Server, callers: web.Server, stop_at: float
    ) -> None:
        """Let the load balancer notice, then end what runs."""
        leave_at = min(stop_at, clock.now() + LEAVE_S)
        await asyncio.sleep(leave_at - clock.now())
        server.close()
        await self._end_idle(callers)
        quiet_at = clock.now() + QUIET_S
        while clock.now() < min(quiet_at, stop_at):
            await asyncio.sleep(POLL_S)
            if self.frontend.in_flight:
                quiet_at = clock.now() + QUIET_S

    async def _end_idle(self, callers: web.Server) -> None:
        """End idle connections, and the others after their answer.

        A request may have been read and not have reached its handler yet, so
        reading stops a moment before a connection is taken as idle.
        """
        idle = []
        for connection in callers.connections:
            if connection in self.frontend.busy_connections:
                connection.close()
            elif connection.transport is not None:
                connection.transport.pause_reading()
                idle.append(connection)
        await asyncio.sleep(SETTLE_S)
        for connection in idle:
            if connection.transport is None:
                continue
            if connection in self.frontend.busy_connections:
                connection.transport.resume_reading()
                connection.close()
            else:
                # `close` would leave an idle connection open and unread.
                connection.force_close()

    async def _housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.dispatcher.pools.close_expired()
            # The file may change without a signal.
            self.reload()


def check(path: pathlib.Path) -> settings_module.Settings | None:
    """Return the settings, or print what is wrong with them."""
    found = settings_module.read(path)
    if isinstance(found, settings_module.Faults):
        for message in found.messages:
            logs.warning('settings_fault', reason=message)
        return None
    return found
