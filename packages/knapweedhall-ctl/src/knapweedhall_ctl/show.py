"""`show`: prints the records in force."""

from __future__ import annotations

import argparse
import asyncio
import typing

from knapweedhall_ctl import connection
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors
from knapweedhall_router.control import operator_records

EXAMPLE = """example:
  knapweedhallctl show service ledger"""
HEADER = ('kind', 'name', 'version', 'schema', 'writer', 'body')


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'show', help='print the records in force', epilog=EXAMPLE
    )
    parser.add_argument('kind', nargs='?', choices=codec.KINDS)
    parser.add_argument('name', nargs='?')
    connection.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Print the records that the arguments select, by default all."""
    records = asyncio.run(_records(arguments))
    selected = [
        record
        for record in records
        if arguments.kind in (None, record.kind)
        and arguments.name in (None, record.name)
    ]
    return report.Report(
        exit_codes.OK if selected else exit_codes.NEGATIVE,
        report.table(HEADER, map(_row, selected)),
        {
            'records': [
                {**record._asdict(), 'body': _body(record)}
                for record in selected
            ]
        },
    )


def _body(record: bodies.Record) -> dict[str, typing.Any]:
    return codec.body_fields(record.body, record.schema)


def _row(record: bodies.Record) -> tuple[object, ...]:
    fields = _body(record)
    if isinstance(record.body, bodies.Workspace):
        # What terminals print is often kept.
        fields['keys'] = f'({len(record.body.keys)}, see --json)'
    body = ' '.join(f'{name}={value}' for name, value in fields.items())
    return (
        record.kind,
        record.name,
        record.version,
        record.schema,
        record.writer,
        body,
    )


async def _records(arguments: argparse.Namespace) -> list[bodies.Record]:
    async with connection.connect(arguments) as client:
        page = await connection.read_newest(client, operator_records.TOPIC)
    decoded = [codec.decode(stored.value) for stored in page.records]
    return sorted(
        (
            record
            for record in decoded
            if not isinstance(record, errors.Refusal)
        ),
        key=lambda record: record.key,
    )
