"""Targets of the load policy, judged on measured figures."""

from __future__ import annotations

import typing

from knapweedhall_bench.experiments import report

STRAGGLER_RATIO = 2.0
HOTTEST_RATIO = 1.5
CHURN_RATIO = 1.3
UNSERVED_MS = 2000


class Target(typing.NamedTuple):
    """One target and what was measured."""

    name: str
    met: bool
    measured: str


def judge_policy(
    steady: report.ScenarioFigures, slowed: report.ScenarioFigures
) -> list[Target]:
    """Judge p99 under stragglers against the undisturbed p99."""
    found = []
    for name, one in slowed.services.items():
        calm = steady.services[name].latencies.p99_ms
        p99 = one.latencies.p99_ms
        ratio = p99 / calm if calm else 0.0
        found.append(
            Target(
                f'{slowed.profile} {slowed.policy} {name}: p99 with '
                f'stragglers at most {STRAGGLER_RATIO:g} times undisturbed',
                bool(one.answered) and ratio <= STRAGGLER_RATIO,
                f'{p99:.0f}/{calm:.0f} ms = {ratio:.2f}',
            )
        )
    return found


def judge(found: report.ScenarioFigures) -> list[Target]:
    """Judge one scenario."""
    place = f'{found.profile} {found.scenario}'
    targets = [
        Target(
            f'{place}: cold {each.upstream} never above its budget',
            max(each.peak, each.bears) == each.bears and not each.refused,
            f'{each.peak} of {each.bears}, {each.refused} refused',
        )
        for each in found.cold
    ]
    for name, one in found.services.items():
        targets += _judge_service(f'{place} {name}', found.scenario, one)
    return targets


def _judge_service(
    place: str, scenario: str, one: report.ServiceFigures
) -> list[Target]:
    targets = [
        Target(
            f'{place}: no work done twice',
            not one.done_twice,
            str(one.done_twice),
        )
    ]
    if scenario == report.DOMAIN_OUT:
        bad = one.cut + one.unknown
        targets.append(
            Target(f'{place}: no request cut or unknown', not bad, str(bad))
        )
    if one.hottest:
        worst = max(one.hottest)
        targets.append(
            Target(
                f'{place}: hottest key at most {HOTTEST_RATIO:g} times a '
                'perfect placement',
                worst <= HOTTEST_RATIO,
                f'{worst:.2f}',
            )
        )
    if one.churn is not None:
        targets.append(
            Target(
                f'{place}: churn at most {CHURN_RATIO:g} times the least',
                one.churn.moves <= CHURN_RATIO * one.churn.least,
                f'{one.churn.moves} moves, least {one.churn.least}',
            )
        )
        targets.append(
            Target(
                f'{place}: longest unserved at most {UNSERVED_MS} ms',
                one.longest_unserved_ms <= UNSERVED_MS,
                f'{one.longest_unserved_ms:.0f} ms',
            )
        )
    return targets
