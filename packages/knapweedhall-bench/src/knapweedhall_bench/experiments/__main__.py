"""Runs the experiments and prints one table for each scenario."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import signal
import sys
import time
import typing

import loguru

from knapweedhall_bench import deployment
from knapweedhall_bench.experiments import profiles
from knapweedhall_bench.experiments import report
from knapweedhall_bench.experiments import scenarios
from knapweedhall_bench.experiments import session
from knapweedhall_bench.experiments import targets
from knapweedhall_bench import instance_settings
from knapweedhall_bench import publishing
from knapweedhall_traffic import selection

FOLDER = pathlib.Path('var/bench')


def parse_arguments(arguments: typing.Sequence[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--deployment', action='append', choices=sorted(profiles.ALL)
    )
    parser.add_argument(
        '--scenario', action='append', choices=sorted(scenarios.ALL)
    )
    parser.add_argument(
        '--policy', action='append', choices=sorted(selection.RULES)
    )
    parser.add_argument(
        '--full-policy',
        default=default_policy(),
        choices=sorted(selection.RULES),
        help='policy of the scenarios with all services',
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--folder', type=pathlib.Path, default=FOLDER)
    parser.add_argument(
        '--traces', type=pathlib.Path, help='keep traces in this new folder'
    )
    return parser.parse_args(arguments)


def default_policy() -> str:
    """Return the policy that deployments have by default."""
    return str(instance_settings.Options('').choice_policy)


def _chosen(
    among: typing.Sequence[scenarios.Scenario],
    names: typing.Sequence[str] | None,
) -> list[scenarios.Scenario]:
    return [each for each in among if names is None or each.name in names]


def _place(options: argparse.Namespace, name: str) -> pathlib.Path | None:
    return options.traces / name if options.traces else None


async def run_full(
    profile: profiles.Profile, options: argparse.Namespace
) -> list[targets.Target]:
    """Run the scenarios with all services on one deployment."""
    chosen = _chosen(scenarios.FULL, options.scenario)
    if not chosen:
        return []
    found = await session.run(
        profile,
        chosen,
        options.full_policy,
        options.seed,
        True,
        _place(options, f'{profile.name}-full'),
    )
    judged = []
    for one in found.played:
        figures = report.examine(found, one, options.seed)
        print(report.format_table(figures), flush=True)
        name = f'{profile.name}-{figures.scenario}'
        report.write(options.folder, name, figures)
        judged += targets.judge(figures)
    return judged


async def run_policies(
    profile: profiles.Profile, options: argparse.Namespace
) -> list[targets.Target]:
    """Run the scenarios of the `choice` services once for each policy."""
    chosen = _chosen(scenarios.POLICY, options.scenario)
    if not chosen:
        return []
    columns: dict[str, dict[str, report.ServiceFigures]] = {}
    every: dict[str, list[report.ScenarioFigures]] = {}
    judged = []
    for policy in options.policy or selection.RULES:
        found = await session.run(
            profile,
            chosen,
            policy,
            options.seed,
            False,
            _place(options, f'{profile.name}-{policy}'),
        )
        several = [
            report.examine(found, one, options.seed) for one in found.played
        ]
        for each in several:
            every.setdefault(each.scenario, []).append(each)
            for service, one in each.services.items():
                place = f'{each.scenario} {service}'
                columns.setdefault(place, {})[policy] = one
        if len(several) == len(scenarios.POLICY):
            judged += targets.judge_policy(*several)
    for place, by_policy in columns.items():
        print(f'== {profile.name}: {place}, by policy')
        print('\n'.join(report.format_columns(by_policy)), flush=True)
    for name, several in every.items():
        report.write(options.folder, f'{profile.name}-{name}', several)
    return judged


async def run(options: argparse.Namespace) -> list[targets.Target]:
    """Run all that was asked for."""
    task = asyncio.current_task()
    assert task is not None
    # Without a handler the signal would leave the processes behind.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    judged: list[targets.Target] = []
    for name in options.deployment or profiles.ALL:
        profile = profiles.ALL[name]
        judged += await run_policies(profile, options)
        judged += await run_full(profile, options)
    return judged


def main() -> int:
    """Run the command; a missed target is no error."""
    options = parse_arguments(sys.argv[1:])
    loguru.logger.remove()
    begin = time.monotonic()
    # Tells figures taken beside other work from those of an idle machine.
    print('load of the machine before: %.1f %.1f %.1f' % os.getloadavg())
    try:
        judged = asyncio.run(run(options))
    except (deployment.StartFailed, publishing.PublishFailed) as error:
        print(f'experiment failed: {error}', file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        print('experiment failed: stopped by a signal', file=sys.stderr)
        return 1
    for each in judged:
        verdict = 'met   ' if each.met else 'MISSED'
        print(f'{verdict} {each.name}: {each.measured}')
    report.write(options.folder, 'targets', judged)
    print('load of the machine after: %.1f %.1f %.1f' % os.getloadavg())
    print(f'took {time.monotonic() - begin:.0f} s')
    return 0


if __name__ == '__main__':
    sys.exit(main())
