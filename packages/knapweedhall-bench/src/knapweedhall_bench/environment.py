"""Environment of a deployment: its callers and its operator."""

from __future__ import annotations

import asyncio
import math
import pathlib
import random
import time
import typing

import aiohttp

from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_bench import callers
from knapweedhall_bench import deployment
from knapweedhall_ctl import draft
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import publish
from knapweedhall_router.links import coordinator_link

# Names of the service whose keys have owners, and of the one without keys.
DIVIDED_SERVICE = 'ledger'
CHOICE_SERVICE = 'orders'
# A workspace whose key stays valid, and one whose key is withdrawn.
WORKSPACE = 'acme'
WITHDRAWN_WORKSPACE = 'former'
SERVE_TIMEOUT_S = 20.0
PUBLISH_TIMEOUT_S = 30.0
COORDINATOR_QUERY_TIMEOUT_S = 1.0
PROBE_PAUSE_S = 0.2
# Number of keys, evenly spaced, that are requested to check whether all keys
# are served.
PROBED_KEYS = 32
# Routers and hosts that are probed at the same time.
MAX_PROBES = 60
# Limit of a service's connections to its upstreams, for all routers together:
# a number for each router, but not less than the first. Each has its share,
# and is probed for all hosts at once.
MIN_CONNECTIONS = 130
CONNECTIONS_BY_ROUTER = 26


class Environment:
    """Sends requests to a deployment and publishes records for it.

    Attributes
    ----------
    hosts : list of str
        Hosts that callers use; `add_host` extends it.
    confirmed : dict of str to (float, float)
        Begin and end of the time in which the store has the record of each
        added host, seconds of the monotonic clock.
    withdrawn : (float, float)
        Begin and end of the time in which the store has the record that
        withdraws a key, seconds of the monotonic clock; empty before.
    """

    def __init__(
        self, running: deployment.Deployment, rng: random.Random
    ) -> None:
        self.deployment = running
        self.rng = rng
        self.hosts = [DIVIDED_SERVICE, CHOICE_SERVICE]
        self.confirmed: dict[str, tuple[float, float]] = {}
        self.withdrawn = (math.inf, math.inf)
        self.callers = callers.Callers(self.targets, rng, (DIVIDED_SERVICE,))
        self.author = draft.Author('operator', time.time_ns() // 1000)
        self.published_count = 0
        self.publish_lock = asyncio.Lock()

    def targets(self) -> list[callers.Target]:
        """Return each router with each host.

        A router is reached by the link in front of it while that is limited.
        """
        return [
            callers.Target(
                name,
                (
                    node.address
                    if math.isinf(node.front.bytes_per_s)
                    else f'{node.ip}:{node.front_port}'
                ),
                host,
            )
            for name, node in self.deployment.routers.items()
            for host in self.hosts
        ]

    @property
    def folder(self) -> pathlib.Path:
        """Folder with the logs."""
        assert self.deployment.folder is not None
        return self.deployment.folder

    async def configure(self) -> None:
        """Publish the services."""
        await self.publish_service(DIVIDED_SERVICE, 'divided')
        await self.publish_service(CHOICE_SERVICE, 'choice')

    async def publish_service(
        self, name: str, mode: str, hosts: typing.Sequence[str] = ()
    ) -> bool:
        """Publish a service as an operator does.

        Returns
        -------
        bool
            Whether the record is in force; False also if the outcome is
            unknown, as it may be during a fault of the store.
        """
        body: draft.Draft = {
            'mode': mode,
            'limits': {
                'connections': max(
                    MIN_CONNECTIONS,
                    CONNECTIONS_BY_ROUTER * len(self.deployment.routers),
                )
            },
            'default_timeout_ms': callers.SLOW_TIMEOUT_MS,
            'objective_ms': 500,
        }
        if hosts:
            body['hosts'] = list(hosts)
        return await self._publish('service', name, body)

    async def use_workspaces(self) -> None:
        """Publish workspaces, and let callers use their keys."""
        for name, key in (
            (WORKSPACE, callers.KEY),
            (WITHDRAWN_WORKSPACE, callers.WITHDRAWN_KEY),
        ):
            await self._publish('workspace', name, {'keys': [key]})
        self.callers.have_keys = True

    async def withdraw_key(self) -> None:
        """Publish a workspace without its key."""
        if await self._publish('workspace', WITHDRAWN_WORKSPACE, {}):
            self.withdrawn = (time.monotonic(), math.inf)

    async def _publish(self, kind: str, name: str, body: draft.Draft) -> bool:
        """Publish a record; return whether it is known to be in force."""
        fields = {'kind': kind, 'schema': 2, 'name': name, 'body': body}
        self.published_count += 1
        deadline = asyncio.get_running_loop().time() + PUBLISH_TIMEOUT_S
        report = await publish.publish(
            self._client(),
            fields,
            self.author._replace(number=self.published_count),
            deadline,
        )
        return report.exit_code == exit_codes.OK

    async def add_host(self, host: str) -> None:
        """Publish one more host of the service without keys."""
        # Concurrent calls would extend the same hosts, and each record would
        # remove the other call's host.
        async with self.publish_lock:
            hosts = [name for name in self.hosts if name != DIVIDED_SERVICE]
            if await self.publish_service(
                CHOICE_SERVICE, 'choice', [*hosts, host]
            ):
                self.hosts.append(host)
                # The record has the hosts of records that a restore lost.
                for name in self.hosts[2:]:
                    if self.confirmed.get(name, (0.0, 0.0))[1] < math.inf:
                        self.confirmed[name] = (time.monotonic(), math.inf)

    def end_confirmations(self) -> None:
        """Note that the store may lose the records of the added hosts."""
        now = time.monotonic()
        for host, (begin, end) in self.confirmed.items():
            self.confirmed[host] = (begin, min(end, now))
        begin, end = self.withdrawn
        self.withdrawn = (begin, min(end, now))

    async def find_coordinator(self) -> str:
        """Return the name of the coordinator; '' if it is unknown."""
        deadline = (
            asyncio.get_running_loop().time() + COORDINATOR_QUERY_TIMEOUT_S
        )
        member_id = await self._client().find_holder(
            coordinator_link.COORDINATOR_GROUP,
            coordinator_link.TERM_TOPIC,
            deadline,
        )
        if isinstance(member_id, outcomes.Unavailable):
            return ''
        return member_id.partition('@')[0]

    def _client(self) -> store.StoreClient:
        address = self.deployment.store.address
        return store.StoreClient(self.deployment.session, address)

    async def wait_until_served(
        self, timeout_s: float = SERVE_TIMEOUT_S
    ) -> str:
        """Wait until each router serves all probed keys.

        Returns
        -------
        str
            Which probes still failed after the timeout; '' if all are served.
        """
        deadline = time.monotonic() + timeout_s
        at_once = asyncio.Semaphore(MAX_PROBES)
        # Probes wait as long as other callers, or they would give up requests
        # that this process was slow to send.
        async with self.callers.open_session() as session:
            while True:
                probes = [
                    self._probe(session, target, at_once)
                    for target in self.targets()
                ]
                failed = [
                    result
                    for results in await asyncio.gather(*probes)
                    for result in results
                ]
                if not failed:
                    return ''
                if time.monotonic() > deadline:
                    return f'{len(failed)} probes failed, last: {failed[-1]}'
                await asyncio.sleep(PROBE_PAUSE_S)

    async def _probe(
        self,
        session: aiohttp.ClientSession,
        target: callers.Target,
        at_once: asyncio.Semaphore,
    ) -> list[callers.Result]:
        """Request the probed keys in turn; return the failed requests.

        Concurrent requests would exceed the upstreams' queues.
        """
        async with at_once:
            if target.host != DIVIDED_SERVICE:
                results = [await self.callers.send(session, target)]
            else:
                results = [
                    await self.callers.send(session, target, key)
                    for key in range(
                        0, callers.KEY_COUNT, callers.KEY_COUNT // PROBED_KEYS
                    )
                ]
        return [result for result in results if result.status != 200]
