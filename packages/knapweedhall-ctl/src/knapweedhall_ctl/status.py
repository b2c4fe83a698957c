"""`status`: prints the coordinator and each instance's configuration."""

from __future__ import annotations

import argparse
import asyncio

from knapweedhall_ctl import connection
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import report
from knapweedhall_router.links import messages

# Share of its limit from which an upstream is listed; at lower loads, requests
# are not limited.
LISTED_SHARE = 0.75

EXAMPLE = """example:
  knapweedhallctl status --store 10.200.1.7:8541"""


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of this command."""
    parser = commands.add_parser(
        'status', help='print the state of all instances', epilog=EXAMPLE
    )
    connection.add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> report.Report:
    """Print the state of all instances, as the coordinator reports it.

    The exit code is `exit_codes.NEGATIVE` if the instances have different
    configurations.
    """
    overview = asyncio.run(_overview(arguments))
    unowned = {
        service: sum(
            wire_range[1] - wire_range[0] + 1
            for wire_range in wire_ranges
            if not wire_range[2]
        )
        for service, wire_ranges in overview.services.items()
    }
    agree = len(set(overview.versions.values())) <= 1
    text = '\n\n'.join(
        (
            f'coordinator {overview.coordinator}, term {overview.epoch}'
            + (', no access to the store' if overview.lease_expired else ''),
            report.table(
                ('instance', 'configuration'),
                sorted(overview.versions.items()),
            ),
            report.table(
                ('service', 'ranges', 'keys without owner'),
                [
                    (service, len(wire_ranges), unowned[service])
                    for service, wire_ranges in sorted(
                        overview.services.items()
                    )
                ],
            ),
        )
    )
    limited = _limited(overview)
    if limited:
        text += '\n\n' + report.table(
            ('upstream', 'limit', 'slots', 'load', 'service ms'), limited
        )
    return report.Report(
        exit_codes.OK if agree else exit_codes.NEGATIVE,
        text,
        {
            'coordinator': overview.coordinator,
            'epoch': overview.epoch,
            'blind': overview.lease_expired,
            'versions': overview.versions,
            'unowned': unowned,
            'limits': overview.limits,
        },
    )


def _limited(
    overview: messages.Overview,
) -> list[tuple[str, float, int, float, int]]:
    """Return the upstreams that are near their limit or have a lower one."""
    return [
        (name, limit, slots, load, round(1000 * service_s))
        for name, (limit, load, service_s, slots) in sorted(
            overview.limits.items()
        )
        if load >= LISTED_SHARE * limit or limit < LISTED_SHARE * slots
    ]


async def _overview(arguments: argparse.Namespace) -> messages.Overview:
    async with connection.connect(arguments) as client:
        return await connection.query_overview(client)
