"""What a failure script acts on: processes, callers and admin calls."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

from knapweedhall_bench import deployment
from knapweedhall_bench import platform_control
from knapweedhall_bench import publishing
from knapweedhall_bench import topology
from knapweedhall_bench import workload

ADMIN_TIMEOUT_S = 1.0
# Time for the first plan to be in force and its slices to be granted.
SETTLE_LIMIT_S = 30.0
POLL_S = 0.1


class Stage:
    """A running deployment under load.

    Parameters
    ----------
    running : deployment.Deployment
        Processes.
    random_numbers : random.Random
        Source of all choices of the script and of the load balancer.

    Attributes
    ----------
    balanced : list of str
        Entry instances that the load balancer sends to.
    """

    def __init__(
        self,
        running: deployment.Deployment,
        random_numbers: random.Random,
    ) -> None:
        self.running = running
        self.random_numbers = random_numbers
        self.balanced = sorted(running.entries)

    def choose_target(self, call: workload.Call) -> str | None:
        """Return the caller address of a balanced instance."""
        if not self.balanced:
            return None
        name = self.random_numbers.choice(self.balanced)
        return self.running.entries[name].caller_address

    def unbalance(self, *names: str) -> None:
        """Take instances out of the load balancer."""
        self.balanced = [each for each in self.balanced if each not in names]

    def balance(self, *names: str) -> None:
        """Put instances back into the load balancer."""
        self.balanced = sorted({*self.balanced, *names})

    async def admin(self, name: str, path: str) -> dict[str, typing.Any]:
        """Return an answer of an instance's admin port, {} if there is none.

        A process that is stopped or dead does not answer.
        """
        address = self.running.entries[name].admin_address
        url = f'http://{address}/knapweedhall/{path}'
        with contextlib.suppress(
            platform_control.CallFailed, OSError, TimeoutError
        ):
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                return dict(await self.running.control.send('GET', url))
        return {}

    async def coordinator(self, group: str) -> str:
        """Return the instance that coordinates a group.

        Raises
        ------
        deployment.StartFailed
            If there is none for too long.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SETTLE_LIMIT_S
        while loop.time() < deadline:
            for name in self.balanced:
                status = await self.admin(name, 'status')
                if group in status.get('groups_held', {}):
                    return name
            await asyncio.sleep(POLL_S)
        raise deployment.StartFailed(f'nobody coordinates {group}')

    async def publish(self, draft: publishing.Draft) -> str:
        """Publish a record; return what the command printed, or refused."""
        try:
            return await publishing.publish(self.running, draft)
        except publishing.PublishFailed as error:
            return str(error)

    def upstreams(self, service: str, domain: int = 0) -> list[str]:
        """Return the upstreams of a service, of one failure domain or all."""
        return sorted(
            node.name
            for node in self.running.upstreams.values()
            if node.service == service and domain in (0, node.domain)
        )

    def entries(self, domain: int) -> list[str]:
        """Return the entry instances of a failure domain."""
        return sorted(
            node.name
            for node in self.running.entries.values()
            if node.domain == domain
        )

    def domain_group(self, domain: int) -> str:
        """Return the lease group of a failure domain."""
        return f'domain/{topology.domain_name(domain)}'
