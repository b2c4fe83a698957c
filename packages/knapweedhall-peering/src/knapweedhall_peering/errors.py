"""Typed reasons for dropping a message."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Dropped:
    """Base of all reasons; `details` says what was seen."""

    tag: typing.ClassVar[str] = 'dropped'

    details: str

    def __str__(self) -> str:
        return f'{self.tag}: {self.details}'


@dataclasses.dataclass(frozen=True)
class WrongMac(Dropped):
    """The MAC does not match; the peer has another key_hex."""

    tag: typing.ClassVar[str] = 'wrong-mac'


@dataclasses.dataclass(frozen=True)
class Oversized(Dropped):
    """The message is longer than the limit."""

    tag: typing.ClassVar[str] = 'oversized'


@dataclasses.dataclass(frozen=True)
class Undecodable(Dropped):
    """The envelope or the body does not have the expected types."""

    tag: typing.ClassVar[str] = 'undecodable'


@dataclasses.dataclass(frozen=True)
class UnknownKind(Dropped):
    """The kind is not registered; the peer runs another version."""

    tag: typing.ClassVar[str] = 'unknown-kind'


@dataclasses.dataclass(frozen=True)
class OldSequence(Dropped):
    """The sequence number is not above the last one of this sender."""

    tag: typing.ClassVar[str] = 'old-sequence'


@dataclasses.dataclass(frozen=True)
class WrongReceiver(Dropped):
    """The message is meant for another instance."""

    tag: typing.ClassVar[str] = 'wrong-receiver'


@dataclasses.dataclass(frozen=True)
class QueueFull(Dropped):
    """The peer is slow or dead, or this process reads too slowly."""

    tag: typing.ClassVar[str] = 'queue-full'


@dataclasses.dataclass(frozen=True)
class UnknownPeer(Dropped):
    """No address is known for the receiver."""

    tag: typing.ClassVar[str] = 'unknown-peer'
