"""Explores all states that a specification reaches from an initial one."""

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
        Distinct states visited.
    seconds : float
        Wall-clock time.
    fault : str
        Which invariant is broken; '' for none.
    steps : tuple of str
        Labels of the rules that lead to the fault, and the states between.
    """

    states: int
    seconds: float
    fault: str
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
    found = maude.load(str(path)) and maude.getModule(module)
    if not found:
        raise ValueError(f'{path} defines no module {module}')
    return found


def explore(module: str, initial: str) -> Exploration:
    """Visit every state, or stop at the first broken invariant.

    The search is breadth-first, so a counterexample is a shortest one.

    Parameters
    ----------
    module : str
        Name of the Maude module.
    initial : str
        Term of the initial state.
    """
    loaded = load(module)
    term = loaded.parseTerm(initial)
    if term is None:
        raise ValueError(f'not a term of {module}: {initial}')
    term.reduce()
    started = time.monotonic()
    states = 0
    search = term.search(maude.ANY_STEPS, loaded.parseTerm('S:State'))
    for found, _, path, _ in search:
        states += 1
        if str(found.symbol()) == BAD:
            spent = time.monotonic() - started
            steps = tuple(_step(item) for item in path())
            return Exploration(states, spent, str(found), steps)
    return Exploration(states, time.monotonic() - started, '', ())


def _step(item: typing.Any) -> str:
    return item.getLabel() if isinstance(item, maude.Rule) else str(item)
