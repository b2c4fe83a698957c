"""`publish`: appends a record and reports whether it came into force."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import typing

from knapweedhall_ctl import draft
from knapweedhall_ctl import exchange
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_ctl import validate
from knapweedhall_ctl import winners as log_winners
from knapweedhall_events import trace
from knapweedhall_platform import client
from knapweedhall_platform import outcomes
from knapweedhall_records import bodies
from knapweedhall_records import errors

DEFAULT_PLATFORM = '127.0.0.1:7000'
DEFAULT_STREAM = 'knapweedhall'
DEFAULT_TIMEOUT_S = 10.0


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser('publish', help='append a record')
    validate.add_record_arguments(parser)
    parser.add_argument(
        '--platform', default=DEFAULT_PLATFORM, metavar='ADDRESS'
    )
    parser.add_argument('--stream', default=DEFAULT_STREAM, metavar='NAME')
    parser.add_argument(
        '--replaces',
        type=int,
        metavar='N',
        help='version that the record replaces; default: the one in force',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar='SECONDS',
        help='how long to try while the platform does not respond',
    )
    parser.add_argument(
        '--trace',
        type=pathlib.Path,
        metavar='FILE',
        help='trace file that gets the event of the outcome',
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Publish the record of the file."""
    fields = draft.read(arguments.file)
    if isinstance(fields, errors.Refusal):
        return validate.rejected(fields)
    if arguments.replaces is not None:
        fields['replaces'] = arguments.replaces
    author = draft.author_of(arguments)
    early = draft.check(draft.complete(fields, 0, author))
    if isinstance(early, errors.Refusal):
        return validate.rejected(early)
    result = asyncio.run(_connect(arguments, fields, author))
    if arguments.trace:
        _write_event(arguments.trace, author, result.fields)
    return result


def _write_event(
    path: pathlib.Path, author: draft.Author, fields: dict[str, typing.Any]
) -> None:
    process = f'{author.writer}.{author.incarnation}'
    named = {
        'kind': fields.get('kind'),
        'record': fields.get('name'),
        'version': fields.get('version'),
    }
    writer = trace.TraceWriter(process, path)
    if fields['outcome'] == 'accepted':
        writer.emit('record_accepted', offset=fields['offset'], **named)
    elif fields['outcome'] == 'conflict':
        writer.emit('record_conflict', in_force=fields['in_force'], **named)
    writer.close()


async def _connect(
    arguments: argparse.Namespace, fields: draft.Draft, author: draft.Author
) -> report.Report:
    deadline = asyncio.get_running_loop().time() + arguments.timeout
    async with client.open_session() as session:
        log = client.LogClient(session, arguments.platform, arguments.stream)
        return await publish(log, fields, author, deadline)


async def publish(
    log: exchange.Log,
    fields: draft.Draft,
    author: draft.Author,
    deadline: float,
) -> report.Report:
    """Complete the record from the log, append it and read it back.

    Parameters
    ----------
    log : exchange.Log
        Client of the log.
    fields : dict
        Record from the file.
    author : draft.Author
        Writer of the record.
    deadline : float
        When to give up, in seconds of the event loop's clock.
    """
    loaded = await exchange.load(log, deadline)
    if isinstance(loaded, exchange.Unavailable):
        return _unavailable(loaded)
    if isinstance(loaded, errors.Refusal):
        return validate.rejected(loaded)
    reader, winners = loaded
    in_force = winners.version(str(fields['kind']), str(fields['name']))
    record = draft.check(draft.complete(fields, in_force, author))
    if isinstance(record, errors.Refusal):
        return validate.rejected(record)
    if record.replaces != in_force:
        return _conflict(record, in_force, None)
    result = await exchange.append_and_confirm(
        reader, winners, record, deadline
    )
    return _result(record, result)


def _result(
    record: bodies.Record,
    result: (
        log_winners.Verdict | outcomes.AppendRefused | exchange.Unavailable
    ),
) -> report.Report:
    if isinstance(result, exchange.Unavailable):
        return _unavailable(result)
    if isinstance(result, outcomes.AppendRefused):
        return validate.rejected(
            errors.MalformedRecord(result.reason, result.remedy)
        )
    if not result.won:
        return _conflict(record, result.in_force, result.offset)
    return report.Report(
        exit_codes.OK,
        f'accepted: {record.kind} {record.name} version {record.version} '
        f'at offset {result.offset}',
        {'outcome': 'accepted', 'offset': result.offset, **_named(record)},
    )


def _named(record: bodies.Record) -> dict[str, str | int]:
    return {
        'kind': record.kind,
        'name': record.name,
        'version': record.version,
        'replaces': record.replaces,
    }


def _conflict(
    record: bodies.Record, in_force: int, offset: int | None
) -> report.Report:
    conflict = errors.VersionConflict(
        f'version {in_force} is in force',
        'read it, apply your change, publish again with '
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
            'offset': offset,
            **_named(record),
        },
    )


def _unavailable(failure: exchange.Unavailable) -> report.Report:
    if not failure.sent:
        return report.Report(
            exit_codes.PLATFORM_UNAVAILABLE,
            f'unavailable: {failure.reason}; nothing was appended; '
            'check --platform and publish again',
            {'outcome': 'unavailable', 'reason': failure.reason},
        )
    return report.Report(
        exit_codes.OUTCOME_UNKNOWN,
        f'unknown: {failure.reason}; the record may come into force; '
        'read GET /knapweedhall/status of an instance before publishing again',
        {'outcome': 'unknown', 'reason': failure.reason},
    )
