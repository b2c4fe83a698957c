"""`timeline`: merges the logs of several processes into one timeline."""

from __future__ import annotations

import argparse
import pathlib

from knapweedhall_ctl import errors as ctl_errors
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_events import timeline

EXAMPLE = """example:
  knapweedhallctl timeline --request 9c41d07be2a35f68 front-*.log"""


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'timeline', help='merge logs into one timeline', epilog=EXAMPLE
    )
    parser.add_argument('logs', type=pathlib.Path, nargs='+', metavar='LOG')
    parser.add_argument(
        '--request',
        metavar='ID',
        help='only the events of one request, and the other events of the '
        'processes that handled it',
    )
    parser.add_argument(
        '--before',
        type=float,
        default=timeline.CONTEXT_S,
        metavar='SECONDS',
        help='how long before the request these other events may be '
        '(default: %(default)s)',
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Merge the log files; times are relative to the first event."""
    all_events: list[timeline.Event] = []
    for path in arguments.logs:
        try:
            all_events += timeline.read(path)
        except OSError as error:
            return report.rejected(
                ctl_errors.UnreadableLog(str(error), 'name a readable file')
            )
    events = timeline.merge(all_events)
    if arguments.request:
        events = timeline.filter_by_request(
            events, arguments.request, arguments.before
        )
    origin = events[0].at if events else 0.0
    return report.Report(
        exit_codes.OK if events else exit_codes.NEGATIVE,
        '\n'.join(timeline.format_event(event, origin) for event in events),
        {'events': [event._asdict() for event in events]},
    )
