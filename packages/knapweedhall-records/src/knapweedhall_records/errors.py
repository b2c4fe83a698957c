"""Typed refusals; each names what was wrong and the remedy."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Base of all typed refusals.

    Attributes
    ----------
    reason : str
        What was wrong, with the offending value.
    remedy : str
        What the reader of the message can do about it.
    """

    tag: typing.ClassVar[str] = 'refusal'

    reason: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.tag}: {self.reason}; {self.remedy}'


@dataclasses.dataclass(frozen=True)
class MalformedRecord(Refusal):
    """The bytes are not a record of the expected shape."""

    tag: typing.ClassVar[str] = 'malformed-record'


@dataclasses.dataclass(frozen=True)
class OversizedRecord(Refusal):
    """The record is longer than the log accepts."""

    tag: typing.ClassVar[str] = 'oversized-record'


@dataclasses.dataclass(frozen=True)
class UnknownSchema(Refusal):
    """The record's schema version is not supported."""

    tag: typing.ClassVar[str] = 'unknown-schema'


@dataclasses.dataclass(frozen=True)
class UnknownKind(Refusal):
    """The record's kind is not known."""

    tag: typing.ClassVar[str] = 'unknown-kind'


@dataclasses.dataclass(frozen=True)
class InvalidField(Refusal):
    """A field of the record has a value that is not allowed."""

    tag: typing.ClassVar[str] = 'invalid-field'


@dataclasses.dataclass(frozen=True)
class VersionConflict(Refusal):
    """The record replaces a version that is not the one in force."""

    tag: typing.ClassVar[str] = 'version-conflict'
