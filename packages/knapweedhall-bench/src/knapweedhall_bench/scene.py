"""A deployment with its services, callers and operator."""

from __future__ import annotations

import asyncio
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
from knapweedhall_router import coordinator_link

DIVIDED = 'ledger'
CHOICE = 'orders'
SERVE_LIMIT_S = 20.0
PUBLISH_LIMIT_S = 30.0
ASK_LIMIT_S = 1.0
PROBE_PAUSE_S = 0.2
# Keys that are asked for to see whether all are served.
PROBES = 32
CONNECTIONS = 130


class Scene:
    """What a run acts on.

    Attributes
    ----------
    hosts : list of str
        Hosts that callers use; grows with the operator's records.
    """

    def __init__(
        self, running: deployment.Deployment, rng: random.Random
    ) -> None:
        self.running = running
        self.rng = rng
        self.hosts = [DIVIDED, CHOICE]
        self.callers = callers.Callers(self.targets, rng, (DIVIDED,))
        self.author = draft.Author('operator', time.time_ns() // 1000)
        self.published = 0
        self.publishing = asyncio.Lock()

    def targets(self) -> list[callers.Target]:
        """Return where callers may send requests."""
        return [
            callers.Target(name, node.address, host)
            for name, node in self.running.routers.items()
            for host in self.hosts
        ]

    @property
    def folder(self) -> pathlib.Path:
        """Folder with the logs."""
        assert self.running.folder is not None
        return self.running.folder

    async def configure(self) -> None:
        """Publish the services."""
        await self.publish_service(DIVIDED, 'divided')
        await self.publish_service(CHOICE, 'choice')

    async def publish_service(
        self, name: str, mode: str, hosts: typing.Sequence[str] = ()
    ) -> bool:
        """Publish a service as an operator does; return whether it holds.

        Its answer may be unknown while the store is harmed.
        """
        body: draft.Draft = {
            'mode': mode,
            'limits': {'connections': CONNECTIONS},
            'default_timeout_ms': 2000,
            'objective_ms': 500,
        }
        if hosts:
            body['hosts'] = list(hosts)
        fields = {'kind': 'service', 'schema': 2, 'name': name, 'body': body}
        self.published += 1
        deadline = asyncio.get_running_loop().time() + PUBLISH_LIMIT_S
        found = await publish.publish(
            self._client(),
            fields,
            self.author._replace(number=self.published),
            deadline,
        )
        return found.exit_code == exit_codes.OK

    async def add_host(self, host: str) -> None:
        """Publish one more host of the service without keys."""
        # Two that begin with the same hosts would each withdraw the other's.
        async with self.publishing:
            names = [one for one in self.hosts if one != DIVIDED]
            if await self.publish_service(CHOICE, 'choice', [*names, host]):
                self.hosts.append(host)

    async def coordinator(self) -> str:
        """Return the name of the coordinating instance, '' if unknown."""
        deadline = asyncio.get_running_loop().time() + ASK_LIMIT_S
        found = await self._client().find_holder(
            coordinator_link.COORDINATOR_GROUP,
            coordinator_link.TERM_TOPIC,
            deadline,
        )
        if isinstance(found, outcomes.Unavailable):
            return ''
        return found.partition('@')[0]

    def _client(self) -> store.StoreClient:
        address = self.running.store.address
        return store.StoreClient(self.running.session, address)

    async def until_served(self, limit_s: float = SERVE_LIMIT_S) -> str:
        """Wait until each router serves all probed keys.

        Returns
        -------
        str
            What is not served after the limit; '' if all is.
        """
        deadline = time.monotonic() + limit_s
        timeout = aiohttp.ClientTimeout(2.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                asked = [
                    self._probe(session, router) for router in self.targets()
                ]
                failed = [
                    one
                    for found in await asyncio.gather(*asked)
                    for one in found
                ]
                if not failed:
                    return ''
                if time.monotonic() > deadline:
                    return f'{len(failed)} probes, the last {failed[-1]}'
                await asyncio.sleep(PROBE_PAUSE_S)

    async def _probe(
        self, session: aiohttp.ClientSession, target: callers.Target
    ) -> list[callers.Told]:
        """Ask for keys one after the other; return what is not served.

        All at once would exceed the queues of the upstreams.
        """
        if target.host != DIVIDED:
            found = [await self.callers.ask(session, target)]
        else:
            found = [
                await self.callers.ask(session, target, key)
                for key in range(0, callers.KEYS, callers.KEYS // PROBES)
            ]
        return [one for one in found if one.status != 200]
