"""Figures of a scenario per service, as a table and as JSON."""

from __future__ import annotations

import collections
import pathlib
import typing

import msgspec

from knapweedhall_bench import evidence
from knapweedhall_bench.experiments import figures
from knapweedhall_bench.experiments import profiles
from knapweedhall_bench.experiments import scenarios
from knapweedhall_bench.experiments import session
from knapweedhall_bench import results

CUT = (results.BROKEN, results.LOST)
DOMAIN_OUT = 'domain-out'
FIRST_DOMAIN = 1


class ServiceFigures(typing.NamedTuple):
    """Figures of one service in one scenario.

    Attributes
    ----------
    imbalance : float
        Max/mean of the work over the upstreams.
    churn : figures.Churn or None
        Movement; None for a service without owners.
    hottest : list of float
        `figures.hottest_ratio` of each hottest key.
    answered, not_run, unknown, cut : int
        Calls by outcome, without the reads that follow failed calls.
    wrong : int
        Answers that were not whole or not the caller's own.
    done_twice, repeated, refused_but_run : int
        Requests as in `evidence.Evidence`.
    customers : dict of str to int
        Answered calls by customer, if the mix tells customers apart.
    unavailable_key_s, longest_unserved_ms : float
        Time during which keys were not served: sum, longest.
    latencies : figures.Latencies
        Of the answered calls.
    """

    imbalance: float
    churn: figures.Churn | None
    hottest: list[float]
    answered: int
    not_run: int
    unknown: int
    cut: int
    wrong: int
    done_twice: int
    repeated: int
    refused_but_run: int
    customers: dict[str, int]
    unavailable_key_s: float
    longest_unserved_ms: float
    latencies: figures.Latencies


class ScenarioFigures(typing.NamedTuple):
    """Figures of one scenario."""

    profile: str
    scenario: str
    policy: str
    seed: int
    services: dict[str, ServiceFigures]
    cold: list[figures.Cold]


def _service_of(call: results.Finished) -> str:
    return call.request.split('/')[1]


def _is_watch(call: results.Finished) -> bool:
    return call.request.rpartition('-')[2].startswith('w')


def _customers(calls: typing.Iterable[results.Finished]) -> dict[str, int]:
    names = (
        call.request.split('/')[2].rpartition('-')[0]
        for call in calls
        if call.outcome == results.ANSWERED
    )
    counts = collections.Counter(names)
    return {name: counts[name] for name in scenarios.CUSTOMERS if counts[name]}


def _churn(
    found: session.Session,
    one: session.Played,
    window: figures.Events,
    calls: typing.Iterable[results.Finished],
) -> figures.Churn:
    service = found.profile.divided
    earlier = figures.within(found.events, 0, one.start_s)
    before, _ = figures.owners_after(earlier, service)
    _, moves = figures.owners_after(window, service, before)
    least = 0
    if one.scenario.name == DOMAIN_OUT:
        # Each slice of the domain has to leave and to return.
        least = 2 * sum(
            found.domains[owner] == FIRST_DOMAIN for owner in before.values()
        )
    keys = {call.key for call in calls}
    return figures.churn(moves, least, keys, profiles.SLICES)


def _service_figures(
    found: session.Session,
    one: session.Played,
    window: figures.Events,
    service: str,
) -> ServiceFigures:
    every = [call for call in one.calls if _service_of(call) == service]
    calls = [call for call in every if not _is_watch(call)]
    counts = collections.Counter(call.outcome for call in calls)
    proof = evidence.examine(window, every)
    upstreams = found.profile.upstreams[service]
    divided = service == found.profile.divided
    hot = sorted({call.key for call in calls if call.key.startswith('hot-')})
    summary = results.summarize(every, one.end_s)
    return ServiceFigures(
        imbalance=figures.imbalance(
            figures.work_by_upstream(window, service), upstreams
        ),
        churn=_churn(found, one, window, calls) if divided else None,
        hottest=[
            _hottest(window, calls, service, key, upstreams) for key in hot
        ],
        answered=counts[results.ANSWERED],
        not_run=counts[results.NOT_RUN],
        unknown=counts[results.UNKNOWN],
        cut=sum(counts[each] for each in CUT),
        wrong=summary.wrong,
        done_twice=len(proof.doubled),
        repeated=len(proof.repeated),
        refused_but_run=len(proof.refused_but_run),
        customers=_customers(calls),
        unavailable_key_s=figures.unavailable_key_s(every, one.end_s),
        longest_unserved_ms=summary.longest_unserved_ms,
        latencies=figures.latencies(calls),
    )


def _hottest(
    window: figures.Events,
    calls: typing.Iterable[results.Finished],
    service: str,
    key: str,
    upstreams: int,
) -> float:
    """Return the ratio of a key, within the time in which it was called."""
    due = [call.due_s for call in calls if call.key == key]
    part = figures.within(window, min(due), max(due))
    return figures.hottest_ratio(part, service, key, upstreams)


def examine(
    found: session.Session, one: session.Played, seed: int
) -> ScenarioFigures:
    """Return the figures of a scenario of a session."""
    window = figures.within(
        found.events, one.start_s, one.end_s + session.GRACE_S
    )
    names = sorted({_service_of(call) for call in one.calls})
    return ScenarioFigures(
        found.profile.name,
        one.scenario.name,
        found.policy,
        seed,
        {name: _service_figures(found, one, window, name) for name in names},
        figures.cold_loads(window, scenarios.COLD_MS / 1000),
    )


def _rows(one: ServiceFigures) -> dict[str, str]:
    """Return the cells of a service, machine-independent ones first."""
    moved = one.churn
    return {
        'imbalance (max/mean)': f'{one.imbalance:.2f}',
        'slices moved / least': (
            f'{moved.moves}/{moved.least}' if moved else '-'
        ),
        'share of slices moved': f'{moved.slices_share:.3f}' if moved else '-',
        'share of keys moved': f'{moved.keys_share:.3f}' if moved else '-',
        'hottest key vs perfect': ' '.join(f'{x:.2f}' for x in one.hottest)
        or '-',
        'answered': str(one.answered),
        'not run': str(one.not_run),
        'unknown': str(one.unknown),
        'cut': str(one.cut),
        'wrong answers': str(one.wrong),
        'work done twice': str(one.done_twice),
        'idempotent work repeated': str(one.repeated),
        'refused but run': str(one.refused_but_run),
        'answered by customer': ' '.join(map(str, one.customers.values()))
        or '-',
        'unavailable key-seconds': f'{one.unavailable_key_s:.2f}',
        'longest unserved ms': f'{one.longest_unserved_ms:.0f}',
        'p50 ms': f'{one.latencies.p50_ms:.1f}',
        'p99 ms': f'{one.latencies.p99_ms:.1f}',
        'p99.9 ms': f'{one.latencies.p999_ms:.1f}',
    }


def format_columns(columns: typing.Mapping[str, ServiceFigures]) -> list[str]:
    """Return a table with one column per name."""
    cells = {name: _rows(one) for name, one in columns.items()}
    lines = [' ' * 25 + ''.join(f'{name:>24}' for name in cells)]
    for row in next(iter(cells.values()), {}):
        texts = (f'{cell[row]:>24}' for cell in cells.values())
        lines.append(f'{row:<25}' + ''.join(texts))
    return lines


def format_table(found: ScenarioFigures) -> str:
    """Return the table of a scenario."""
    lines = [f'== {found.profile}: {found.scenario}, policy {found.policy}']
    lines += format_columns(found.services)
    for cold in found.cold:
        noticed = (
            'not noticed'
            if cold.noticed_ms is None
            else f'noticed after {cold.noticed_ms:.0f} ms'
        )
        lines.append(
            f'cold {cold.upstream}: bears {cold.bears}, sent at most '
            f'{cold.peak} at once, {cold.peak_noticed} once noticed, '
            f'refused {cold.refused}, {noticed}'
        )
    return '\n'.join(lines)


def write(folder: pathlib.Path, name: str, value: typing.Any) -> None:
    """Write figures as a JSON file."""
    folder.mkdir(parents=True, exist_ok=True)
    raw = msgspec.json.format(msgspec.json.encode(_plain(value)))
    (folder / f'{name}.json').write_bytes(raw + b'\n')


def _plain(value: typing.Any) -> typing.Any:
    """Return named tuples as objects, for readers of the files."""
    if hasattr(value, '_asdict'):
        return {k: _plain(v) for k, v in value._asdict().items()}
    if isinstance(value, dict):
        return {k: _plain(v) for k, v in value.items()}
    return [_plain(v) for v in value] if isinstance(value, list) else value
