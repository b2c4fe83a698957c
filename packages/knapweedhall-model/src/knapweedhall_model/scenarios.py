"""Initial states and bounds that are explored."""

from __future__ import annotations

import typing

MODULE = 'TENURE'
GUARDS = ('fence', 'record', 'wait', 'answered', 'evidence', 'left', 'lease')


class Scenario(typing.NamedTuple):
    """Bounds of one exploration.

    Attributes
    ----------
    ticks, grants, moves, epochs : int
        How much of each there is.
    membership, blind, hold, way : int
        Length in ticks of the coordinator's membership, of its renewals
        without the store, of a grant, and of a grant's longest way.
    """

    ticks: int
    grants: int
    moves: int
    epochs: int
    membership: int = 1
    blind: int = 2
    hold: int = 2
    way: int = 1

    def term(self, removed: str = '') -> str:
        """Return the initial term, without one safeguard if it is named."""
        kept = ' ; '.join(guard for guard in GUARDS if guard != removed)
        return f'init({",".join(map(str, self))},{kept})'


class Removal(typing.NamedTuple):
    """A safeguard and a scenario that must break without it."""

    guard: str
    meaning: str
    scenario: Scenario


# Short grants that arrive at once and long renewals, so that the part of the
# majority needs few steps.
QUICK = Scenario(4, 3, 1, 2, membership=1, blind=3, hold=1, way=0)
# A tenure that ends at once, and holds of a tick, so that the store can name
# the first coordinator once more.
SHORT = Scenario(3, 3, 1, 2, membership=1, blind=0, hold=1, way=0)
SCENARIOS = (
    QUICK,
    SHORT,
    Scenario(4, 3, 1, 2),
    Scenario(5, 2, 1, 2),
    Scenario(4, 2, 2, 2),
    Scenario(4, 2, 1, 2, membership=2, blind=1),
)
REMOVALS = (
    Removal('fence', 'tokens are compared', Scenario(4, 3, 1, 2)),
    Removal('record', 'new holder in the store first', Scenario(5, 3, 1, 2)),
    Removal('wait', 'wait for the end of holds', Scenario(3, 3, 1, 1)),
    Removal('answered', 'no unanswered grant', Scenario(4, 3, 1, 1)),
    Removal('evidence', 'majority for renewals', QUICK),
    Removal('left', 'wait after the majority came', QUICK),
    Removal('lease', 'a tenure ends with its lease', SHORT),
)
