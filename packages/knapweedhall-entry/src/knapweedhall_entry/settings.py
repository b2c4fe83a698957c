"""Settings of an entry instance, read from an INI file."""

from __future__ import annotations

import configparser
import ipaddress
import pathlib
import typing

import msgspec

from knapweedhall_entry import errors
from knapweedhall_records import wire

Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
# 32 to 128 hexadecimal digits: the key sizes that BLAKE2b takes.
KeyHex = typing.Annotated[
    str, msgspec.Meta(pattern=r'^([0-9a-fA-F]{2}){16,64}$')
]
Level = typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR']
# Names in `knapweedhall_traffic.selection.RULES`.
ChoicePolicy = typing.Literal[
    'random', 'least_of_two', 'smoothed_latency', 'decaying_score'
]


class Address(typing.NamedTuple):
    """IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class InstanceSection(typing.NamedTuple):
    """Who this instance is."""

    name: wire.Name
    failure_domain: wire.Name


class ListenSection(typing.NamedTuple):
    """Addresses that this instance listens on."""

    caller_address: Address
    forward_address: Address
    admin_address: Address
    peer_address: Address


class PlatformSection(typing.NamedTuple):
    """Where the log and the instance list are, and how they are used."""

    address: Address
    stream: wire.Name = 'knapweedhall'
    request_timeout_ms: Milliseconds = 2000
    list_interval_ms: Milliseconds = 500
    retention_ms: Milliseconds = 3_600_000


class PeeringSection(typing.NamedTuple):
    """Secret that authenticates messages between instances."""

    key_hex: KeyHex


class StopSection(typing.NamedTuple):
    """Timing of a planned stop."""

    drain_wait_ms: Milliseconds = 2000
    limit_ms: Milliseconds = 30_000


class TrafficSection(typing.NamedTuple):
    """How requests are sent to upstreams."""

    choice_policy: ChoicePolicy = 'least_of_two'


class LogSection(typing.NamedTuple):
    """Log lines on standard error."""

    level: Level = 'INFO'


class TraceSection(typing.NamedTuple):
    """Trace file; an empty path writes none."""

    path: str = ''


class Settings(typing.NamedTuple):
    """All settings, one attribute per section."""

    instance: InstanceSection
    listen: ListenSection
    platform: PlatformSection
    peering: PeeringSection
    stop: StopSection = StopSection()
    traffic: TrafficSection = TrafficSection()
    log: LogSection = LogSection()
    trace: TraceSection = TraceSection()


SECTIONS: dict[str, type] = typing.get_type_hints(Settings)
Values = dict[str, typing.Any]


def parse_address(text: str) -> Address:
    """Return the address that `text` names.

    Raises
    ------
    ValueError
        If `text` is not an IPv4 number and a port.
    """
    host, _, port = text.rpartition(':')
    return Address(
        str(ipaddress.IPv4Address(host)),
        msgspec.convert(port, Port, strict=False),
    )


def convert_option(text: str, kind: typing.Any) -> typing.Any:
    """Return the value of an option.

    Raises
    ------
    ValueError
        If the text has not the form of `kind`; msgspec's errors included.
    """
    if kind is Address:
        return parse_address(text)
    return msgspec.convert(text, kind, strict=False)


def option_types(section: type) -> dict[str, typing.Any]:
    """Return the types of a section's options by name."""
    return typing.get_type_hints(section, include_extras=True)


def read_section(
    name: str,
    section: typing.Any,
    found: typing.Mapping[str, str],
    faults: list[errors.SettingFault],
) -> Values:
    """Return the valid options of a section; append what is wrong."""
    types = option_types(section)
    values: Values = {}
    for option, text in found.items():
        if option not in types:
            faults.append(
                errors.SettingFault(
                    name, option, 'unknown', f'use one of {", ".join(types)}'
                )
            )
            continue
        try:
            values[option] = convert_option(text, types[option])
        except ValueError as error:
            faults.append(
                errors.SettingFault(
                    name, option, f'{text!r}: {error}', 'correct the value'
                )
            )
    for option in set(types) - set(found) - set(section._field_defaults):
        faults.append(
            errors.SettingFault(name, option, 'missing', 'add the option')
        )
    return values


def read_file(
    path: pathlib.Path,
) -> configparser.ConfigParser | errors.SettingsFault:
    """Return the parsed INI file, or why it cannot be read."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section='', strict=True
    )
    try:
        parser.read_string(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        fault = errors.SettingFault('', '', str(error), 'correct the file')
        return errors.SettingsFault(str(path), (fault,))
    return parser


def load(path: pathlib.Path) -> Settings | errors.SettingsFault:
    """Read the settings.

    Parameters
    ----------
    path : pathlib.Path
        INI file.

    Returns
    -------
    Settings or errors.SettingsFault
        The settings, or all faults of the file at once.
    """
    parser = read_file(path)
    if isinstance(parser, errors.SettingsFault):
        return parser
    faults: list[errors.SettingFault] = []
    for name in parser.sections():
        if name not in SECTIONS:
            faults.append(
                errors.SettingFault(
                    name, '', 'unknown', f'use one of {", ".join(SECTIONS)}'
                )
            )
    values: Values = {}
    for name, section in SECTIONS.items():
        found = dict(parser[name]) if parser.has_section(name) else {}
        before = len(faults)
        options = read_section(name, section, found, faults)
        if len(faults) == before:
            values[name] = section(**options)
    if faults:
        faults.sort(key=lambda fault: (fault.section, fault.option))
        return errors.SettingsFault(str(path), tuple(faults))
    return Settings(**values)
