"""Picks TCP ports that parallel runs on one machine do not share."""

from __future__ import annotations

import random
import socket

# Below the range from which the kernel takes ports of outgoing connections.
FIRST_PORT = 20000
BLOCK_PORTS = 200
BLOCKS = 60
CLAIM_IP = '127.0.0.1'


class NoFreePorts(RuntimeError):
    """Every block of ports is taken, or the block is used up."""


class PortBlock:
    """A block of ports; its first one is held as a claim until closed.

    Parameters
    ----------
    base : int
        First port, or 0 to pick a block that nobody has claimed.

    Raises
    ------
    NoFreePorts
        If the block, or every block, is claimed.
    """

    def __init__(self, base: int = 0) -> None:
        self.claim = self._claim(base)
        self.base: int = self.claim.getsockname()[1]
        self.next: dict[str, int] = {}

    def _claim(self, base: int) -> socket.socket:
        starts = [FIRST_PORT + BLOCK_PORTS * block for block in range(BLOCKS)]
        # Runs that start together would all try the same block first.
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
            f'port {base} is taken; pass another one or 0'
            if base
            else 'all blocks are claimed; wait for another run to end'
        )

    def take(self, ip: str) -> int:
        """Return a port of the block, free and not yet taken at an IP number.

        Raises
        ------
        NoFreePorts
            If there is none left.
        """
        first = self.next.get(ip, self.base + 1)
        for port in range(first, self.base + BLOCK_PORTS):
            self.next[ip] = port + 1
            if _is_free(ip, port):
                return port
        raise NoFreePorts(f'no port of block {self.base} is left at {ip}')

    def close(self) -> None:
        """Give up the claim."""
        self.claim.close()


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
