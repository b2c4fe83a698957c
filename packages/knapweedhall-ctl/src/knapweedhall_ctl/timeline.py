"""`timeline`: merges traces into one time line."""

from __future__ import annotations

import argparse

from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_ctl import traces
from knapweedhall_ctl import validate
from knapweedhall_events import trace
from knapweedhall_records import errors
from knapweedhall_replay import text


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser('timeline', help='merge traces')
    traces.add_trace_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Merge the files; times count from the first event."""
    found = traces.read(arguments.traces)
    if isinstance(found, errors.Refusal):
        return validate.rejected(found)
    events = trace.merge(found)
    origin = events[0].monotonic_s if events else 0.0
    return report.Report(
        exit_codes.OK,
        '\n'.join(text.event_line(event, origin) for event in events),
        {'events': [event._asdict() for event in events]},
    )
