"""Forwards requests to instances that may send to the owner."""

from __future__ import annotations

import time

from knapweedhall_entry.gateway import answers
from knapweedhall_entry.gateway import calls
from knapweedhall_entry.gateway import dispatch
from knapweedhall_entry.gateway import exchange
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry.gateway import pool
from knapweedhall_events import trace
from knapweedhall_traffic import headers
from knapweedhall_traffic import outcomes

# Bounds the memory that a stuck instance can take from this one.
MAX_CONNECTIONS = 128


class Forwarder:
    """Sends calls over a second hop."""

    def __init__(
        self,
        relay: answers.Relay,
        options: interfaces.Options,
        events: trace.TraceWriter,
    ) -> None:
        self.relay = relay
        self.options = options
        self.events = events
        self.traced = options.request_events
        self.pools: dict[interfaces.Address, pool.Pool] = {}

    async def forward(
        self, call: calls.Call, peers: tuple[interfaces.Peer, ...]
    ) -> dispatch.Result:
        """Forward a call to one of the instances; return the answer."""
        if not peers:
            return outcomes.not_run('no-instance')
        # Each attempt goes to another instance.
        peer = peers[(call.attempts + call.permit_waits) % len(peers)]
        connections = self.pools.get(peer.address)
        if connections is None:
            connections = pool.Pool(peer.address, self.options)
            self.pools[peer.address] = connections
        try:
            connection = await self._connect(connections)
        except OSError:
            return outcomes.not_run('instance-unreachable')
        if connection is None:
            return outcomes.not_run('forward-limit')
        try:
            result = await self._exchange(call, peer, connection)
        except exchange.BrokenExchange as error:
            connection.abort()
            return outcomes.broken(call.handed_over, error.reason)
        except BaseException:
            connection.abort()
            raise
        connections.put_back(connection, time.monotonic())
        return result

    async def _connect(self, connections: pool.Pool) -> pool.Connection | None:
        connection = connections.take(time.monotonic())
        if connection is not None:
            return connection
        if len(connections.open) >= MAX_CONNECTIONS:
            return None
        return await connections.connect()

    async def _exchange(
        self,
        call: calls.Call,
        peer: interfaces.Peer,
        connection: pool.Connection,
    ) -> dispatch.Result:
        remaining_ms = int((call.deadline - time.monotonic()) * 1000)
        if remaining_ms < 1:
            return outcomes.not_run('deadline')
        self._write(call, peer, connection, remaining_ms)
        upload = exchange.start_upload(connection, call)
        try:
            result = await self._answer(call, connection)
        finally:
            whole = exchange.finish_upload(upload)
        if not whole:
            connection.force_close()
        return result

    def _write(
        self,
        call: calls.Call,
        peer: interfaces.Peer,
        connection: pool.Connection,
        remaining_ms: int,
    ) -> None:
        raw = call.raw + [
            (b'Knapweedhall-Hop', b'1'),
            (b'Knapweedhall-Timeout-Ms', b'%d' % remaining_ms),
            (b'Knapweedhall-Request-Id', call.request_id.encode()),
        ]
        if call.key:
            raw.append((b'Knapweedhall-Key', call.key.encode()))
        request = call.request
        head = exchange.request_head(
            request.method, request.raw_path, raw, call
        )
        connection.expect_answer(request.method != 'HEAD')
        if self.traced:
            self.events.emit(
                'request_forwarded',
                request=call.request_id,
                instance=peer.name,
            )
        transport = connection.transport
        if transport is None or transport.is_closing():
            raise exchange.BrokenExchange('connection-closed')
        call.handed_over = True
        transport.write(head + call.body if call.body else head)

    async def _answer(
        self, call: calls.Call, connection: pool.Connection
    ) -> dispatch.Result:
        answer = await exchange.read_head(connection, call.request.method)
        status, found = answer.message.code, answer.found
        failure = outcomes.instance_refusal(status, found)
        if failure is not None:
            await exchange.discard_body(answer.body)
            if failure.outcome == outcomes.NOT_RUN:
                call.handed_over = False
            return failure
        owner = found.first.get(headers.OWNER, b'').decode('ascii', 'replace')
        response, size = await self.relay.relay(call, answer, owner)
        if self.traced:
            self.events.emit(
                'request_answered',
                request=call.request_id,
                status=status,
                bytes=size,
            )
        return response

    def refresh(self) -> None:
        """Drop idle connections and the pools of instances that left."""
        now = time.monotonic()
        for address, connections in list(self.pools.items()):
            connections.expire(now)
            if connections.is_unused():
                del self.pools[address]

    def close(self) -> None:
        """Close all connections."""
        for connections in self.pools.values():
            connections.close()
