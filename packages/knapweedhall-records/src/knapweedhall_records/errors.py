"""Reasons why a record or another input is rejected, each with a remedy."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Base class of the reasons why an input is rejected.

    Attributes
    ----------
    reason : str
        What is wrong, with the invalid value.
    remedy : str
        How to correct it.
    """

    tag: typing.ClassVar[str] = 'refusal'

    reason: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.tag}: {self.reason}; {self.remedy}'


@dataclasses.dataclass(frozen=True)
class MalformedRecord(Refusal):
    """The bytes are not a JSON record with the required fields."""

    tag: typing.ClassVar[str] = 'malformed-record'


@dataclasses.dataclass(frozen=True)
class OversizedRecord(Refusal):
    """The record is longer than the maximum."""

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
    """A field of the record is unknown or has an invalid value."""

    tag: typing.ClassVar[str] = 'invalid-field'


@dataclasses.dataclass(frozen=True)
class VersionConflict(Refusal):
    """The record replaces a version that is not the one in force."""

    tag: typing.ClassVar[str] = 'version-conflict'
