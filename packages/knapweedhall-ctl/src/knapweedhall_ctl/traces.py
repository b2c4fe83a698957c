"""Reads the trace files that a command names."""

from __future__ import annotations

import argparse
import pathlib

import msgspec

from knapweedhall_ctl import errors as ctl_errors
from knapweedhall_events import trace
from knapweedhall_records import errors


def add_trace_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the argument that names trace files."""
    parser.add_argument(
        'traces', type=pathlib.Path, nargs='+', metavar='TRACE'
    )


def read(
    paths: list[pathlib.Path],
) -> list[list[trace.Event]] | errors.Refusal:
    """Return the events of each file, or why one is rejected."""
    found = []
    for path in paths:
        try:
            found.append(trace.read_trace(path))
        except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
            return ctl_errors.UnreadableTrace(
                f'{path}: {error}', 'name files written by a trace writer'
            )
    return found
