"""Reads and checks the settings of the router process."""

from __future__ import annotations

import configparser
import dataclasses
import ipaddress
import math
import pathlib
import typing

from knapweedhall_routing import model

# Part of a faulty value that is shown in a message.
MAX_SHOWN_CHARS = 60
SOURCES = ('platform', 'records')
# Uses of the learned limits of upstreams.
LIMITS_OFF = 'off'
LIMITS_SHARED = 'shared'
LIMITS_ENFORCED = 'enforced'
LIMIT_USES = (LIMITS_OFF, LIMITS_SHARED, LIMITS_ENFORCED)


class Settings(typing.NamedTuple):
    """Checked settings.

    Attributes
    ----------
    name, failure_domain, address : str
        Name, failure domain and IP address of the instance.
    descriptors, memory_mb : int
        Limits of the process: open file descriptors, and memory in MB.
    cpu_share, cores : float
        Processor time that the process may use per second, and the speed of
        the processor as a multiple of one core.
    link_mbps : float
        Bandwidth of the machine's network link.
    front, ready : model.Address
        Addresses of the listeners for callers and for readiness checks of the
        load balancer.
    peer_port, metrics_port : int
        Ports of the listeners for other instances and for metrics.
    store : str
        IP address and port of the platform's store.
    least_membership_s : float
        Shortest membership timeout that the store accepts.
    source : str
        Source of the configuration: 'platform' for the operator of the users'
        platform, 'records' for the records that knapweedhallctl publishes.
    retry_ratio, retry_window_s, retry_extra : float
        Retry budget of all instances together: retries per request, window in
        seconds, and additional retries per window.
    drain_s, grace_s : float
        Time for which a draining upstream continues to serve; time from the
        stop signal until the process is killed.
    response_mb : float
        Largest body of a response that is accepted from an upstream, in MB.
    head_memory_share : float
        Share of `memory_mb` for the heads of callers' requests.
    caller_descriptor_share : float
        Share of `descriptors` for connections of callers.
    upstream_limits : str
        Use of the learned limits of upstreams: 'off', 'shared' if instances of
        large fleets choose upstreams by their load over all instances, or
        'enforced' if requests also wait while an upstream is at its limit.
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
    response_mb: float
    head_memory_share: float = 0.1
    caller_descriptor_share: float = 0.4
    upstream_limits: str = LIMITS_OFF


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults of a settings file.

    Attributes
    ----------
    messages : tuple of str
        All faults; each message says how to fix one.
    fallback : Settings or None
        Settings with which a process can start: defaults stand in for the
        faulty values. None if an option without a default is at fault.
    """

    messages: tuple[str, ...]
    fallback: Settings | None = None


def _host(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _host_and_port(text: str) -> str:
    return str(model.parse_address(text))


def _source(text: str) -> str:
    if text not in SOURCES:
        raise ValueError(f'expected one of {", ".join(SOURCES)}')
    return text


def _limit_use(text: str) -> str:
    if text not in LIMIT_USES:
        raise ValueError(f'expected one of {", ".join(LIMIT_USES)}')
    return text


def _number(text: str) -> float:
    value = float(text)
    if not 0 <= value < math.inf:
        raise ValueError('expected a number of 0 or more')
    return value


def _positive(text: str) -> float:
    value = float(text)
    if not 0 < value < math.inf:
        raise ValueError('expected a number above 0')
    return value


def _share(text: str) -> float:
    value = float(text)
    if not 0 < value <= 1:
        raise ValueError('expected a number above 0, up to 1')
    return value


def _whole(text: str) -> int:
    value = float(text)
    if not 1 <= value < math.inf or value != int(value):
        raise ValueError('expected a whole number above 0')
    return int(value)


# Section, option and parser of each setting, in the order of `Settings`.
SCHEMA: tuple[tuple[str, str, typing.Callable[[str], typing.Any]], ...] = (
    ('instance', 'name', str),
    ('instance', 'failure_domain', str),
    ('instance', 'address', _host),
    ('instance', 'descriptors', _whole),
    ('instance', 'memory_mb', _whole),
    ('instance', 'cpu_share', _positive),
    ('instance', 'cores', _positive),
    ('instance', 'link_mbps', _positive),
    ('listen', 'front', model.parse_address),
    ('listen', 'ready', model.parse_address),
    ('listen', 'peer_port', model.parse_port),
    ('listen', 'metrics_port', model.parse_port),
    ('store', 'address', _host_and_port),
    ('store', 'least_membership_s', _positive),
    ('store', 'source', _source),
    ('limits', 'retry_ratio', _number),
    ('limits', 'retry_window_s', _positive),
    ('limits', 'retry_extra', _number),
    ('limits', 'drain_s', _positive),
    ('limits', 'grace_s', _positive),
    ('limits', 'response_mb', _positive),
    ('limits', 'head_memory_share', _share),
    ('limits', 'caller_descriptor_share', _share),
    ('limits', 'upstream_limits', _limit_use),
)


# Values of absent or empty options, as the platform renders nothing where it
# has no value. A machine without stated limits is assumed to be an ordinary
# one, and a platform without stated bounds to have the strictest known ones.
DEFAULTS = {
    ('instance', 'failure_domain'): 'unknown',
    ('instance', 'descriptors'): '1024',
    ('instance', 'memory_mb'): '300',
    ('instance', 'cpu_share'): '1',
    ('instance', 'cores'): '1',
    ('instance', 'link_mbps'): '1000',
    ('store', 'least_membership_s'): '1',
    ('limits', 'retry_ratio'): '0.2',
    ('limits', 'retry_window_s'): '10',
    ('limits', 'retry_extra'): '0',
    ('limits', 'drain_s'): '2',
    ('limits', 'grace_s'): '6',
    # A response is held in memory until the caller has received it.
    ('limits', 'response_mb'): '16',
    # 434 whole heads of 16 KB on the smallest machine (160 MB), and 655
    # connections (1,638 descriptors); an instance gets 30 requests/s.
    ('limits', 'head_memory_share'): '0.1',
    ('limits', 'caller_descriptor_share'): '0.4',
    # Requests were served worse with the others in the fleets measured so far.
    ('limits', 'upstream_limits'): LIMITS_OFF,
}


def read(path: pathlib.Path) -> Settings | Faults:
    """Read and check a settings file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return Faults((f'{path}: {error}; it must be a readable INI file',))
    values: list[typing.Any] = []
    faults: list[str] = []
    for section, option, convert in SCHEMA:
        default = DEFAULTS.get((section, option), '')
        text = parser.get(section, option, fallback='').strip() or default
        if not text:
            faults.append(f'[{section}] {option} is missing; add it')
            continue
        try:
            values.append(convert(text))
        except (ValueError, OverflowError) as error:
            faults.append(
                f'[{section}] {option} = {text[:MAX_SHOWN_CHARS]}: {error}; '
                'correct it'
            )
            if default:
                values.append(convert(default))
    if len(values) < len(SCHEMA):
        return Faults(tuple(faults))
    loaded = Settings(*values)
    repeated = _repeated_ports(loaded)
    if repeated:
        return Faults((*faults, *repeated))
    return Faults(tuple(faults), loaded) if faults else loaded


def _repeated_ports(loaded: Settings) -> list[str]:
    """Return a fault for each listener at the address of an earlier one."""
    faults = []
    names: dict[model.Address, str] = {}
    for name, address in (
        ('front', loaded.front),
        ('ready', loaded.ready),
        ('peer_port', model.Address(loaded.address, loaded.peer_port)),
        ('metrics_port', model.Address(loaded.address, loaded.metrics_port)),
    ):
        if address in names:
            faults.append(
                f'[listen] {name} has the address of {names[address]}, '
                f'{address}; give it one of its own'
            )
        names.setdefault(address, name)
    return faults


# Settings that a running process applies when they change. The others
# define listeners or are known to other processes.
RELOADABLE = (
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
    'head_memory_share',
    'caller_descriptor_share',
    'upstream_limits',
)


def needs_restart(old: Settings, new: Settings) -> list[str]:
    """Return the changed settings that need a restart to take effect."""
    return [
        name
        for name in Settings._fields
        if name not in RELOADABLE and getattr(old, name) != getattr(new, name)
    ]


def merge(old: Settings, new: Settings) -> Settings:
    """Return the old settings with the new values of `RELOADABLE`."""
    return old._replace(**{name: getattr(new, name) for name in RELOADABLE})
