"""Typed errors of the operators' command."""

from __future__ import annotations

import dataclasses
import typing

from knapweedhall_records import errors


@dataclasses.dataclass(frozen=True)
class MissingRecords(errors.Refusal):
    """Records that decide the version in force have expired."""

    tag: typing.ClassVar[str] = 'missing-records'


@dataclasses.dataclass(frozen=True)
class UnreadableTrace(errors.Refusal):
    """A trace file cannot be read."""

    tag: typing.ClassVar[str] = 'unreadable-trace'
