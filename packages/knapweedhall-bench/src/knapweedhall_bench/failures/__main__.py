"""Runs failure scripts and prints one table."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

import loguru

from knapweedhall_bench.failures import runner
from knapweedhall_bench.failures import scripts


def format_report(report: runner.Report) -> list[str]:
    """Return one line per service, and one per point that is broken."""
    lines = []
    for service, summary in report.summaries.items():
        counts = ' '.join(
            f'{name}={count}' for name, count in summary.counts.items()
        )
        lines.append(
            f'{report.name} {service:19} {counts} wrong={summary.wrong} '
            f'p99={summary.p99_ms:.0f}ms '
            f'unserved={summary.longest_unserved_ms:.0f}ms'
        )
    lines.append(
        f'{report.name} records={report.appends} '
        f'slices_moved={report.slices_moved}'
    )
    for result in report.results:
        if result.verdict.tag != 'holds':
            text = str(result.verdict)[:600]
            lines.append(
                f'    point {result.number} {result.verdict.tag}: {text}'
            )
    return lines


def main() -> int:
    """Run the command; the status is 1 if a point was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='scripts; all if none')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--folder', type=pathlib.Path)
    options = parser.parse_args()
    loguru.logger.remove()
    broken = False
    for name in options.names or scripts.ALL:
        folder = options.folder / name if options.folder else None
        report = asyncio.run(runner.run(name, options.seed, folder))
        print('\n'.join(format_report(report)), flush=True)
        broken |= bool(report.broken())
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
