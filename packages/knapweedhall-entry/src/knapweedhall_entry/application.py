"""Runs one instance: its tasks, its listeners and its planned stop."""

from __future__ import annotations

import asyncio
import signal
import time
import typing

from aiohttp import web
import loguru

from knapweedhall_entry import admin
from knapweedhall_entry import control_plane
from knapweedhall_entry.gateway import factory as gateway_factory
from knapweedhall_entry import messages
from knapweedhall_entry import metrics
from knapweedhall_entry import settings
from knapweedhall_entry import status
from knapweedhall_events import trace

READY_CHECK_S = 0.05
# Kept from the time limit of a planned stop for giving the leases back.
RELEASE_S = 2.0
CANCEL_AGAIN_S = 0.1
# The data path has waited for its requests before; what is left is cut soon.
RUNNER: dict[str, typing.Any] = {'access_log': None, 'shutdown_timeout': 1.0}
Task = asyncio.Task[None]


class Application:
    """One instance.

    Parameters
    ----------
    options : settings.Settings
        Addresses and timing.
    plane : control_plane.ControlPlane
        Control tasks.
    gateway : gateway_factory.Gateway
        Data path.
    events : trace.TraceWriter
        Receives process_* and stop_requested.
    """

    def __init__(
        self,
        options: settings.Settings,
        plane: control_plane.ControlPlane,
        gateway: gateway_factory.Gateway,
        events: trace.TraceWriter,
    ) -> None:
        self.options = options
        self.plane = plane
        self.gateway = gateway
        self.events = events
        self.status = status.Status(plane)
        self.stop = asyncio.Event()
        self.announced_ready = False
        self.failed = False
        self.tasks: list[Task] = []
        self.runners: list[web.BaseRunner] = []
        self.sites: list[web.BaseSite] = []

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat to send."""
        plane = self.plane
        return messages.Heartbeat(
            plane.failure_domain,
            str(self.options.listen.peer_address),
            str(self.options.listen.forward_address),
            not self.status.ready(),
            plane.follower.store.digest(),
            self.status.stopping,
            plane.complete(),
            plane.follower.reachable,
            tuple(sorted(plane.supervisor.running)),
            plane.supervisor.lost_upstreams(),
        )

    async def run(self) -> int:
        """Run until a signal or a failed task; return the exit status."""
        self.events.emit(
            'process_started',
            role='entry',
            address=str(self.options.listen.caller_address),
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop, number)
        try:
            self.start_tasks()
            await self.listen()
            await self.stop.wait()
            unfinished = await self.drain()
            self.events.emit('process_stopped', unfinished=unfinished)
        finally:
            await self.close()
        return 1 if self.failed else 0

    def request_stop(self, number: signal.Signals) -> None:
        """Begin a planned stop; a second signal changes nothing."""
        if self.status.stopping:
            return
        self.status.stopping = True
        self.events.emit('stop_requested', signal=number.name)
        self.stop.set()

    def start_tasks(self) -> None:
        """Start the control tasks."""
        runs = {**self.plane.runs(), 'readiness': self.watch_readiness()}
        for name, work in runs.items():
            task = asyncio.create_task(work, name=name)
            task.add_done_callback(self.note_end)
            self.tasks.append(task)

    def note_end(self, task: Task) -> None:
        """Stop the process if a task has failed.

        An instance without one of its tasks would serve from old state.
        """
        if task.cancelled() or task.exception() is None:
            return
        loguru.logger.opt(exception=task.exception()).error(
            'task {} failed; the instance stops', task.get_name()
        )
        self.failed = True
        self.status.stopping = True
        self.stop.set()

    async def watch_readiness(self) -> None:
        """Emit `process_ready` at the first time that it is ready."""
        while self.status.ready():
            await asyncio.sleep(READY_CHECK_S)
        self.events.emit('process_ready')

    async def listen(self) -> None:
        """Open the caller, forward and admin ports."""
        values = metrics.Metrics()
        self.status.add_metrics(values)
        listen = self.options.listen
        application = admin.Admin(self.status, values).application()
        await self.serve(
            web.AppRunner(application, **RUNNER), listen.admin_address
        )
        await self.serve(
            web.ServerRunner(self.gateway.forward, **RUNNER),
            listen.forward_address,
        )
        await self.serve(
            web.ServerRunner(self.gateway.caller, **RUNNER),
            listen.caller_address,
        )

    async def serve(
        self,
        runner: web.BaseRunner,
        address: settings.Address,
    ) -> None:
        """Open one port."""
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(runner, address.host, address.port)
        await site.start()
        self.sites.append(site)

    async def drain(self) -> int:
        """Stop as planned; return the number of requests that were cut."""
        now = time.monotonic()
        end = now + self.options.stop.limit_ms / 1000
        self.plane.begin_stop()
        self.gateway.begin_stop()
        if not self.failed:
            await asyncio.sleep(self.options.stop.drain_wait_ms / 1000)
        # The admin port stays open, so that readiness still answers 503.
        for site in self.sites[1:]:
            await site.stop()
        unfinished = await self.gateway.finish_stop(end - RELEASE_S)
        await self.plane.supervisor.release_all(
            max(end, time.monotonic() + RELEASE_S)
        )
        return unfinished

    async def close(self) -> None:
        """Cancel all tasks and close the ports."""
        self.plane.supervisor.close()
        await cancel_all(self.tasks)
        for runner in self.runners:
            await runner.cleanup()


async def cancel_all(tasks: typing.Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks until they have ended.

    pynng returns a message that arrives together with a cancellation and
    drops the cancellation, so one attempt is not enough.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
