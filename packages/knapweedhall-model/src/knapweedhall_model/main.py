"""Runs the explorations of the model and prints their results."""

from __future__ import annotations

import argparse
import concurrent.futures
import sys
import typing

from knapweedhall_model import exploration
from knapweedhall_model import scenarios

# Number of explorations that run in parallel; four fit into the memory of a
# small machine.
MAX_PROCESSES = 4


class Task(typing.NamedTuple):
    """One exploration to run."""

    title: str
    scenario: scenarios.Scenario | scenarios.MergeScenario
    removed: str = ''


def tasks(broken: bool) -> list[Task]:
    """Return explorations of the protocol, or without each safeguard."""
    if not broken:
        return [
            Task(str(scenario), scenario) for scenario in scenarios.SCENARIOS
        ]
    return [
        Task(
            f'without {removal.guard} ({removal.meaning})',
            removal.scenario,
            removal.guard,
        )
        for removal in scenarios.REMOVALS
    ]


def run(task: Task) -> exploration.Exploration:
    """Run one exploration."""
    return task.scenario.explore(task.removed)


def show(
    task: Task, result: exploration.Exploration, broken: bool, trace: bool
) -> bool:
    """Print a result; return whether it is the expected one."""
    outcome = result.violation or 'no invariant broken'
    if result.violation:
        # A path contains a state and an action for each step.
        outcome += f' after {len(result.steps) // 2} steps'
    print(
        f'{task.title}: {result.states} states in {result.seconds:.1f} s, '
        f'{outcome}'
    )
    if result.violation and (trace or not broken):
        print('\n'.join(f'    {step}' for step in result.steps))
    return bool(result.violation) == broken


def main() -> int:
    """Run all explorations; return 0 if all results are as expected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--broken',
        action='store_true',
        help='remove one safeguard at a time; each must break an invariant',
    )
    parser.add_argument(
        '--trace', action='store_true', help='print counterexamples'
    )
    arguments = parser.parse_args()
    planned = tasks(arguments.broken)
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        results = list(pool.map(run, planned))
    as_expected = [
        show(task, result, arguments.broken, arguments.trace)
        for task, result in zip(planned, results)
    ]
    states = sum(result.states for result in results)
    print(f'{states} states, {as_expected.count(False)} unexpected results')
    return 0 if all(as_expected) else 1


if __name__ == '__main__':
    sys.exit(main())
