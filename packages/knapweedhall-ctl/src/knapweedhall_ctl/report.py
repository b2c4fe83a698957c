"""Prints the result of a command as text or as one JSON object."""

from __future__ import annotations

import typing

import msgspec

from knapweedhall_ctl import exit_codes
from knapweedhall_records import errors


class Report(typing.NamedTuple):
    """Result of a command.

    Attributes
    ----------
    exit_code : int
        One of the constants of `exit_codes`.
    text : str
        Output for people.
    fields : dict
        Output of `--json`.
    """

    exit_code: int
    text: str
    fields: dict[str, typing.Any]


def show(report: Report, as_json: bool) -> int:
    """Print a report and return its exit code."""
    if as_json:
        print(msgspec.json.encode(report.fields).decode())
    else:
        print(report.text)
    return report.exit_code


def rejected(refusal: errors.Refusal) -> Report:
    """Return the report for invalid input."""
    return Report(
        exit_codes.INVALID_INPUT,
        f'rejected: {refusal}',
        {
            'outcome': 'rejected',
            'error': refusal.tag,
            'reason': refusal.reason,
            'remedy': refusal.remedy,
        },
    )


def unavailable(reason: str) -> Report:
    """Return the report for a platform that did not answer."""
    return Report(
        exit_codes.PLATFORM_UNAVAILABLE,
        f'unavailable: {reason}; check --store and try again',
        {'outcome': 'unavailable', 'reason': reason},
    )


def table(
    header: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[object]],
) -> str:
    """Return a table with aligned columns."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )
