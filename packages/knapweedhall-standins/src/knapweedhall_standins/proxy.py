"""A TCP proxy on loopback that injects faults into open connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
import select
import socket
import struct

CHUNK_BYTES = 65536
# Time in which the first data of a connection arrives that its target refuses.
FIRST_DATA_S = 0.1
# SO_LINGER with a timeout of 0 s: closing the socket sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Abort a connection so that its peer receives a reset."""
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()


def _has_closed(transport: asyncio.WriteTransport) -> bool:
    """Return whether the end of the peer's data has arrived."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


class Mode(enum.Enum):
    """How a link treats data and new connections."""

    PASS = 'pass'
    # Data is held back in both directions, on new connections too.
    SILENT = 'silent'
    # Only data from the target (answers) or to it (requests) is held back.
    NO_ANSWERS = 'no-answers'
    NO_REQUESTS = 'no-requests'
    # Open connections and new ones are reset.
    RESET = 'reset'


class Link:
    """Forwards connections to one target.

    Attributes
    ----------
    target : tuple of str and int
        Host and port.
    mode : Mode
        How data and new connections are treated at present.
    delay_s : float
        Delay of each chunk of data, seconds.
    bytes_per_s : float
        Rate of all connections together in one direction; inf if the link has
        no limit.
    busy_until : dict of bool to float
        When the data that was read so far has passed, by whether it goes to
        the target; seconds of the loop's clock.
    undelivered : list of bytes
        Data that the target has not received because it had closed the
        connection before.
    refused : list of bytes
        First data of connections that the target did not accept.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.bytes_per_s = math.inf
        self.busy_until = {True: 0.0, False: 0.0}
        self.undelivered: list[bytes] = []
        self.refused: list[bytes] = []
        self.mode_changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to forward connections."""
        self.server = await asyncio.start_server(self._accept, host, port)

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change the mode and the delay, also of open connections."""
        self.mode, self.delay_s = mode, delay_s
        if mode is Mode.RESET:
            self.reset()
        self.mode_changed.set()
        self.mode_changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            reset_connection(writer.transport)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        self.reset()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            if self.mode is Mode.RESET:
                self.reset()
                return
            await self._forward(reader, writer)
            # Sends what is still buffered; an abort discards it.
            writer.close()
            await writer.wait_closed()
        except ConnectionResetError:
            reset_connection(writer.transport)
        except (OSError, EOFError):
            # One side is gone; the connection to the other is aborted below.
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_DATA_S):
                    self.refused.append(await reader.read(CHUNK_BYTES))
            raise
        self.writers.add(target_writer)
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, True)),
            asyncio.create_task(self._pump(target_reader, writer, False)),
        ]
        try:
            done, _ = await asyncio.wait(
                pumps, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                # Raises the error that ended the connection.
                task.result()
        except ConnectionResetError:
            # The other side must not take it for an orderly end.
            reset_connection(target_writer.transport)
            raise
        finally:
            for task in pumps:
                task.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self.writers.discard(target_writer)
            target_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            try:
                await self._hold(len(data), to_target)
            except asyncio.CancelledError:
                if to_target:
                    self.undelivered.append(data)
                raise
            if to_target and _has_closed(writer.transport):
                self.undelivered.append(data)
            error = reader.exception()
            if error is not None:
                # Data held back by a network partition is lost if its sender
                # resets the connection.
                raise error
            writer.write(data)
            await writer.drain()

    async def _hold(self, size: int, to_target: bool) -> None:
        """Wait until the link passes data of a size on."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self._wait_for_capacity(size, to_target)
        while self._is_blocked(to_target):
            await self.mode_changed.wait()

    async def _wait_for_capacity(self, size: int, to_target: bool) -> None:
        """Wait until the link has passed the data before and this data."""
        if math.isinf(self.bytes_per_s):
            return
        now = asyncio.get_running_loop().time()
        begin = max(now, self.busy_until[to_target])
        self.busy_until[to_target] = begin + size / self.bytes_per_s
        await asyncio.sleep(self.busy_until[to_target] - now)

    def _is_blocked(self, to_target: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is (
            Mode.NO_REQUESTS if to_target else Mode.NO_ANSWERS
        )
