"""Bounds and initial states of the explorations."""

from __future__ import annotations

import functools
import typing

from knapweedhall_model import exploration
from knapweedhall_model import merging
from knapweedhall_model import tenure


class Scenario(typing.NamedTuple):
    """Bounds of one exploration.

    Attributes
    ----------
    ticks, grants, moves, epochs : int
        Maximum number of each in one path.
    membership : int
        Length of a coordinator's membership in ticks.
    blind : int
        Time for which a coordinator renews grants after its membership has
        ended, without the store, in ticks.
    hold : int
        Length of a grant in ticks.
    way : int
        Longest transmission of a grant in ticks.
    """

    ticks: int
    grants: int
    moves: int
    epochs: int
    membership: int = 1
    blind: int = 2
    hold: int = 2
    way: int = 1

    def explore(self, removed: str = '') -> exploration.Exploration:
        """Explore the protocol within these bounds.

        Parameters
        ----------
        removed : str
            Name of the safeguard to leave out; '' to keep all.

        Raises
        ------
        ValueError
            If there is no safeguard of this name.
        """
        if removed and removed not in tenure.GUARDS:
            raise ValueError(f'no safeguard {removed!r}')
        bounds = tenure.Bounds(
            self.membership,
            self.blind,
            self.hold,
            self.way,
            self.epochs,
            frozenset(tenure.GUARDS) - {removed},
        )
        return exploration.explore(
            tenure.initial(self.ticks, self.grants, self.moves),
            functools.partial(tenure.steps, bounds=bounds),
        )


class MergeScenario(typing.NamedTuple):
    """Bounds of one exploration of two ranges.

    Attributes
    ----------
    grants, moves, starts : int
        Maximum number of grants, of moves, and of new starts of upstreams in
        one path.
    """

    grants: int
    moves: int
    starts: int

    def explore(self, removed: str = '') -> exploration.Exploration:
        """Explore the protocol within these bounds.

        Parameters
        ----------
        removed : str
            Name of the safeguard to leave out; '' to keep all.

        Raises
        ------
        ValueError
            If there is no safeguard of this name.
        """
        if removed and removed not in merging.GUARDS:
            raise ValueError(f'no safeguard {removed!r}')
        return exploration.explore(
            merging.initial(self.grants, self.moves, self.starts),
            functools.partial(
                merging.steps, guards=frozenset(merging.GUARDS) - {removed}
            ),
        )


class Removal(typing.NamedTuple):
    """A safeguard, and a scenario that breaks an invariant without it."""

    guard: str
    meaning: str
    scenario: Scenario | MergeScenario


# Short grants that arrive at once, and long renewals, so that paths in which
# the majority matters have few steps.
QUICK = Scenario(4, 3, 1, 2, membership=1, blind=3, hold=1, way=0)
# A term that ends with its membership, and grants of one tick, so that the
# store can name the first coordinator again.
SHORT = Scenario(3, 3, 1, 2, membership=1, blind=0, hold=1, way=0)
SCENARIOS: tuple[Scenario | MergeScenario, ...] = (
    QUICK,
    SHORT,
    Scenario(4, 3, 1, 2),
    Scenario(5, 2, 1, 2),
    Scenario(4, 2, 2, 2),
    Scenario(4, 2, 1, 2, membership=2, blind=1),
    MergeScenario(6, 2, 1),
)
REMOVALS = (
    Removal('fence', 'tokens are compared', Scenario(4, 3, 1, 2)),
    Removal('record', 'new holder in the store first', Scenario(5, 3, 1, 2)),
    Removal('wait', 'wait until grants have expired', Scenario(3, 3, 1, 1)),
    Removal('answered', 'no unanswered grant', Scenario(4, 3, 1, 1)),
    Removal('evidence', 'majority for renewals', QUICK),
    Removal('left', 'wait after the majority connected', QUICK),
    Removal('lease', 'a term ends with its lease', SHORT),
    Removal('holder', 'new token for a new holder', MergeScenario(5, 2, 1)),
    Removal('merge', 'new token for a merged range', MergeScenario(5, 2, 1)),
)
