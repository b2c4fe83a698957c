"""Starts a deployment of separate processes on loopback addresses."""

from __future__ import annotations

import asyncio
import pathlib
import secrets
import tempfile
import types
import typing

import aiohttp
from knapweedhall_events import trace

from knapweedhall_bench import children
from knapweedhall_bench import instance_settings
from knapweedhall_bench import platform_control
from knapweedhall_bench import ports
from knapweedhall_bench import relays
from knapweedhall_bench import topology

START_LIMIT_S = 20.0
POLL_S = 0.05
CALL_TIMEOUT_S = 5.0
PLATFORM = 'platform'
RELAY = 'relay'
KEY_BYTES = 32


class StartFailed(RuntimeError):
    """A process ended or did not become ready in time."""


class Deployment:
    """Processes of the platform, the upstreams and the entry instances.

    Use it as an asynchronous context manager: leaving it ends every process
    that it started and removes its folder.

    Parameters
    ----------
    size : topology.Topology
        What to start.
    base_port : int
        First port of the block to use, 0 to pick a free block.
    list_lag_ms : float
        Lag of the platform's instance list.
    retention_s : float
        Retention of the platform's log.
    folder : pathlib.Path or None
        Where settings, traces and output go, and stay; None for a temporary
        folder.
    options : dict
        Settings of the entry instances, by name, as in
        `instance_settings.Options`.
    """

    def __init__(
        self,
        size: topology.Topology,
        base_port: int = 0,
        list_lag_ms: float = 500,
        retention_s: float = 3600,
        folder: pathlib.Path | None = None,
        **options: typing.Any,
    ) -> None:
        self.size = size
        self.list_lag_ms = list_lag_ms
        self.retention_s = retention_s
        self.temporary: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self.temporary = tempfile.TemporaryDirectory()
            folder = pathlib.Path(self.temporary.name)
        self.folder = folder
        key_hex = secrets.token_hex(KEY_BYTES)
        self.options = instance_settings.Options(key_hex, **options)
        self.block = ports.PortBlock(base_port)
        self.platform = topology.platform_addresses(size, self.block)
        self.entries = {
            node.name: node
            for node in topology.lay_out_entries(size, self.block)
        }
        self.upstreams = {
            node.name: node
            for node in topology.lay_out_upstreams(size, self.block)
        }
        self.links = relays.plan_links(
            size,
            [*self.entries.values(), *self.upstreams.values()],
            self.block,
        )
        self.relay_address = f'127.0.0.1:{self.block.take("127.0.0.1")}'
        self.children: dict[str, children.Child] = {}

    async def __aenter__(self) -> Deployment:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.events = trace.TraceWriter(
            'launcher', self.trace_path('launcher')
        )
        # A connection that is kept would use up one of an upstream's.
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(CALL_TIMEOUT_S),
            connector=aiohttp.TCPConnector(force_close=True),
        )
        self.control = platform_control.Control(self.session)
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        where: types.TracebackType | None,
    ) -> None:
        await self.close()

    async def start(self) -> None:
        """Start everything and wait until it is ready."""
        self.start_child(PLATFORM)
        await self.wait_ready(PLATFORM)
        if self.size.relays:
            self.start_child(RELAY)
            await self.wait_ready(RELAY)
            await self._call_relay('links', relays.describe(self.links))
        for name in [*self.upstreams, *self.entries]:
            self.start_child(name)
        for name in self.upstreams:
            await self.wait_ready(name)
            await self.register(name)
        # Instances find each other through the list, so an instance that
        # becomes ready only with its peers needs them there first.
        for name in self.entries:
            await self.register(name)
        for name in self.entries:
            await self.wait_ready(name)

    async def close(self) -> None:
        """End all processes, and give back ports and folder."""
        try:
            await self.close_processes()
        finally:
            await self.session.close()
            self.events.close()
            self.block.close()
            if self.temporary is not None:
                self.temporary.cleanup()

    async def close_processes(self) -> None:
        """End all processes, the entry instances before the others."""
        order = [*self.entries, *self.upstreams, RELAY, PLATFORM]
        try:
            for names in (order[: len(self.entries)], order):
                started = [
                    self.children[name]
                    for name in names
                    if name in self.children
                ]
                await asyncio.gather(*(child.terminate() for child in started))
        finally:
            for child in self.children.values():
                child.kill()

    def start_child(self, name: str) -> None:
        """Start a process, or start it again after its end."""
        child = self.children.get(name)
        if child is None:
            output = self.folder / f'{name}.log'
            child = children.Child(name, self._arguments(name), output)
            self.children[name] = child
        child.start()

    def trace_path(self, name: str) -> pathlib.Path:
        """Return the trace file of a process."""
        return self.folder / f'{name}.trace'

    def trace_paths(self) -> list[pathlib.Path]:
        """Return the trace files written so far, sorted."""
        return sorted(self.folder.glob('*.trace'))

    def _arguments(self, name: str) -> list[str]:
        tracing = ['--trace', str(self.trace_path(name))]
        if name == PLATFORM:
            listen = [
                word
                for address in self.platform.values()
                for word in ('--listen', address)
            ]
            return [
                'knapweedhall_standins.platform',
                *listen,
                '--list-lag-ms',
                str(self.list_lag_ms),
                '--retention-s',
                str(self.retention_s),
                *tracing,
            ]
        if name == RELAY:
            module = 'knapweedhall_standins.relay'
            return [module, '--listen', self.relay_address, *tracing]
        if name in self.upstreams:
            return _upstream_arguments(self.upstreams[name]) + tracing
        return self._entry_arguments(self.entries[name])

    def _entry_arguments(self, node: topology.EntryNode) -> list[str]:
        path = self.folder / f'{node.name}.ini'
        instance_settings.write_settings(
            path,
            node,
            self.platform[node.domain],
            self.trace_path(node.name),
            self.options,
        )
        return ['knapweedhall_entry.main', '--config', str(path)]

    def _ready_url(self, name: str) -> str:
        if name == PLATFORM:
            return f'http://{self.platform[0]}/faults'
        if name == RELAY:
            return f'http://{self.relay_address}/cuts'
        if name in self.upstreams:
            address = self.upstreams[name].address
            return f'http://{address}/knapweedhall/health'
        address = self.entries[name].admin_address
        return f'http://{address}/knapweedhall/ready'

    async def wait_ready(
        self, name: str, limit_s: float = START_LIMIT_S
    ) -> None:
        """Wait until a process says that it is ready.

        Raises
        ------
        StartFailed
            If it ends or is not ready in time; the message has its output.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        child, url = self.children[name], self._ready_url(name)
        while not await self.control.is_up(url):
            if not child.is_running() or loop.time() > deadline:
                state = 'not ready' if child.is_running() else 'ended'
                raise StartFailed(
                    f'{name} {state} at {url}; its output ends with:\n'
                    f'{child.last_lines()}'
                )
            await asyncio.sleep(POLL_S)

    def _row(self, name: str, state: str) -> platform_control.Row:
        via = relays.addresses_by_domain(self.links, name)
        if name in self.upstreams:
            upstream = self.upstreams[name]
            return {
                'kind': 'upstream',
                'service': upstream.service,
                'failure_domain': topology.domain_name(upstream.domain),
                'address': upstream.address,
                'state': state,
                'relays': via,
            }
        entry = self.entries[name]
        return {
            'kind': 'entry',
            'failure_domain': topology.domain_name(entry.domain),
            'address': entry.caller_address,
            'forward_address': entry.forward_address,
            'admin_address': entry.admin_address,
            'peer_address': entry.peer_address,
            'state': state,
            'relays': via,
        }

    async def register(self, name: str, state: str = 'live') -> None:
        """Put a process on the platform's list, or change its state."""
        url = f'http://{self.platform[0]}/instances/{name}'
        await self.control.send('PUT', url, self._row(name, state))

    async def unregister(self, name: str) -> None:
        """Take a process off the platform's list."""
        url = f'http://{self.platform[0]}/instances/{name}'
        await self.control.send('DELETE', url)

    def _note(self, fault: str) -> None:
        # The trace checker needs to know which process could not write.
        self.events.emit('fault_set', fault=fault)

    def kill(self, name: str) -> None:
        """End a process at once (SIGKILL)."""
        self._note(f'{name} killed')
        self.children[name].kill()

    def stop(self, name: str) -> None:
        """Freeze a process (SIGSTOP)."""
        self._note(f'{name} stopped')
        self.children[name].stop()

    def resume(self, name: str) -> None:
        """Let a frozen process run again (SIGCONT)."""
        self._note(f'{name} resumed')
        self.children[name].resume()

    async def terminate(self, name: str) -> int | None:
        """Ask a process for a planned end (SIGTERM); return its status."""
        self._note(f'{name} asked to end')
        return await self.children[name].terminate()

    async def set_platform_faults(self, **faults: typing.Any) -> None:
        """Replace the platform's faults."""
        url = f'http://{self.platform[0]}/faults'
        await self.control.send('PUT', url, faults)

    async def set_upstream_faults(
        self, name: str, **faults: typing.Any
    ) -> None:
        """Start faults at an upstream."""
        address = self.upstreams[name].address
        url = f'http://{address}/knapweedhall/faults'
        await self.control.send('PUT', url, faults)

    async def upstream_state(self, name: str) -> dict[str, typing.Any]:
        """Return the present state of an upstream."""
        address = self.upstreams[name].address
        url = f'http://{address}/knapweedhall/state'
        return dict(await self.control.send('GET', url))

    async def cut_links(self, *pairs: tuple[int, int]) -> None:
        """Cut exactly these pairs of failure domains; none restores all."""
        await self._call_relay('cuts', {'pairs': pairs})

    async def _call_relay(self, call: str, value: typing.Any) -> None:
        url = f'http://{self.relay_address}/{call}'
        await self.control.send('PUT', url, value)


def _upstream_arguments(node: topology.UpstreamNode) -> list[str]:
    return [
        'knapweedhall_standins.upstream',
        '--name',
        node.name,
        '--service',
        node.service,
        '--failure-domain',
        topology.domain_name(node.domain),
        '--listen',
        node.address,
        *node.options,
    ]
