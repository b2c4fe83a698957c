"""What a deployment consists of, and where its processes listen."""

from __future__ import annotations

import typing

from knapweedhall_bench import ports

ENTRY_FIELDS = (
    'caller_address',
    'forward_address',
    'admin_address',
    'peer_address',
)
# Last part of 127.0.D.x for each kind of process.
FIRST_ENTRY_HOST = 10
FIRST_UPSTREAM_HOST = 100
RELAY_HOST = 240
PLATFORM_HOST = 250


class ServiceSpec(typing.NamedTuple):
    """Upstreams of one service, spread evenly over the failure domains.

    Attributes
    ----------
    name : str
        Name of the service.
    upstreams : int
        Number of upstreams.
    options : tuple of str
        Further arguments of the upstream stand-in.
    """

    name: str
    upstreams: int
    options: tuple[str, ...] = ()


class Topology(typing.NamedTuple):
    """Size of a deployment.

    Attributes
    ----------
    services : tuple of ServiceSpec
        Services.
    domains : int
        Number of failure domains.
    entries_per_domain : int
        Entry instances of each failure domain; 0 starts none.
    relays : bool
        Whether traffic between failure domains goes through relays that can
        be cut.
    """

    services: tuple[ServiceSpec, ...]
    domains: int = 2
    entries_per_domain: int = 2
    relays: bool = False


class EntryNode(typing.NamedTuple):
    """One entry instance; addresses are IP number:port."""

    name: str
    domain: int
    caller_address: str
    forward_address: str
    admin_address: str
    peer_address: str


class UpstreamNode(typing.NamedTuple):
    """One upstream; the address is IP number:port."""

    name: str
    domain: int
    service: str
    address: str
    options: tuple[str, ...]


def domain_name(number: int) -> str:
    """Return the name of a failure domain."""
    return f'domain-{number}'


def lay_out_entries(size: Topology, block: ports.PortBlock) -> list[EntryNode]:
    """Return the entry instances with an address for each listener."""
    nodes = []
    for domain in range(1, size.domains + 1):
        for index in range(size.entries_per_domain):
            ip = f'127.0.{domain}.{FIRST_ENTRY_HOST + index}'
            addresses = [f'{ip}:{block.take(ip)}' for _ in ENTRY_FIELDS]
            name = f'entry-{domain}-{index + 1}'
            nodes.append(EntryNode(name, domain, *addresses))
    return nodes


def lay_out_upstreams(
    size: Topology, block: ports.PortBlock
) -> list[UpstreamNode]:
    """Return the upstreams, each with an address."""
    nodes = []
    hosts = [FIRST_UPSTREAM_HOST] * (size.domains + 1)
    for service in size.services:
        for index in range(service.upstreams):
            domain = 1 + index % size.domains
            ip = f'127.0.{domain}.{hosts[domain]}'
            hosts[domain] += 1
            nodes.append(
                UpstreamNode(
                    f'{service.name}-{index + 1}',
                    domain,
                    service.name,
                    f'{ip}:{block.take(ip)}',
                    service.options,
                )
            )
    return nodes


def platform_addresses(
    size: Topology, block: ports.PortBlock
) -> dict[int, str]:
    """Return the platform's address per failure domain; 0 is the launcher."""
    addresses = {0: f'127.0.0.1:{block.take("127.0.0.1")}'}
    for domain in range(1, size.domains + 1):
        ip = f'127.0.{domain}.{PLATFORM_HOST}'
        addresses[domain] = f'{ip}:{block.take(ip)}'
    return addresses
