"""Searches randomized schedules for violations of exclusive ownership."""

from __future__ import annotations

import argparse
import sys

from knapweedhall_bench.schedules import world


def main() -> int:
    """Run the schedules; return 1 if one violates a check."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=0, help='first seed')
    parser.add_argument('--seeds', type=int, default=100, help='how many')
    parser.add_argument('--length-s', type=float, default=25.0)
    arguments = parser.parse_args()
    failed = terms = activations = executed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        schedule = world.World(seed)
        found = schedule.run(arguments.length_s)
        terms += len(schedule.terms)
        activations += schedule.activations
        executed += schedule.executed
        if found:
            failed += 1
            print(f'seed {seed} at {schedule.time:.3f} s: {found}')
    print(
        f'{arguments.seeds} schedules of {arguments.length_s} s: '
        f'{failed} violated, {terms} terms, {activations} activations, '
        f'{executed} requests executed'
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
