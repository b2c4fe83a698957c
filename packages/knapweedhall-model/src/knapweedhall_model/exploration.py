"""Explores all states that a specification reaches from an initial state."""

from __future__ import annotations

import functools
import pathlib
import time
import typing

import maude

SPEC = pathlib.Path(__file__).parent / 'spec'
# Symbol of the states in which an invariant is broken.
BAD = 'bad'


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
        rules applied.
    """

    states: int
    seconds: float
    violation: str
    steps: tuple[str, ...]


@functools.cache
def load(module: str) -> typing.Any:
    """Return a module of the specification, loaded once per process.

    Raises
    ------
    ValueError
        If the specification does not define the module.
    """
    maude.init(advise=False)
    path = SPEC / f'{module.lower()}.maude'
    loaded = maude.load(str(path)) and maude.getModule(module)
    if not loaded:
        raise ValueError(f'{path} defines no module {module}')
    return loaded


def explore(module: str, initial: str) -> Exploration:
    """Visit all states, or stop at the first broken invariant.

    The search is breadth-first, so a counterexample is as short as possible.

    Parameters
    ----------
    module : str
        Name of the Maude module.
    initial : str
        Term of the initial state.

    Raises
    ------
    ValueError
        If `initial` is not a term of the module.
    """
    loaded = load(module)
    term = loaded.parseTerm(initial)
    if term is None:
        raise ValueError(f'not a term of {module}: {initial}')
    term.reduce()
    started_at = time.monotonic()
    states = 0
    search = term.search(maude.ANY_STEPS, loaded.parseTerm('S:State'))
    for state, _, path, _ in search:
        states += 1
        if str(state.symbol()) == BAD:
            seconds = time.monotonic() - started_at
            steps = tuple(_step(item) for item in path())
            return Exploration(states, seconds, str(state), steps)
    return Exploration(states, time.monotonic() - started_at, '', ())


def _step(item: typing.Any) -> str:
    return item.getLabel() if isinstance(item, maude.Rule) else str(item)
