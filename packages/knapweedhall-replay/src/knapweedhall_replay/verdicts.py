"""Verdicts on one point, as tagged dataclasses."""

from __future__ import annotations

import dataclasses
import typing

from knapweedhall_events import trace


class Violation(typing.NamedTuple):
    """One way in which the traces break a point.

    Attributes
    ----------
    reason : str
        What was broken.
    events : tuple of trace.Event
        The events that show it, in the order of time.
    """

    reason: str
    events: tuple[trace.Event, ...]


@dataclasses.dataclass(frozen=True)
class Holds:
    """Nothing in the traces breaks the point.

    Attributes
    ----------
    checked : str
        What was examined, with its number.
    """

    tag: typing.ClassVar[str] = 'holds'

    checked: str


@dataclasses.dataclass(frozen=True)
class Broken:
    """The traces break the point."""

    tag: typing.ClassVar[str] = 'broken'

    violations: tuple[Violation, ...]


@dataclasses.dataclass(frozen=True)
class Undecidable:
    """The traces do not show whether the point holds.

    Attributes
    ----------
    reason : str
        What is missing.
    """

    tag: typing.ClassVar[str] = 'not decidable'

    reason: str


Verdict = Holds | Broken | Undecidable


def decide(
    violations: typing.Sequence[Violation],
    doubts: typing.Sequence[str],
    checked: str,
) -> Verdict:
    """Return the verdict: a violation outweighs a doubt."""
    if violations:
        return Broken(tuple(violations))
    if doubts:
        return Undecidable('; '.join(doubts))
    return Holds(checked)
