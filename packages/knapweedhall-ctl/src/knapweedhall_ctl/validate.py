"""`validate`: checks a record file without contacting the platform."""

from __future__ import annotations

import argparse
import pathlib

from knapweedhall_ctl import draft
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_records import codec
from knapweedhall_records import errors

EXAMPLE = """example:
  knapweedhallctl validate ledger.json"""


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'validate', help='check a record file', epilog=EXAMPLE
    )
    add_record_arguments(parser)
    parser.set_defaults(run=run)


def add_record_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that name a record and its writer."""
    parser.add_argument('file', type=pathlib.Path, help='record as JSON')
    add_writer_argument(parser)


def add_writer_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument that names the writer of a record."""
    parser.add_argument(
        '--writer',
        metavar='NAME',
        help='operator who writes the record (default: the login name)',
    )


def run(arguments: argparse.Namespace) -> report.Report:
    """Check the file; it may omit the fields that `publish` fills in."""
    fields = draft.read(arguments.file)
    if isinstance(fields, errors.Refusal):
        return report.rejected(fields)
    author = draft.author_of(arguments)
    record = draft.check(draft.complete(fields, 0, author))
    if isinstance(record, errors.Refusal):
        return report.rejected(record)
    retired = codec.retired_fields(record.kind, fields['body'])
    text = f'valid: {record.kind} {record.name}'
    if retired:
        text += f'; retired fields without effect: {", ".join(retired)}'
    return report.Report(
        exit_codes.OK,
        text,
        {
            'outcome': 'valid',
            'kind': record.kind,
            'name': record.name,
            'retired': retired,
        },
    )
