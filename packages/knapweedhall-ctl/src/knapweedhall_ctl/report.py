"""Prints the result of a command as text or as one JSON object."""

from __future__ import annotations

import typing

import msgspec


class Report(typing.NamedTuple):
    """Result of a command.

    Attributes
    ----------
    exit_code : int
        One of `exit_codes`.
    text : str
        What a person reads.
    fields : dict
        What `--json` prints.
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
