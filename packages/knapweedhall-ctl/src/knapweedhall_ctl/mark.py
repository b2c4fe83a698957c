"""`mark`: marks a failure domain or an instance as in or out of service."""

from __future__ import annotations

import argparse

from knapweedhall_ctl import connection
from knapweedhall_ctl import publish
from knapweedhall_ctl import report
from knapweedhall_ctl import validate

EXAMPLE = """example:
  knapweedhallctl mark domain north out"""
SCHEMA = 2


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'mark',
        help='mark a failure domain or an instance as in or out of service',
        epilog=EXAMPLE,
    )
    parser.add_argument('what', choices=('domain', 'instance'))
    parser.add_argument('name')
    parser.add_argument('state', choices=('in', 'out'))
    validate.add_writer_argument(parser)
    connection.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Publish the mark."""
    fields = {
        'kind': 'mark',
        'schema': SCHEMA,
        'name': f'{arguments.what}/{arguments.name}',
        'body': {'state': arguments.state},
    }
    return publish.send(arguments, fields)
