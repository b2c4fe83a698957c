"""Command line of `knapweedhallctl`."""

from __future__ import annotations

import argparse
import sys

from knapweedhall_ctl import connection
from knapweedhall_ctl import explain
from knapweedhall_ctl import mark
from knapweedhall_ctl import owners
from knapweedhall_ctl import publish
from knapweedhall_ctl import report
from knapweedhall_ctl import show
from knapweedhall_ctl import status
from knapweedhall_ctl import timeline
from knapweedhall_ctl import validate

COMMANDS = (publish, validate, mark, show, status, owners, explain, timeline)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog='knapweedhallctl',
        description='Manage and inspect a fleet of knapweedhall instances.',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    for command in COMMANDS:
        command.add_parser(commands)
    for command_parser in commands.choices.values():
        command_parser.formatter_class = argparse.RawDescriptionHelpFormatter
        # Without SUPPRESS the default would reset a --json given before the
        # command.
        command_parser.add_argument(
            '--json', action='store_true', default=argparse.SUPPRESS
        )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run a command and return its exit code.

    Parameters
    ----------
    argv : list of str or None
        Command line arguments; None for those of the process.
    """
    arguments = build_parser().parse_args(argv)
    try:
        result = arguments.run(arguments)
    except connection.Unanswered as error:
        result = report.unavailable(str(error))
    return report.show(result, arguments.json)


if __name__ == '__main__':
    sys.exit(main())
