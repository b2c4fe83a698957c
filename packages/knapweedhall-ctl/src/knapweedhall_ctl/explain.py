"""`explain`: prints where an instance would send a request, and why."""

from __future__ import annotations

import argparse
import asyncio
import typing

import msgspec

from knapweedhall_ctl import connection
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_records import errors
from knapweedhall_router.links import messages
from knapweedhall_routing import model

EXAMPLE = """example:
  knapweedhallctl explain 10.200.1.7:8002 shop.example /view/17 --key 4096"""
HEADER = (
    'upstream',
    'domain',
    'state',
    'cost ms',
    'latency ms',
    'load',
    'slots',
    'own requests',
    'failures',
    'connected',
    'pause s',
)


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'explain',
        help='print where a request would go now, without sending it',
        epilog=EXAMPLE,
    )
    parser.add_argument(
        'instance',
        metavar='ADDRESS',
        help='IP:PORT of an instance, its port for other instances',
    )
    parser.add_argument('host')
    parser.add_argument('path')
    parser.add_argument('--method', default='GET')
    parser.add_argument('--key', default='', help='key of a divided service')
    parser.add_argument(
        '--workspace', default='', help='name of the caller\'s workspace'
    )
    parser.add_argument(
        '--body-bytes', type=int, default=0, help='size of the body'
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Print where a request would go.

    The exit code is `exit_codes.NEGATIVE` if it would be refused.
    """
    try:
        address = model.parse_address(arguments.instance)
    except ValueError as error:
        return report.rejected(
            errors.InvalidField(
                f'{arguments.instance!r}: {error}', 'use IP:PORT'
            )
        )
    explanation = asyncio.run(
        connection.query_explanation(
            address,
            messages.ExplainRequest(
                arguments.host,
                arguments.path,
                arguments.method,
                arguments.key,
                arguments.workspace,
                arguments.body_bytes,
            ),
        )
    )
    return report.Report(
        exit_codes.OK if explanation.upstream else exit_codes.NEGATIVE,
        _describe(explanation),
        _fields(explanation),
    )


def _fields(explanation: messages.Explanation) -> dict[str, typing.Any]:
    """Return an explanation with the names of its fields."""
    fields = _named(explanation)
    fields['candidates'] = [_named(each) for each in explanation.candidates]
    return fields


def _named(message: msgspec.Struct) -> dict[str, typing.Any]:
    # Messages are encoded as arrays.
    return {name: getattr(message, name) for name in message.__struct_fields__}


def _describe(explanation: messages.Explanation) -> str:
    """Return the text for people."""
    lines = [
        f'instance {explanation.instance}, configuration '
        f'{explanation.version}'
    ]
    if explanation.route:
        lines.append(
            f'route {explanation.route}, service {explanation.service or "-"},'
            f' priority {explanation.priority}'
        )
    if explanation.upstream:
        lines.append(
            f'would be sent to {explanation.upstream}: {explanation.reason}'
        )
    else:
        lines.append(
            f'would be refused with {explanation.status}: '
            f'{explanation.reason}'
            + (
                f', retry after {explanation.retry_after_s:.3f} s'
                if explanation.retry_after_s
                else ''
            )
        )
    if explanation.candidates:
        rows = [
            (
                each.upstream,
                each.failure_domain,
                each.state,
                each.cost_ms,
                each.latency_ms,
                each.load,
                each.slots,
                f'{each.outstanding}/{each.max_outstanding}',
                each.failure_share,
                'yes' if each.connected else 'no',
                each.pause_s,
            )
            for each in explanation.candidates
        ]
        lines += ['', report.table(HEADER, rows)]
    return '\n'.join(lines)
