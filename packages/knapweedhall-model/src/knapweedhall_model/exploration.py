"""Explores all states that a model reaches from an initial state."""

from __future__ import annotations

import collections
import collections.abc
import time
import typing

StateT = typing.TypeVar('StateT', bound=tuple[typing.Any, ...])
# Yields, for a state, labels of actions and the states that they lead to, or
# the invariants that they break.
Successors = collections.abc.Callable[
    [StateT], collections.abc.Iterable[tuple[str, StateT | str]]
]


class Exploration(typing.NamedTuple):
    """Result of an exploration.

    Attributes
    ----------
    states : int
        Number of distinct states visited.
    seconds : float
        Wall-clock time.
    violation : str
        Broken invariant; '' if none is broken.
    steps : tuple of str
        Path to the violation: states and, between them, the labels of the
        actions taken.
    """

    states: int
    seconds: float
    violation: str
    steps: tuple[str, ...]


def explore(initial: StateT, successors: Successors[StateT]) -> Exploration:
    """Visit all states, or stop at the first broken invariant.

    The search is breadth-first, so a counterexample is as short as possible.
    It is exhaustive: each state is expanded once, and the search ends when no
    state is left that was not expanded.

    Parameters
    ----------
    initial : tuple
        Initial state; states that compare equal are one state.
    successors : callable
        All steps from a state.
    """
    started_at = time.monotonic()
    # Each visited state with the state and the label that it was reached by.
    origins: dict[StateT, tuple[StateT, str] | None] = {initial: None}
    queue = collections.deque([initial])
    while queue:
        state = queue.popleft()
        for label, successor in successors(state):
            if isinstance(successor, str):
                steps = _path(state, origins)
                return Exploration(
                    len(origins),
                    time.monotonic() - started_at,
                    successor,
                    (*steps, label, successor),
                )
            if successor not in origins:
                origins[successor] = (state, label)
                queue.append(successor)
    return Exploration(len(origins), time.monotonic() - started_at, '', ())


def _path(
    state: StateT, origins: dict[StateT, tuple[StateT, str] | None]
) -> tuple[str, ...]:
    path = [str(state)]
    origin = origins[state]
    while origin is not None:
        state, label = origin
        path += (label, str(state))
        origin = origins[state]
    return tuple(reversed(path))
