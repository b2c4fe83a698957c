"""`owners`: prints the owners of the keys of a service."""

from __future__ import annotations

import argparse
import asyncio
import typing

import msgspec

from knapweedhall_ctl import connection
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_records import errors
from knapweedhall_router.control import coordinator_store
from knapweedhall_routing import holdings
from knapweedhall_routing import model

EXAMPLE = """example:
  knapweedhallctl owners ledger 4096-8191"""


class _KeyRange(typing.NamedTuple):
    """Keys from `first` to `last`, both included."""

    first: int
    last: int


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'owners', help='print the owners of keys', epilog=EXAMPLE
    )
    parser.add_argument('service')
    parser.add_argument(
        'keys',
        nargs='?',
        default='',
        help='KEY or FIRST-LAST (default: all keys)',
    )
    connection.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Print the owners of the requested keys, as recorded in the store."""
    keys = _parse(arguments.keys)
    if isinstance(keys, errors.Refusal):
        return report.rejected(keys)
    assignment = asyncio.run(_assignment(arguments))
    selected = [
        stored_range
        for stored_range in assignment
        if stored_range.first <= keys.last and keys.first <= stored_range.last
    ]
    return report.Report(
        exit_codes.OK if selected else exit_codes.NEGATIVE,
        report.table(
            ('first', 'last', 'upstream', 'address'),
            [
                (
                    stored_range.first,
                    stored_range.last,
                    stored_range.upstream,
                    f'{stored_range.host}:{stored_range.port}',
                )
                for stored_range in selected
            ],
        ),
        {'owners': [stored_range._asdict() for stored_range in selected]},
    )


def _parse(text: str) -> _KeyRange | errors.Refusal:
    if not text:
        return _KeyRange(0, model.KEY_COUNT - 1)
    first, _, last = text.partition('-')
    if not _is_key(first) or (last and not _is_key(last)):
        return errors.InvalidField(
            f'{text!r} is not a key or a range of keys',
            f'use numbers from 0 to {model.KEY_COUNT - 1}',
        )
    return _KeyRange(int(first), int(last or first))


def _is_key(text: str) -> bool:
    # `str.isdigit` alone accepts digits that `int` rejects, and `int` rejects
    # more than 4300 digits.
    is_number = text.isascii() and text.isdigit()
    is_short = len(text) <= len(str(model.KEY_COUNT))
    return is_number and is_short and int(text) < model.KEY_COUNT


async def _assignment(
    arguments: argparse.Namespace,
) -> list[holdings.StoredRange]:
    async with connection.connect(arguments) as client:
        page = await connection.read_newest(client, coordinator_store.TOPIC)
    key = coordinator_store.TABLE_PREFIX + arguments.service
    for record in page.records:
        if record.key == key and record.value:
            return msgspec.json.decode(
                record.value, type=list[holdings.StoredRange]
            )
    return []
