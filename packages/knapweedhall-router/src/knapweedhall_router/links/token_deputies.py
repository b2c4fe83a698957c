"""Quotas of a failure domain without a coordinator.

The coordinator names a deputy in each failure domain. While the instances of a
domain have no coordinator, the deputy pools the shares that they own.
"""

from __future__ import annotations

import asyncio

from knapweedhall_adapter import errors
from knapweedhall_router import clock
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import messages
from knapweedhall_router import logs
from knapweedhall_router import state as state_module
from knapweedhall_routing import quotas

CONNECT_TIMEOUT_S = 0.3
# Period of empty requests, which show that the instance is connected.
KEEPALIVE_PERIOD_S = 0.3
# Time without a message after which either side closes the connection; a
# deputy stops using the share of a silent instance before.
SILENCE_S = 1.5
# Bounds of the random pause before another attempt.
PAUSE_S = (0.2, 0.5)


class TokenDeputy:
    """Pools the shares of the instances that connect to this one.

    Attributes
    ----------
    deputies : quotas.Deputies
        Their shares.
    pool : quotas.Pool or None
        Their tokens; None if none is connected.
    """

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self.deputies = quotas.Deputies()
        self.pool: quotas.Pool | None = None

    async def attach(
        self,
        hello: messages.DeputyHello,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Lease tokens to an instance until its connection ends."""
        name = hello.instance
        self.deputies.join(name, hello.sharers, clock.now())
        joined = self.deputies.heard_at
        try:
            while True:
                async with asyncio.timeout(SILENCE_S):
                    message = await messages.read(reader)
                if not isinstance(message, messages.TokenRequest):
                    raise errors.DecodeError('no request for tokens')
                if name not in joined:
                    # Another connection of the same instance has ended.
                    return
                joined[name] = clock.now()
                writer.write(messages.encode(self._lease(message)))
        finally:
            self.deputies.leave(name)
            if not self.deputies.shares:
                self.pool = None

    def _lease(self, request: messages.TokenRequest) -> messages.TokenLease:
        now = clock.now()
        if self.pool is None:
            self.pool = self.deputies.new_pool(now)
        pool = self.pool
        pool.set_share(self.deputies.pooled_share(now), now)
        if self.state.configuration is not None:
            pool.configure(quotas.quotas(self.state.configuration), now)
        return messages.TokenLease(
            [pool.grant(ask, now) for ask in request.asks]
        )


class DeputyLink:
    """Connects to the deputy while there is no coordinator.

    Attributes
    ----------
    writer : asyncio.StreamWriter or None
        Writes to the deputy; None without a connection.
    """

    def __init__(self, state: state_module.State) -> None:
        self.state = state
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Connect whenever the coordinator is lost, until cancelled."""
        tokens = self.state.tokens
        while True:
            await tokens.alone.wait()
            await asyncio.sleep(tokens.leases.own_from - clock.now())
            domain = self.state.settings.failure_domain
            member = tokens.deputies.get(domain, '')
            try:
                await self._run_connection(member)
            except coordinator_link.CONNECTION_ERRORS as error:
                if tokens.alone.is_set():
                    logs.info(
                        'deputy_lost',
                        deputy=member,
                        reason=type(error).__name__,
                    )
            await asyncio.sleep(self.state.rng.uniform(*PAUSE_S))

    async def _run_connection(self, member: str) -> None:
        address = coordinator_link.member_address(member)
        leases = self.state.tokens.leases
        if address is None or not leases.owns_share(clock.now()):
            return
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            if not self._is_needed():
                return
            hello = messages.DeputyHello(leases.name, leases.sharers)
            writer.write(messages.encode(hello))
            self.writer = writer
            self.state.tokens.join_deputy(self._ask, writer.transport.abort)
            logs.info('deputy_found', deputy=member)
            await self._exchange(reader, writer)
        finally:
            self.writer = None
            writer.transport.abort()
            self.state.tokens.leave_deputy()

    def _is_needed(self) -> bool:
        tokens = self.state.tokens
        return tokens.alone.is_set() and tokens.leases.owns_share(clock.now())

    def _ask(self, asks: list[quotas.Ask]) -> None:
        if self.writer is not None:
            self.writer.write(messages.encode(messages.TokenRequest(asks)))

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Receive leases until there is a coordinator."""
        keeping = asyncio.create_task(self._keep_alive(writer))
        try:
            while self._is_needed():
                async with asyncio.timeout(SILENCE_S):
                    message = await messages.read(reader)
                if not isinstance(message, messages.TokenLease):
                    raise errors.DecodeError('no lease')
                # The answer to an empty request is empty too.
                if self._is_needed() and message.grants:
                    self.state.tokens.receive(message.grants)
        finally:
            keeping.cancel()

    async def _keep_alive(self, writer: asyncio.StreamWriter) -> None:
        while self._is_needed():
            writer.write(messages.encode(messages.TokenRequest([])))
            await asyncio.sleep(KEEPALIVE_PERIOD_S)
