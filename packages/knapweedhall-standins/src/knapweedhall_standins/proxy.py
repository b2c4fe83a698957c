"""A TCP proxy on loopback whose links can be harmed while in use."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

CHUNK_BYTES = 65536
# Closes a connection with a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What a link does with bytes and new connections."""

    PASS = 'pass'
    # Bytes wait, also those of new connections.
    SILENT = 'silent'
    # Bytes to the target pass, its own wait; and the other way round.
    NO_ANSWERS = 'no-answers'
    NO_REQUESTS = 'no-requests'
    # Open and new connections are reset.
    RESET = 'reset'


class Link:
    """Forwards the connections to one target.

    Attributes
    ----------
    mode : Mode
        What is wrong at present.
    delay_s : float
        Delay of each chunk, seconds.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Begin to forward."""
        self.server = await asyncio.start_server(self._accept, host, port)

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change what is wrong."""
        self.mode, self.delay_s = mode, delay_s
        if mode is Mode.RESET:
            self.reset()
        self.changed.set()
        self.changed = asyncio.Event()

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in list(self.writers):
            wire = writer.get_extra_info('socket')
            if wire is not None and wire.fileno() >= 0:
                wire.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
            writer.transport.abort()

    def close(self) -> None:
        """Stop forwarding."""
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
        except (OSError, EOFError):
            # One side is gone; the other one learns it by the reset.
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        self.writers.add(far_writer)
        both = [
            asyncio.create_task(self._pump(reader, far_writer, True)),
            asyncio.create_task(self._pump(far_reader, writer, False)),
        ]
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in both:
                task.cancel()
            await asyncio.gather(*both, return_exceptions=True)
            self.writers.discard(far_writer)
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self._holds(requests):
                await self.changed.wait()
            reset = reader.exception()
            if reset is not None:
                # Bytes that a partition holds up are lost if their sender
                # resets the connection.
                raise reset
            writer.write(data)
            await writer.drain()

    def _holds(self, requests: bool) -> bool:
        if self.mode is Mode.SILENT:
            return True
        return self.mode is (Mode.NO_REQUESTS if requests else Mode.NO_ANSWERS)
