"""Writes the settings file of an entry instance."""

from __future__ import annotations

import configparser
import pathlib
import typing

from knapweedhall_bench import topology

STREAM = 'knapweedhall'


class Options(typing.NamedTuple):
    """Settings that all entry instances of a deployment share.

    Attributes
    ----------
    key_hex : str
        Key of the messages between instances, in hexadecimal.
    drain_wait_ms : int
        Time between readiness off and the end of accepting, in ms.
    log_level : str
        Least level of log lines.
    choice_policy : str
        Rule that chooses upstreams of `choice` services.
    """

    key_hex: str
    drain_wait_ms: int = 500
    log_level: str = 'INFO'
    choice_policy: str = 'least_of_two'


def write_settings(
    path: pathlib.Path,
    node: topology.EntryNode,
    platform_address: str,
    trace_path: pathlib.Path,
    options: Options,
) -> None:
    """Write the INI file of one entry instance."""
    parser = configparser.ConfigParser(interpolation=None)
    parser['instance'] = {
        'name': node.name,
        'failure_domain': topology.domain_name(node.domain),
    }
    parser['listen'] = {
        field: getattr(node, field) for field in topology.ENTRY_FIELDS
    }
    parser['platform'] = {'address': platform_address, 'stream': STREAM}
    parser['peering'] = {'key_hex': options.key_hex}
    parser['stop'] = {'drain_wait_ms': str(options.drain_wait_ms)}
    parser['traffic'] = {'choice_policy': options.choice_policy}
    parser['log'] = {'level': options.log_level}
    parser['trace'] = {'path': str(trace_path)}
    with path.open('w') as file:
        parser.write(file)
