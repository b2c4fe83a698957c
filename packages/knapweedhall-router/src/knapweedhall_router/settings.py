"""Settings of the router process."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib
import typing

from knapweedhall_routing import model

SOURCES = ('platform', 'records')


class Settings(typing.NamedTuple):
    """Checked settings.

    Attributes
    ----------
    name, failure_domain, address : str
        Name of the instance, where it runs, and its IP address.
    descriptors, memory_mb : int
        Limits of the process.
    cpu_share, cores : float
        Processor time per second, and how many times as fast as a core it is.
    link_mbps : float
        Bandwidth of the machine's link.
    front, ready : model.Address
        Listeners for callers and for the load balancer's check.
    peer_port, metrics_port : int
        Ports for other instances and for metrics.
    store : str
        IP address and port of the platform's store.
    least_membership_s : float
        Shortest membership timeout that the store accepts.
    source : str
        Whose configuration is in force: 'platform' for the operator of the
        users' platform, 'records' for what knapweedhallctl publishes.
    retry_ratio, retry_window_s, retry_extra : float
        Budget of repeats over all instances: repeats per request, window in
        seconds, and repeats that are allowed besides.
    drain_s, grace_s : float
        Time that a leaving upstream serves on; time from the request to stop
        until the process is killed.
    """

    name: str
    failure_domain: str
    address: str
    descriptors: int
    memory_mb: int
    cpu_share: float
    cores: float
    link_mbps: float
    front: model.Address
    ready: model.Address
    peer_port: int
    metrics_port: int
    store: str
    least_membership_s: float
    source: str
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    drain_s: float
    grace_s: float


@dataclasses.dataclass(frozen=True)
class Faults:
    """All faults of a settings file; each message names the remedy."""

    messages: tuple[str, ...]


def _address(text: str) -> model.Address:
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError('expected IP:PORT')
    return model.Address(host, int(port))


def _source(text: str) -> str:
    if text not in SOURCES:
        raise ValueError(f'expected one of {", ".join(SOURCES)}')
    return text


# Section, option and reader of each setting, in the order of `Settings`.
SCHEMA: tuple[tuple[str, str, typing.Callable[[str], typing.Any]], ...] = (
    ('instance', 'name', str),
    ('instance', 'failure_domain', str),
    ('instance', 'address', str),
    ('instance', 'descriptors', int),
    ('instance', 'memory_mb', int),
    ('instance', 'cpu_share', float),
    ('instance', 'cores', float),
    ('instance', 'link_mbps', float),
    ('listen', 'front', _address),
    ('listen', 'ready', _address),
    ('listen', 'peer_port', int),
    ('listen', 'metrics_port', int),
    ('store', 'address', str),
    ('store', 'least_membership_s', float),
    ('store', 'source', _source),
    ('limits', 'retry_ratio', float),
    ('limits', 'retry_window_s', float),
    ('limits', 'retry_extra', float),
    ('limits', 'drain_s', float),
    ('limits', 'grace_s', float),
)


# What an absent or empty option means: a machine without stated limits is
# taken as an ordinary one.
DEFAULTS = {
    ('instance', 'cpu_share'): '1',
    ('instance', 'cores'): '1',
    ('instance', 'link_mbps'): '1000',
}


def read(path: pathlib.Path) -> Settings | Faults:
    """Read and check a settings file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text())
    except (OSError, configparser.Error) as error:
        return Faults((f'{path}: {error}; write a readable INI file',))
    values: list[typing.Any] = []
    faults = []
    for section, option, convert in SCHEMA:
        text = parser.get(section, option, fallback='').strip()
        text = text or DEFAULTS.get((section, option), '')
        if not text:
            faults.append(f'[{section}] {option} is missing; add it')
            continue
        try:
            values.append(convert(text))
        except ValueError as error:
            faults.append(
                f'[{section}] {option} = {text}: {error}; correct it'
            )
    if faults:
        return Faults(tuple(faults))
    return Settings(*values)


# Settings that a running process takes over; the others name listeners and
# what others know of it.
RELOADED = (
    'descriptors',
    'memory_mb',
    'cpu_share',
    'cores',
    'link_mbps',
    'retry_ratio',
    'retry_window_s',
    'retry_extra',
    'drain_s',
    'grace_s',
)


def needs_restart(old: Settings, new: Settings) -> list[str]:
    """Return the changed settings that count only after a restart."""
    return [
        name
        for name in Settings._fields
        if name not in RELOADED and getattr(old, name) != getattr(new, name)
    ]


def merge(old: Settings, new: Settings) -> Settings:
    """Return the old settings with the new values of those that reload."""
    return old._replace(**{name: getattr(new, name) for name in RELOADED})
