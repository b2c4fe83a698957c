"""Starts a store, upstreams and routers as processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import tempfile
import typing

import aiohttp
import msgspec

from knapweedhall_bench import children
from knapweedhall_bench import ports
from knapweedhall_standins import faults
from knapweedhall_standins import proxy

START_LIMIT_S = 20.0
POLL_S = 0.1
CALL_TIMEOUT_S = 2.0
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
metrics_port = {figures}
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
    """The deployment does not serve; the message says what is missing."""


class Spec(typing.NamedTuple):
    """Size of a deployment.

    Attributes
    ----------
    routers : int
        Instances of the router.
    upstreams : dict of str to int
        Upstreams by service.
    divided : tuple of str
        Services whose keys have owners.
    router_module : str
        Module that runs as the router, and its first arguments.
    """

    routers: int
    upstreams: dict[str, int]
    divided: tuple[str, ...]
    router_module: str = 'knapweedhall_router'


class Node:
    """One process and the links to it.

    Attributes
    ----------
    child : children.Child
        The process.
    ip, port : str and int
        Where it takes requests.
    link : proxy.Link
        Link that its faults are set on: of a router to the store, of an
        upstream to all instances.
    """

    def __init__(
        self, child: children.Child, ip: str, port: int, link: proxy.Link
    ) -> None:
        self.child = child
        self.ip = ip
        self.port = port
        self.link = link

    @property
    def address(self) -> str:
        """Where it takes requests, as IP:PORT."""
        return f'{self.ip}:{self.port}'


class Deployment:
    """All processes of one run; ends them on exit."""

    def __init__(self, spec: Spec, folder: pathlib.Path | None = None) -> None:
        self.spec = spec
        self.stack = contextlib.AsyncExitStack()
        self.folder = folder
        self.routers: dict[str, Node] = {}
        self.upstreams: dict[str, Node] = {}
        self.services: dict[str, str] = {}
        self.next_upstream = 1

    async def __aenter__(self) -> typing.Self:
        """Start the store, the upstreams and the routers."""
        if self.folder is None:
            self.folder = pathlib.Path(
                self.stack.enter_context(tempfile.TemporaryDirectory())
            )
        self.folder.mkdir(parents=True, exist_ok=True)
        self.ports = ports.PortBlock()
        self.stack.callback(self.ports.close)
        timeout = aiohttp.ClientTimeout(CALL_TIMEOUT_S)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        self.store = self._start_store()
        await self._until_store_answers()
        for service, count in self.spec.upstreams.items():
            for _ in range(count):
                await self.add_upstream(service)
        for number in range(1, self.spec.routers + 1):
            await self._start_router(number)
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all processes."""
        nodes = [*self.routers.values(), *self.upstreams.values(), self.store]
        for node in nodes:
            node.child.kill()
            node.link.close()
        await self.stack.aclose()

    def _child(self, name: str, arguments: list[str]) -> children.Child:
        assert self.folder is not None
        child = children.Child(name, arguments, self.folder / f'{name}.log')
        child.start()
        return child

    def _start_store(self) -> Node:
        ip = '127.0.0.1'
        port = self.ports.take(ip)
        child = self._child(
            'store', ['knapweedhall_standins.store_process', ip, str(port)]
        )
        return Node(child, ip, port, proxy.Link((ip, port)))

    async def _until_store_answers(self) -> None:
        deadline = asyncio.get_running_loop().time() + START_LIMIT_S
        while True:
            try:
                await self.set_faults(faults.StoreFaults())
                return
            except (aiohttp.ClientError, TimeoutError) as error:
                if asyncio.get_running_loop().time() > deadline:
                    raise StartFailed(f'no store: {error!r}') from error
            await asyncio.sleep(POLL_S)

    async def add_upstream(self, service: str, name: str = '') -> Node:
        """Start an upstream; with a name it returns as that one."""
        if not name:
            name = f'{service}-{self.next_upstream}'
            self.next_upstream += 1
        known = self.upstreams.get(name)
        if known is None:
            ip = '127.0.0.1'
            port, outside = self.ports.take(ip), self.ports.take(ip)
            link = proxy.Link((ip, port))
            await link.listen(ip, outside)
        else:
            ip, port, link = known.ip, known.link.target[1], known.link
            outside = known.port
        arguments = ['knapweedhall_standins.upstream_process', name, service]
        arguments += [ip, str(port), '--store', self.store.address]
        arguments += ['--advertise', f'{ip}:{outside}']
        if service in self.spec.divided:
            arguments.append('--divided')
        node = Node(self._child(name, arguments), ip, outside, link)
        self.upstreams[name] = node
        self.services[name] = service
        return node

    async def _start_router(self, number: int) -> None:
        name, ip = f'router-{number}', f'127.0.1.{number}'
        link = proxy.Link((self.store.ip, self.store.port))
        outside = self.ports.take(ip)
        await link.listen(ip, outside)
        front, ready, peer, figures = (self.ports.take(ip) for _ in range(4))
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
                figures=figures,
                store=f'{ip}:{outside}',
            )
        )
        child = self._child(
            name,
            [*self.spec.router_module.split(), '--settings', str(path)],
        )
        self.routers[name] = Node(child, ip, front, link)

    async def set_faults(self, wrong: faults.StoreFaults) -> None:
        """Set what the store does wrong."""
        await self._put('faults', msgspec.json.encode(wrong))

    async def forget(self) -> None:
        """Let the store delete its history."""
        await self._put('forget', b'')

    async def _put(self, what: str, raw: bytes) -> None:
        url = f'http://{self.store.address}/standin/{what}'
        async with self.session.put(url, data=raw) as answer:
            answer.raise_for_status()
