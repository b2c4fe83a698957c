"""Allocates TCP ports that parallel runs on one machine do not share."""

from __future__ import annotations

import random
import socket

# Below the range of the kernel's ephemeral ports.
FIRST_PORT = 20000
PORTS_PER_BLOCK = 200
BLOCK_COUNT = 60
CLAIM_IP = '127.0.0.1'


class NoFreePorts(RuntimeError):
    """All blocks of ports are claimed, or the block has no free port left."""


class PortBlock:
    """A block of ports; a socket bound to the first one claims the block.

    Parameters
    ----------
    base : int
        First port; 0 picks a block that no other run has claimed.

    Raises
    ------
    NoFreePorts
        If the block at `base` is claimed, or all blocks are.
    """

    def __init__(self, base: int = 0) -> None:
        self.claim = self._claim(base)
        self.base: int = self.claim.getsockname()[1]
        self.next_ports: dict[str, int] = {}

    def _claim(self, base: int) -> socket.socket:
        starts = [
            FIRST_PORT + PORTS_PER_BLOCK * block
            for block in range(BLOCK_COUNT)
        ]
        # Without this, runs that start together try the same block first.
        random.SystemRandom().shuffle(starts)
        for start in [base] if base else starts:
            claim = socket.socket()
            try:
                claim.bind((CLAIM_IP, start))
            except OSError:
                claim.close()
                continue
            claim.listen()
            return claim
        raise NoFreePorts(
            f'port {base} is in use; pass another one or 0'
            if base
            else 'all port blocks are claimed; wait for another run to end'
        )

    def take(self, ip: str) -> int:
        """Return a free port of the block that was not taken for this IP.

        Raises
        ------
        NoFreePorts
            If no port is left.
        """
        first = self.next_ports.get(ip, self.base + 1)
        for port in range(first, self.base + PORTS_PER_BLOCK):
            self.next_ports[ip] = port + 1
            if _is_free(ip, port):
                return port
        raise NoFreePorts(f'block {self.base} has no free port left at {ip}')

    def close(self) -> None:
        """Release the block."""
        self.claim.close()


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
