"""Initial states and bounds that are explored."""

from __future__ import annotations

import typing


class Scenario(typing.NamedTuple):
    """One initial state with its bounds.

    Attributes
    ----------
    name : str
        Name in the output.
    module : str
        Maude module.
    initial : str
        Term with `{guards}` in place of the safeguards.
    guards : tuple of str
        All safeguards of the module.
    bounds : str
        Bounds in words.
    """

    name: str
    module: str
    initial: str
    guards: tuple[str, ...]
    bounds: str

    def term(self, removed: str = '') -> str:
        """Return the initial term without one safeguard."""
        kept = [guard for guard in self.guards if guard != removed]
        return self.initial.format(guards=' ; '.join(kept))


class Removal(typing.NamedTuple):
    """A safeguard and a scenario that must break without it."""

    guard: str
    meaning: str
    scenario: Scenario


OWNERSHIP_GUARDS = (
    'fence',
    'deadline',
    'expiry',
    'numbered',
    'settled',
    'atomic',
    'giveback',
)


def ownership(
    checks: bool, ticks: int, requests: int, moves: int, grants: int
) -> Scenario:
    """Return a scenario of one slice on two upstreams.

    Parameters
    ----------
    checks : bool
        Whether the upstreams check tokens.
    ticks, requests, moves, grants : int
        Bounds: ticks of time, requests, moves within a term, renewals of
        grants. A lease lasts 2 ticks, `max_work` 1, and there are 2 terms.
    """
    kind = 'tokens' if checks else 'deadlines'
    counts = f'{ticks},2,1,2,{requests},{moves},{grants}'
    return Scenario(
        f'{kind} {ticks} ticks, {requests} requests, {moves} moves, '
        f'{grants} renewals',
        'OWNERSHIP',
        f'init({str(checks).lower()},{counts},{{guards}})',
        OWNERSHIP_GUARDS,
        '2 upstreams, 1 sender, 2 terms, lease 2 ticks, max_work 1 tick',
    )


VOTES_GUARDS = (
    'highest',
    'unused',
    'single',
    'renewed',
    'version',
    'restarted',
)
LOG_GUARDS = ('named', 'duplicate', 'ahead')
MOVES_GUARDS = ('offset', 'majority', 'plan', 'whole')


def votes(
    ticks: int,
    lease: int,
    rounds: int,
    faults: tuple[int, int, int],
    versions: int,
) -> Scenario:
    """Return a scenario of the votes of one group.

    Parameters
    ----------
    ticks, lease, rounds : int
        Bounds: ticks of time, ticks of a lease, requests of both candidates
        to all electors.
    faults : tuple of int
        Answers lost, restarts of electors, returns of a term.
    versions : int
        Versions of the electors record.
    """
    lost, restarts, returns = faults
    counts = f'{ticks},{lease},{rounds},{lost},{restarts},{returns},{versions}'
    return Scenario(
        f'{ticks} ticks, {rounds} rounds, {lost} lost answers, {restarts} '
        f'restarts, {returns} returns, {versions} elector sets',
        'VOTES',
        f'init({counts},{{guards}})',
        VOTES_GUARDS,
        f'2 candidates, 3 or 4 electors, lease {lease} ticks',
    )


def votes_later(ticks: int, rounds: int) -> Scenario:
    """Return a scenario that begins as a third elector set is appended."""
    return Scenario(
        f'{ticks} ticks, {rounds} rounds from the append of the third set',
        'VOTES',
        f'later({ticks},{rounds},0,0,0,{{guards}})',
        VOTES_GUARDS,
        '2 candidates, 3 or 4 electors, 3 elector sets, lease 2 ticks',
    )


def log(appends: int, writers: int, transfers: int) -> Scenario:
    """Return a scenario of one name on the log.

    Parameters
    ----------
    appends, writers, transfers : int
        Bounds: records on the log with repeats, operators, and checkpoints,
        restarts and transfers of state together.
    """
    return Scenario(
        f'{appends} appends, {writers} writers, {transfers} transfers',
        'LOG',
        f'init({appends},{writers},{transfers},{{guards}})',
        LOG_GUARDS,
        '2 readers, 1 record name, versions up to 3',
    )


def moves(plans: int, terms: int, replacements: int) -> Scenario:
    """Return a scenario of one slice that moves between two groups.

    Parameters
    ----------
    plans, terms, replacements : int
        Bounds: plans, new coordinators of both groups, electors replaced.
    """
    return Scenario(
        f'{plans} plans, {terms} new terms, {replacements} electors replaced',
        'MOVES',
        f'init({plans},{terms},{replacements},{{guards}})',
        MOVES_GUARDS,
        '2 groups, 1 slice, 3 electors each',
    )


# The longest explorations come first, so that none runs on its own at the end.
SCENARIOS = (
    ownership(True, 4, 1, 1, 0),
    votes_later(1, 2),
    moves(2, 1, 1),
    ownership(True, 4, 0, 1, 1),
    votes(2, 2, 3, (1, 1, 1), 1),
    log(4, 3, 1),
    ownership(False, 4, 1, 1, 0),
    votes(1, 1, 3, (0, 0, 0), 2),
    log(4, 2, 2),
    moves(2, 2, 0),
    log(3, 2, 3),
    moves(4, 0, 0),
    ownership(False, 5, 1, 0, 0),
    votes(0, 2, 3, (0, 0, 0), 3),
)

REMOVALS = (
    Removal('fence', 'fence check', ownership(True, 3, 1, 1, 0)),
    Removal(
        'deadline', "sender's deadline check", ownership(False, 4, 1, 0, 0)
    ),
    Removal('expiry', 'wait for expiry', ownership(False, 4, 1, 1, 0)),
    Removal(
        'numbered',
        'release after answered grants',
        ownership(True, 2, 0, 1, 0),
    ),
    Removal(
        'settled',
        'acknowledgement of settled requests only',
        ownership(False, 3, 1, 1, 0),
    ),
    Removal('atomic', 'work ends with its grant', ownership(True, 3, 1, 1, 0)),
    Removal('giveback', 'lease given back last', ownership(True, 2, 0, 0, 0)),
    Removal('highest', 'highest-term rule', votes(2, 1, 3, (0, 0, 0), 1)),
    Removal(
        'unused',
        'no second use of a term given up',
        votes(2, 2, 3, (0, 0, 1), 1),
    ),
    Removal('single', 'one member at a time', votes(1, 1, 2, (0, 0, 0), 2)),
    Removal(
        'renewed',
        'renewal under each elector set',
        votes(0, 2, 3, (0, 0, 0), 3),
    ),
    Removal('version', 'version check of votes', votes_later(1, 2)),
    Removal(
        'restarted',
        'no vote after a restart',
        votes(1, 2, 2, (0, 1, 0), 1),
    ),
    Removal('named', 'version check of records', log(2, 2, 0)),
    Removal('duplicate', 'duplicate check', log(3, 2, 0)),
    Removal('ahead', 'losers in checkpoints', log(4, 3, 1)),
    Removal('offset', 'offset rule of votes', moves(2, 1, 0)),
    Removal('majority', 'majority before a release', moves(2, 1, 0)),
    Removal('plan', 'release of its own plan only', moves(4, 0, 0)),
    Removal('whole', 'elector sets in the order of the log', moves(2, 1, 1)),
)
