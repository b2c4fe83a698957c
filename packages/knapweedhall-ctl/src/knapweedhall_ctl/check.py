"""`check`: prints the verdicts on the ten points for recorded traces."""

from __future__ import annotations

import argparse
import typing

from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_ctl import traces
from knapweedhall_ctl import validate
from knapweedhall_records import errors
from knapweedhall_replay import checker
from knapweedhall_replay import text
from knapweedhall_replay import verdicts


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser('check', help='check the ten points')
    traces.add_trace_arguments(parser)
    parser.add_argument(
        '--no-token-check',
        action='append',
        default=[],
        metavar='SERVICE',
        help='service whose upstreams check no tokens; may be repeated',
    )
    parser.add_argument(
        '--strict',
        action='store_true',
        help='count a point that is not decidable as broken',
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Check the traces of the files together."""
    found = traces.read(arguments.traces)
    if isinstance(found, errors.Refusal):
        return validate.rejected(found)
    results = checker.check(found, frozenset(arguments.no_token_check))
    bad: tuple[type, ...] = (verdicts.Broken,)
    if arguments.strict:
        bad += (verdicts.Undecidable,)
    failed = any(isinstance(result.verdict, bad) for result in results)
    lines = [line for row in results for line in text.result_lines(row)]
    return report.Report(
        exit_codes.NEGATIVE if failed else exit_codes.OK,
        '\n'.join(lines),
        {'points': [_fields(result) for result in results]},
    )


def _fields(result: checker.Result) -> dict[str, typing.Any]:
    return {
        'point': result.number,
        'title': result.title,
        'verdict': result.verdict.tag,
        'explanation': text.verdict_lines(result.verdict),
    }
