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


SCENARIOS = (
    ownership(True, 4, 1, 1, 0),
    ownership(True, 4, 0, 1, 1),
    ownership(False, 4, 1, 1, 0),
    ownership(False, 5, 1, 0, 0),
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
)
