"""`publish`: appends a record and reports whether it came into force."""

from __future__ import annotations

import argparse
import asyncio

from knapweedhall_adapter import store
from knapweedhall_ctl import connection
from knapweedhall_ctl import draft
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import record_log
from knapweedhall_ctl import report
from knapweedhall_ctl import validate
from knapweedhall_records import bodies
from knapweedhall_records import errors

EXAMPLE = """example:
  knapweedhallctl publish --store 10.200.1.7:8541 ledger.json"""


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'publish', help='append a record', epilog=EXAMPLE
    )
    validate.add_record_arguments(parser)
    connection.add_arguments(parser)
    parser.add_argument(
        '--replaces',
        type=int,
        metavar='N',
        help='version that the record replaces (default: the one in force)',
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Publish the record in the file."""
    fields = draft.read(arguments.file)
    if isinstance(fields, errors.Refusal):
        return report.rejected(fields)
    if arguments.replaces is not None:
        fields['replaces'] = arguments.replaces
    return send(arguments, fields)


def send(arguments: argparse.Namespace, fields: draft.Draft) -> report.Report:
    """Check a draft, publish it and report the outcome."""
    author = draft.author_of(arguments)
    record = draft.check(draft.complete(fields, 0, author))
    if isinstance(record, errors.Refusal):
        return report.rejected(record)
    return asyncio.run(_connect_and_publish(arguments, fields, author))


async def _connect_and_publish(
    arguments: argparse.Namespace, fields: draft.Draft, author: draft.Author
) -> report.Report:
    deadline = asyncio.get_running_loop().time() + arguments.timeout
    async with connection.connect(arguments) as client:
        return await publish(client, fields, author, deadline)


async def publish(
    client: store.StoreClient,
    fields: draft.Draft,
    author: draft.Author,
    deadline: float,
) -> report.Report:
    """Complete a record from the version in force and append it.

    Parameters
    ----------
    client : store.StoreClient
        Client of the store.
    fields : dict
        JSON fields of the record; `draft.complete` adds those that are absent.
    author : draft.Author
        Author of the record.
    deadline : float
        When to give up, in seconds of the event loop's clock.
    """
    key = f'{fields["kind"]}/{fields["name"]}'
    state = await record_log.read_state(client, key, deadline)
    if isinstance(state, record_log.Unavailable):
        return _unavailable(state)
    record = draft.check(draft.complete(fields, state.version, author))
    if isinstance(record, errors.Refusal):
        return report.rejected(record)
    if record.replaces != state.version:
        return _conflict(record, state.version)
    result = await record_log.append(client, record, state, deadline)
    if isinstance(result, record_log.Unavailable):
        return _unavailable(result)
    if isinstance(result, errors.Refusal):
        return report.rejected(result)
    if isinstance(result, record_log.Conflict):
        return _conflict(record, result.in_force)
    return report.Report(
        exit_codes.OK,
        f'accepted: {record.kind} {record.name} version {record.version} '
        f'at offset {result.offset}',
        {'outcome': 'accepted', 'offset': result.offset, **_identity(record)},
    )


def _identity(record: bodies.Record) -> dict[str, str | int]:
    return {
        'kind': record.kind,
        'name': record.name,
        'version': record.version,
        'replaces': record.replaces,
    }


def _conflict(record: bodies.Record, in_force: int) -> report.Report:
    conflict = errors.VersionConflict(
        f'version {in_force} is in force',
        'read that version, apply your change to it and publish it with '
        f'--replaces {in_force}',
    )
    return report.Report(
        exit_codes.NEGATIVE,
        f'conflict: {record.kind} {record.name}: {conflict}',
        {
            'outcome': 'conflict',
            'error': conflict.tag,
            'reason': conflict.reason,
            'remedy': conflict.remedy,
            'in_force': in_force,
            **_identity(record),
        },
    )


def _unavailable(failure: record_log.Unavailable) -> report.Report:
    if not failure.sent:
        return report.unavailable(f'{failure.reason}; nothing was appended')
    return report.Report(
        exit_codes.OUTCOME_UNKNOWN,
        f'unknown: {failure.reason}; the record may still come into force; '
        'check with knapweedhallctl show before you publish it again',
        {'outcome': 'unknown', 'reason': failure.reason},
    )
