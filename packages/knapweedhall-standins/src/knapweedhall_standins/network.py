"""Addresses of the stand-ins and the failure domains that they stand for."""

from __future__ import annotations

import ipaddress
import typing


class Address(typing.NamedTuple):
    """IP number and port of a listener."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address that `str` turned into `text`.

        Raises
        ------
        ValueError
            If `text` is not an IPv4 loopback number, a colon and a port.
        """
        ip, _, port = text.rpartition(':')
        if not ipaddress.IPv4Address(ip).is_loopback:
            raise ValueError(f'{ip} is not a loopback address')
        return cls(ip, int(port))


def domain_of(ip: str | None) -> int:
    """Return the number D of 127.0.D.x, 0 for any other address."""
    parts = (ip or '').split('.')
    if len(parts) != 4 or parts[:2] != ['127', '0']:
        return 0
    return int(parts[2])
