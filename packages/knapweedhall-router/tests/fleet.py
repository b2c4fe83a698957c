"""A fleet of routers, upstreams and a store in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import time
import typing

import aiohttp

from knapweedhall_router import application
from knapweedhall_router import settings
from knapweedhall_routing import model
from knapweedhall_standins import store_process
from knapweedhall_standins import upstream

HOST = 'shop.example'
OPERATOR_TOPIC = 'keyed.op'
ROUTE_COLUMNS = [
    'name',
    'host',
    'prefix',
    'kind',
    'timeoutS',
    'targetLatencyS',
    'priority',
    'weightedClusters',
    'maxAttempts',
    'service',
    'public',
]
WORKSPACE_COLUMNS = ['name', 'apiKeys', 'priority', 'ratePerS', 'burst']
START_TIMEOUT_S = 8.0
_ids = itertools.count(1)


class Response(typing.NamedTuple):
    """Response to a caller.

    Attributes
    ----------
    status, body, signature, retry_after
        Status, body and headers of the response.
    sent_at : float
        When the request was sent, monotonic seconds.
    """

    status: int
    body: bytes
    signature: str
    retry_after: str
    sent_at: float


def free_ports(host: str, count: int) -> list[int]:
    """Return different ports that nobody listens on.

    All are bound at the same time. When they were chosen one after the other,
    two listeners of a router once got the same port.
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


def source_address(router_settings: settings.Settings) -> str:
    """Return the address from which a router calls the store."""
    return router_settings.address.replace('127.0.', '127.1.', 1)


class Fleet:
    """Starts and stops a store, upstreams and routers."""

    def __init__(self) -> None:
        # Upstreams with processes of their own can register in it too.
        self.store = store_process.StoreProcess()
        self.upstreams: list[upstream.FakeUpstream] = []
        self.routers: list[application.Application] = []
        self.tasks: dict[application.Application, asyncio.Task[None]] = {}
        self.version = 1
        self.rng = random.Random(1)

    async def start(
        self, routers: int, views_upstreams: int = 3, orders_upstreams: int = 2
    ) -> None:
        """Start the store, upstreams of two services, and routers."""
        await self.store.start()
        self.session = aiohttp.ClientSession()
        for _ in range(views_upstreams):
            await self.add_upstream('views', True)
        for _ in range(orders_upstreams):
            await self.add_upstream('orders', False)
        self.configure()
        for _ in range(routers):
            self.add_router()
        await self.wait_until(self.is_serving)

    async def stop(self) -> None:
        """Stop everything."""
        for router in list(self.tasks):
            await self.kill(router)
        for fake_upstream in self.upstreams:
            await fake_upstream.crash()
        await self.session.close()
        await self.store.stop()

    async def add_upstream(
        self, service: str, divided: bool, work_s: float = 0.01
    ) -> upstream.FakeUpstream:
        """Start an upstream."""
        fake_upstream = upstream.FakeUpstream(
            self.store, service, divided, work_s
        )
        self.upstreams.append(fake_upstream)
        await fake_upstream.start()
        return fake_upstream

    def configure(
        self,
        routes: typing.Sequence[list[typing.Any]] | None = None,
        workspaces: typing.Sequence[list[typing.Any]] | None = None,
    ) -> None:
        """Write a new version of the configuration.

        Parameters
        ----------
        routes, workspaces : sequence of list or None
            Rows of their tables. None for the default routes, or if callers
            need no key.
        """
        self.version += 2
        if routes is None:
            routes = [
                self.route('view', '/view/', 'safe', 'views'),
                self.route('order', '/order/', 'unsafe', 'orders'),
            ]
        self.store.put(
            OPERATOR_TOPIC,
            'config',
            {
                'version': f'r{self.version}',
                'routes': {'columns': ROUTE_COLUMNS, 'rows': list(routes)},
                'services': {
                    'columns': [
                        'name',
                        'maxConnections',
                        'coldPerS',
                        'sharded',
                    ],
                    'rows': [
                        ['views', 130, 9.1, True],
                        ['orders', 130, 9.1, None],
                    ],
                },
                'limits': {},
                'tenants': (
                    None
                    if workspaces is None
                    else {
                        'columns': WORKSPACE_COLUMNS,
                        'rows': list(workspaces),
                    }
                ),
            },
        )

    def route(
        self, name: str, prefix: str, kind: str, service: str
    ) -> list[typing.Any]:
        """Return a route of the configuration."""
        return [name, HOST, prefix, kind, 1.0, 0.4, 1, None, 2, service]

    def add_router(self) -> application.Application:
        """Start a router on an address of its own."""
        return self.start_router(self.new_settings())

    def start_router(
        self, router_settings: settings.Settings
    ) -> application.Application:
        """Start a router."""
        router = application.Application(router_settings)
        self.routers.append(router)
        self.tasks[router] = asyncio.create_task(self._serve(router))
        return router

    def new_settings(self) -> settings.Settings:
        """Return settings with an unused address and unused ports."""
        number = next(_ids)
        address = f'127.0.{1 + number // 250}.{1 + number % 250}'
        front, ready, peer, metrics = free_ports(address, 4)
        return settings.Settings(
            name=f'router-{number}',
            failure_domain='a',
            address=address,
            descriptors=1000,
            memory_mb=300,
            cpu_share=1.0,
            cores=1.0,
            link_mbps=1000.0,
            front=model.Address(address, front),
            ready=model.Address(address, ready),
            peer_port=peer,
            metrics_port=metrics,
            store=self.store.address,
            least_membership_s=1.0,
            source='platform',
            retry_ratio=0.2,
            retry_window_s=10.0,
            retry_extra=62.0,
            drain_s=2.0,
            grace_s=6.0,
            response_mb=16.0,
            upstream_limits=settings.LIMITS_ENFORCED,
        )

    async def _serve(self, router: application.Application) -> None:
        # The store distinguishes instances by their source addresses. A
        # connection from the router's listening address might take the port
        # of one of its listeners.
        connector = aiohttp.TCPConnector(
            local_addr=(source_address(router.settings), 0)
        )
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            await router.serve(session)

    async def kill(self, router: application.Application) -> None:
        """Cancel a router without an orderly stop."""
        task = self.tasks.pop(router)
        if router in self.routers:
            self.routers.remove(router)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop_router(self, router: application.Application) -> None:
        """Stop a router in order, and wait until it has left the group."""
        self.routers.remove(router)
        router.stop.set()
        assert router.member is not None
        while router.member.coordinator is not None:
            await asyncio.sleep(0.01)

    def is_serving(self) -> bool:
        """Return whether all routers know an owner of each key."""
        return all(
            router.state.is_ready()
            and all(
                owned.upstream
                for owned in router.state.owner_table('views').owned_ranges
            )
            for router in self.routers
        )

    async def wait_until(
        self,
        condition: typing.Callable[[], bool],
        seconds: float = START_TIMEOUT_S,
    ) -> None:
        """Wait until a condition holds.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        async with asyncio.timeout(seconds):
            while not condition():
                for task in self.tasks.values():
                    if task.done() and not task.cancelled():
                        # Raises the error of a router that has failed.
                        task.result()
                await asyncio.sleep(0.02)

    async def send_request(
        self,
        router: application.Application,
        path: str = '/view/x',
        key: int | None = None,
        body: bytes | None = None,
        timeout_ms: int = 1000,
        fields: typing.Mapping[str, str] | None = None,
    ) -> Response:
        """Send a request as a caller and return the response.

        Parameters
        ----------
        router : application.Application
            Router that gets it.
        path : str
            Path and query.
        key : int or None
            Key, for a divided service.
        body : bytes or None
            Body of a POST request; None for a GET request.
        timeout_ms : int
            Time limit that the caller states.
        fields : mapping of str to str or None
            Further header fields.
        """
        headers = {
            'Host': HOST,
            'X-Attempt-Id': f'q{next(_ids)}',
            'X-Deadline-Ms': str(timeout_ms),
            **(fields or {}),
        }
        if key is not None:
            headers['X-Shard-Key'] = str(key)
        method = 'GET' if body is None else 'POST'
        url = f'http://{router.settings.front}{path}'
        sent_at = time.monotonic()
        async with self.session.request(
            method, url, headers=headers, data=body
        ) as response:
            return Response(
                response.status,
                await response.read(),
                response.headers.get('X-Response-Signature', ''),
                response.headers.get('Retry-After', ''),
                sent_at,
            )

    async def send_random_requests(self, seconds: float) -> list[Response]:
        """Send requests for random keys to random routers for a time."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        requests = []
        while loop.time() < end_at:
            router = self.rng.choice(self.routers)
            key = self.rng.randrange(model.KEY_COUNT)
            requests.append(
                asyncio.create_task(self.send_request(router, '/view/x', key))
            )
            await asyncio.sleep(0.01)
        return await asyncio.gather(*requests)
