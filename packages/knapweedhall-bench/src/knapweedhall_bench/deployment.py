"""Starts a fake store, fake upstreams and routers as local processes."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import re
import tempfile
import typing

import aiohttp
import msgspec

from knapweedhall_bench import children
from knapweedhall_bench import ports
from knapweedhall_standins import faults
from knapweedhall_standins import proxy
from knapweedhall_standins import upstream

START_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.1
CALL_TIMEOUT_S = 2.0
# The same for changes of the store's faults. The soak's own process stood
# still for up to 12 s on a busy machine.
CONTROL_TIMEOUT_S = 20.0
SETTINGS = """[instance]
name = {name}
failure_domain = {domain}
address = {ip}
descriptors = 1000
memory_mb = 300
cpu_share = 1
cores = 1
link_mbps = 1000
[listen]
front = {ip}:{front}
ready = {ip}:{ready}
peer_port = {peer}
metrics_port = {metrics}
[store]
address = {store}
least_membership_s = 1
source = records
[limits]
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 62
drain_s = 2
grace_s = 6
"""


class StartFailed(RuntimeError):
    """The deployment did not begin to serve; the message gives the cause."""


class Spec(typing.NamedTuple):
    """Size of a deployment.

    Attributes
    ----------
    routers : int
        Number of instances of the router.
    upstreams : dict of str to int
        Number of upstreams by service.
    divided : tuple of str
        Services whose keys have owners.
    router_module : str
        Module that runs as the router; arguments for it may follow.
    """

    routers: int
    upstreams: dict[str, int]
    divided: tuple[str, ...]
    router_module: str = 'knapweedhall_router'


class Node:
    """A process and the proxied link whose faults affect it.

    Attributes
    ----------
    child : children.Child
        The process.
    ip, port : str and int
        Address at which it accepts requests.
    link : proxy.Link
        Of a router, its connections to the store; of an upstream, the
        connections from all routers. The store's is not used.
    front : proxy.Link
        Of a router, another way for callers to it; not used otherwise.
    front_port : int
        Port of that link.
    """

    def __init__(
        self, child: children.Child, ip: str, port: int, link: proxy.Link
    ) -> None:
        self.front = proxy.Link((ip, port))
        self.front_port = 0
        self.child = child
        self.ip = ip
        self.port = port
        self.link = link

    @property
    def address(self) -> str:
        """Address at which it accepts requests, as IP:PORT."""
        return f'{self.ip}:{self.port}'


class Deployment:
    """All processes of one run; they are killed on exit.

    Attributes
    ----------
    folder : pathlib.Path or None
        Folder of settings and logs; if it is None, a temporary one is used.
    routers, upstreams : dict of str to Node
        Processes by name; also upstreams that have ended.
    upstream_services : dict of str to str
        Service of each upstream, by name of the upstream.
    next_upstream_number : int
        Number in the name of the next new upstream.
    """

    def __init__(self, spec: Spec, folder: pathlib.Path | None = None) -> None:
        self.spec = spec
        self.exit_stack = contextlib.AsyncExitStack()
        self.folder = folder
        self.routers: dict[str, Node] = {}
        self.upstreams: dict[str, Node] = {}
        self.upstream_services: dict[str, str] = {}
        self.next_upstream_number = 1

    async def __aenter__(self) -> typing.Self:
        """Start the store, the upstreams and the routers."""
        if self.folder is None:
            self.folder = pathlib.Path(
                self.exit_stack.enter_context(tempfile.TemporaryDirectory())
            )
        self.folder.mkdir(parents=True, exist_ok=True)
        self.ports = ports.PortBlock()
        self.exit_stack.callback(self.ports.close)
        timeout = aiohttp.ClientTimeout(CALL_TIMEOUT_S)
        self.session = await self.exit_stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        self.store = self._start_store()
        await self._wait_for_store()
        for service, count in self.spec.upstreams.items():
            for _ in range(count):
                await self.add_upstream(service)
        for number in range(1, self.spec.routers + 1):
            await self._start_router(number)
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill all processes."""
        nodes = [*self.routers.values(), *self.upstreams.values(), self.store]
        for node in nodes:
            node.child.kill()
            node.link.close()
            node.front.close()
        await self.exit_stack.aclose()

    def _start_child(self, name: str, arguments: list[str]) -> children.Child:
        assert self.folder is not None
        child = children.Child(name, arguments, self.folder / f'{name}.log')
        child.start()
        return child

    def _start_store(self) -> Node:
        ip = '127.0.0.1'
        port = self.ports.take(ip)
        child = self._start_child(
            'store', ['knapweedhall_standins.store_process', ip, str(port)]
        )
        return Node(child, ip, port, proxy.Link((ip, port)))

    async def _wait_for_store(self) -> None:
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while True:
            try:
                await self.set_store_faults(faults.StoreFaults())
                return
            except (aiohttp.ClientError, TimeoutError) as error:
                if asyncio.get_running_loop().time() > deadline:
                    raise StartFailed(
                        f'the store does not answer: {error!r}'
                    ) from error
            await asyncio.sleep(POLL_PERIOD_S)

    async def add_upstream(self, service: str, name: str = '') -> Node:
        """Start a new upstream, or restart the one with this name."""
        if not name:
            name = f'{service}-{self.next_upstream_number}'
            self.next_upstream_number += 1
        old = self.upstreams.get(name)
        if old is None:
            ip = '127.0.0.1'
            port, link_port = self.ports.take(ip), self.ports.take(ip)
            link = proxy.Link((ip, port))
            await link.listen(ip, link_port)
        else:
            ip, port, link = old.ip, old.link.target[1], old.link
            link_port = old.port
        arguments = ['knapweedhall_standins.upstream_process', name, service]
        arguments += [ip, str(port), '--store', self.store.address]
        arguments += ['--advertise', f'{ip}:{link_port}']
        if service in self.spec.divided:
            arguments.append('--divided')
        node = Node(self._start_child(name, arguments), ip, link_port, link)
        self.upstreams[name] = node
        self.upstream_services[name] = service
        return node

    async def _start_router(self, number: int) -> None:
        name, ip = f'router-{number}', f'127.0.1.{number}'
        link = proxy.Link((self.store.ip, self.store.port))
        link_port = self.ports.take(ip)
        await link.listen(ip, link_port)
        front, ready, peer, metrics = (self.ports.take(ip) for _ in range(4))
        assert self.folder is not None
        path = self.folder / f'{name}.ini'
        path.write_text(
            SETTINGS.format(
                name=name,
                domain='ab'[number % 2],
                ip=ip,
                front=front,
                ready=ready,
                peer=peer,
                metrics=metrics,
                store=f'{ip}:{link_port}',
            )
        )
        child = self._start_child(
            name,
            [*self.spec.router_module.split(), '--settings', str(path)],
        )
        node = Node(child, ip, front, link)
        node.front_port = self.ports.take(ip)
        await node.front.listen(ip, node.front_port)
        self.routers[name] = node

    def set_retry_extra(self, name: str, retry_extra: int) -> None:
        """Change a setting of a router, which it reads at a reload.

        The settings file becomes a link to a file for each value. To replace
        a file waits for the disk, for 1 s and more if that is busy, and with
        it the event loop of all callers and links.
        """
        assert self.folder is not None
        path = self.folder / f'{name}.ini'
        with_value = self.folder / f'{name}-{retry_extra}.ini'
        if not with_value.exists():
            text = re.sub(
                '(?m)^retry_extra = .*',
                f'retry_extra = {retry_extra}',
                path.read_text(),
            )
            with_value.write_text(text)
        # Renamed, so that a router that starts meanwhile finds a file.
        link = path.with_suffix('.new')
        link.symlink_to(with_value.name)
        link.replace(path)

    async def set_store_faults(self, store_faults: faults.StoreFaults) -> None:
        """Replace the faults of the store."""
        await self._put('faults', msgspec.json.encode(store_faults))

    async def delete_store_history(self) -> None:
        """Make the store delete its history."""
        await self._put('forget', b'')

    async def restore_store(self, age_s: float) -> None:
        """Return the store to a copy of this age."""
        await self._put(f'restore?age={age_s:.3f}', b'')

    async def set_trouble(self, name: str, trouble: dict[str, object]) -> None:
        """Replace what is wrong with an upstream's responses, if it runs."""
        host, port = self.upstreams[name].link.target
        url = f'http://{host}:{port}{upstream.TROUBLE_PATH}'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.put(url, json=trouble) as response:
                await response.read()

    async def _put(self, resource: str, raw: bytes) -> None:
        url = f'http://{self.store.address}/standin/{resource}'
        timeout = aiohttp.ClientTimeout(CONTROL_TIMEOUT_S)
        async with self.session.put(
            url, data=raw, timeout=timeout
        ) as response:
            response.raise_for_status()
