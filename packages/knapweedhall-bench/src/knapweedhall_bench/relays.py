"""Plans the relayed addresses between failure domains."""

from __future__ import annotations

import typing

from knapweedhall_bench import ports
from knapweedhall_bench import topology

Node = topology.EntryNode | topology.UpstreamNode
# The other listeners serve callers and operators, who are in no domain.
RELAYED_FIELDS = ('address', 'forward_address', 'peer_address')


class Link(typing.NamedTuple):
    """Address that one failure domain uses for a process of another one.

    Attributes
    ----------
    caller : int
        Number of the calling failure domain.
    domain : int
        Failure domain of the process.
    name, field : str
        Process and which of its addresses.
    listen, target : str
        Relay's address and the process's own, IP number:port.
    """

    caller: int
    domain: int
    name: str
    field: str
    listen: str
    target: str


def plan_links(
    size: topology.Topology,
    nodes: typing.Iterable[Node],
    block: ports.PortBlock,
) -> list[Link]:
    """Return a link for each address and each other failure domain."""
    if not size.relays:
        return []
    return [
        _link(caller, node, field, block)
        for node in nodes
        for field in RELAYED_FIELDS
        if hasattr(node, field)
        for caller in range(1, size.domains + 1)
        if caller != node.domain
    ]


def _link(caller: int, node: Node, field: str, block: ports.PortBlock) -> Link:
    ip = f'127.0.{caller}.{topology.RELAY_HOST}'
    listen = f'{ip}:{block.take(ip)}'
    target = getattr(node, field)
    return Link(caller, node.domain, node.name, field, listen, target)


def describe(links: typing.Iterable[Link]) -> list[dict[str, typing.Any]]:
    """Return the links as the relay stand-in takes them."""
    return [
        {
            'listen': link.listen,
            'target': link.target,
            'domains': (link.caller, link.domain),
        }
        for link in links
    ]


def addresses_by_domain(
    links: typing.Iterable[Link], name: str
) -> dict[str, dict[str, str]]:
    """Return a process's relayed addresses for the platform's list."""
    found: dict[str, dict[str, str]] = {}
    for link in links:
        if link.name == name:
            found.setdefault(str(link.caller), {})[link.field] = link.listen
    return found
