"""What the stand-in processes share: serving, ending, breaking exchanges."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct
import sys

from aiohttp import web
from knapweedhall_events import trace
import loguru

from knapweedhall_standins import network

# Closes with a reset instead of an orderly end: linger on, for no time.
LINGER_RESET = struct.pack('ii', 1, 0)


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a TCP reset."""
    raw = transport.get_extra_info('socket')
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def abort(request: web.BaseRequest) -> web.Response:
    """Reset the caller's connection; the returned response is not sent."""
    if request.transport is not None:
        reset(request.transport)
    return web.Response()


def caller_domain(request: web.BaseRequest) -> int:
    """Return the failure domain that a request comes from.

    The source address decides; a caller that did not bind one is placed by
    the address that it called.
    """
    if request.transport is None:
        return 0
    peer = request.transport.get_extra_info('peername')
    local = request.transport.get_extra_info('sockname')
    return network.domain_of(peer[0]) or network.domain_of(local[0])


def limit_log() -> None:
    """Log to standard error without the events of single requests."""
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level='INFO')


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def serve(
    runner: web.BaseRunner,
    addresses: list[network.Address],
    events: trace.TraceWriter,
    role: str,
) -> None:
    """Listen on the addresses until a signal asks for the end."""
    stop = stop_event()
    await runner.setup()
    try:
        for address in addresses:
            await web.TCPSite(
                runner, address.ip, address.port, backlog=1024
            ).start()
        events.emit(
            'process_started',
            role=role,
            address=' '.join(str(address) for address in addresses),
        )
        events.emit('process_ready')
        await stop.wait()
    finally:
        await runner.cleanup()
        events.emit('process_stopped', unfinished=0)
        events.close()
