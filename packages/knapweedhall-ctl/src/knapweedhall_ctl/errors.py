"""Reasons why the operators' command rejects an input."""

from __future__ import annotations

import dataclasses
import typing

from knapweedhall_records import errors


@dataclasses.dataclass(frozen=True)
class UnreadableLog(errors.Refusal):
    """A log file cannot be read."""

    tag: typing.ClassVar[str] = 'unreadable-log'
